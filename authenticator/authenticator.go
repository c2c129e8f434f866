// Package authenticator finds the client account on whose behalf a caller sends a request.
//
// A caller proves the account by one of its keys, as a bearer token in the header Authorization. Where the routing
// requires no keys, that header has no meaning for this system.
//
// # Usage
//
//	account, ok := authenticator.Authenticate(table, route.Public, r.Header)
//	if !ok {
//		// The request is refused with status 401 and authenticator.Challenge.
//	}
package authenticator

import (
	"net/http"
	"strings"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/router"
)

const (
	// Header is the header that carries the key. It is not forwarded if the routing requires keys.
	Header = "Authorization"
	// ChallengeHeader is the header of a refusal that tells the caller how to authenticate.
	ChallengeHeader = "WWW-Authenticate"
	// Challenge is the value of ChallengeHeader.
	Challenge = scheme
)

// scheme is the authentication scheme, which is compared without regard to case.
const scheme = "Bearer"

// Authenticate returns the account that holds the request's key, or nil for a request without a valid key. It reports
// whether the request may be served: without a valid key that is only so on a public route, or if the table requires no keys.
func Authenticate(t *router.Table, public bool, h http.Header) (*carobbend.Account, bool) {
	if !t.KeysRequired() {
		return nil, true
	}
	if key, ok := keyOf(h); ok {
		if a, ok := t.Account(key); ok {
			return a, true
		}
	}
	return nil, public
}

// keyOf returns the bearer token of a request. A request with several Authorization headers has none, since upstreams and
// proxies disagree about which of them counts.
func keyOf(h http.Header) (string, bool) {
	values := h[Header]
	if len(values) != 1 {
		return "", false
	}
	name, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(name, scheme) {
		return "", false
	}
	key = strings.Trim(key, " \t")
	return key, key != ""
}
