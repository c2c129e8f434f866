// Package asserter checks the invariants of the query tier while it runs.
//
// A breach is counted and logged. In a test binary it also panics, so that the run stops at the first breach.
// Checks stay on in production; a check that holds costs one comparison.
//
// # Usage
//
//	asserter.Check(covered <= total, asserter.Coverage, "covered", covered, "total", total)
package asserter

import (
	"fmt"
	"sync/atomic"
	"testing"

	"carobbend.example/carobbend/logger"
)

// Invariant names a property that must always hold.
type Invariant string

const (
	// Snapshot says that all items of an answer come from one snapshot.
	Snapshot Invariant = "one-snapshot"
	// Coverage says that covered equals the accepted replies and is at most the total.
	Coverage Invariant = "coverage"
	// Identity says that a reply belongs to the request it is matched with.
	Identity Invariant = "identity"
	// NotRun says that a refusal as not-run is sent only if no request was written.
	NotRun Invariant = "not-run"
	// ExtraLoad says that hedges and retries stay within their percentage of primary requests.
	ExtraLoad Invariant = "extra-load"
	// Dispatch says that an operation with an at-most-once key is dispatched at most once.
	Dispatch Invariant = "one-dispatch"
	// RulesVersion says that the version of the rules in force never decreases.
	RulesVersion Invariant = "rules-version"
	// Connections says that the connections to an upstream stay within this instance's share.
	Connections Invariant = "connections"
	// Leaving says that a leaving upstream receives no new work once balancer.LeavingBound has passed.
	Leaving Invariant = "leaving"
)

// All lists the invariants in the order in which metrics report them.
var All = []Invariant{Snapshot, Coverage, Identity, NotRun, ExtraLoad, Dispatch, RulesVersion, Connections, Leaving}

var (
	breaches = func() map[Invariant]*atomic.Int64 {
		m := make(map[Invariant]*atomic.Int64, len(All))
		for _, inv := range All {
			m[inv] = &atomic.Int64{}
		}
		return m
	}()
	log = logger.New("asserter")
)

// Check reports whether ok holds; a breach is counted, logged with the keys and values, and panics in tests.
func Check(ok bool, inv Invariant, keysAndValues ...any) bool {
	if ok {
		return true
	}
	breach(inv, keysAndValues)
	return false
}

// Breaches returns the number of breaches of an invariant since the start of the process.
func Breaches(inv Invariant) int64 {
	n, ok := breaches[inv]
	if !ok {
		return 0
	}
	return n.Load()
}

func breach(inv Invariant, keysAndValues []any) {
	if n, ok := breaches[inv]; ok {
		n.Add(1)
	}
	log.Error(nil, "invariant breached", append([]any{"invariant", inv}, keysAndValues...)...)
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s breached: %v", inv, keysAndValues))
	}
}
