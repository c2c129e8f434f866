package router

import (
	"crypto/sha256"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/logger"
)

// accounts holds the client accounts of a table by their keys. Keys are looked up by their hash, so that the time of a
// lookup says nothing about the keys.
type accounts struct {
	// required says that requests need a key, even if no account has one.
	required bool
	byKey    map[[sha256.Size]byte]*carobbend.Account
	all      []carobbend.Account
	// longestKey is the length of the longest key in bytes.
	longestKey int
}

// newAccounts indexes the accounts by their keys. A key of two accounts belongs to the first one: refusing it would refuse
// requests that the routing allows. Empty keys are ignored.
func newAccounts(r *carobbend.Routing) accounts {
	list := r.Accounts
	a := accounts{
		required: r.KeysRequired || len(list) > 0, byKey: make(map[[sha256.Size]byte]*carobbend.Account, len(list)), all: list,
	}
	for i := range list {
		for _, key := range list[i].Keys {
			hash := sha256.Sum256([]byte(key))
			first := a.byKey[hash]
			switch {
			case key == "":
				continue
			case first == nil:
				a.byKey[hash] = &list[i]
			case first != &list[i]:
				logger.New("router").Info("two accounts have the same key, which counts for the first one",
					"account", first.Name, "other", list[i].Name, "routing-version", r.Version)
			}
			a.longestKey = max(a.longestKey, len(key))
		}
	}
	return a
}

// KeysRequired reports whether routes that aren't public need a key of a client account.
func (t *Table) KeysRequired() bool { return t.accounts.required }

// Accounts returns the client accounts, which must not be changed.
func (t *Table) Accounts() []carobbend.Account { return t.accounts.all }

// Account returns the client account that holds a key.
func (t *Table) Account(key string) (*carobbend.Account, bool) {
	if key == "" || len(key) > t.accounts.longestKey {
		return nil, false
	}
	a, ok := t.accounts.byKey[sha256.Sum256([]byte(key))]
	return a, ok
}
