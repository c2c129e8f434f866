package retainer

import (
	"strconv"
	"testing"
)

// TestMap guards against entries that are kept for names which are gone, or that are lost for others; and against a number of entries
// without a bound.
func TestMap(t *testing.T) {
	const bound = 1000
	m := New[string, int](bound)
	if got := m.Get("a"); got != nil {
		t.Errorf("empty: got %v, want none", got)
	}
	*m.Ensure("a"), *m.Ensure("b") = 1, 2
	m.Retain(func(name string, v *int) bool { return name == "b" && *v == 2 })
	if a, b := m.Get("a"), m.Get("b"); a != nil || b == nil || *b != 2 || m.Len() != 1 {
		t.Errorf("after Retain: got %v, %v and %d entries, want none, 2 and 1", a, b, m.Len())
	}
	for i := range 100_000 {
		*m.Ensure(strconv.Itoa(i))++
	}
	if got, want := m.Len(), bound; got != want {
		t.Errorf("entries of 100,000 names: got %d, want %d", got, want)
	}
	if got, want := *m.Get("99999"), 100_000-(bound-1); got != want {
		t.Errorf("entry of the names beyond the bound: got %d, want %d", got, want)
	}
	if got := *m.Ensure("b"); got != 2 {
		t.Errorf("known name: got %d, want 2", got)
	}
	m.Retain(func(name string, _ *int) bool { return name == "b" })
	if got := *m.Ensure("99999"); got != 0 || m.Len() != 2 {
		t.Errorf("after the names are gone: got %d and %d entries, want 0 and 2", got, m.Len())
	}
}
