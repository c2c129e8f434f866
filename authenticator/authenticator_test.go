package authenticator

import (
	"net/http"
	"strings"
	"testing"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/router"
)

func table(t *testing.T, accounts ...carobbend.Account) *router.Table {
	t.Helper()
	var r router.Router
	r.Apply(&carobbend.Routing{Version: 1, Accounts: accounts})
	return r.Table()
}

// TestAuthenticate guards against requests that are served without a valid key, and against valid keys that are refused for
// the form of their header.
func TestAuthenticate(t *testing.T) {
	a := carobbend.Account{Name: "a", Keys: []string{"k1", "k2"}}
	b := carobbend.Account{Name: "b", Keys: []string{"k3", "k1", ""}}
	for _, c := range []struct {
		name   string
		values []string
		public bool
		want   string
		served bool
	}{
		{"key", []string{"Bearer k1"}, false, "a", true},
		{"second key", []string{"Bearer k2"}, false, "a", true},
		{"other account", []string{"Bearer k3"}, false, "b", true},
		{"scheme in another case", []string{"bEARER k3"}, false, "b", true},
		{"spaces", []string{"Bearer   k3 \t"}, false, "b", true},
		{"no header", nil, false, "", false},
		{"no header on a public route", nil, true, "", true},
		{"unknown key", []string{"Bearer k4"}, false, "", false},
		{"unknown key on a public route", []string{"Bearer k4"}, true, "", true},
		{"key on a public route", []string{"Bearer k1"}, true, "a", true},
		{"other scheme", []string{"Basic k1"}, false, "", false},
		{"scheme alone", []string{"Bearer"}, false, "", false},
		{"empty key", []string{"Bearer "}, false, "", false},
		{"key alone", []string{"k1"}, false, "", false},
		{"key with a tail", []string{"Bearer k1, k2"}, false, "", false},
		{"repeated", []string{"Bearer k1", "Bearer k1"}, false, "", false},
		{"long", []string{"Bearer " + strings.Repeat("k", 1<<20)}, false, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := http.Header{}
			if c.values != nil {
				h[Header] = c.values
			}
			got, served := Authenticate(table(t, a, b), c.public, h)
			name := ""
			if got != nil {
				name = got.Name
			}
			if name != c.want || served != c.served {
				t.Errorf("got account %q, served %v, want %q, %v", name, served, c.want, c.served)
			}
			if got, served := Authenticate(table(t), false, h); got != nil || !served {
				t.Errorf("without accounts: got account %v, served %v, want none, true", got, served)
			}
		})
	}
}
