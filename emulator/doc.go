// Package emulator emulates the systems around the query tier: upstreams, the key-value store and the instance list.
// Each supports fault injection and is also an http.Handler that serves the published protocol.
//
// # Usage
//
//	store := emulator.NewStore(emulator.WithRates(2000, 400))
//	store.LoseReplies(1)
//	swapped, err := store.CompareAndSwap(ctx, "key", value, 0) // takes effect, reports StoreUnknown
//	srv := httptest.NewServer(store)                           // Consul KV HTTP API
package emulator
