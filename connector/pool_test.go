package connector

import "testing"

// Guards against an overloaded upstream that loses its idle connections again and again, since slow replies look like
// silent connections.
func TestFalseAlarmsRaiseTheSuspicionAge(t *testing.T) {
	c := New([]Upstream{{ID: "u", Address: "127.0.0.1:1", Connections: 4}})
	p := c.pools["u"]
	first := p.suspicionAge()
	for range 3 {
		p.confirmed(false)
	}
	if got, want := p.suspicionAge(), 8*first; got != want {
		t.Errorf("age after 3 false alarms: got %v, want %v", got, want)
	}
	for range 10 {
		p.confirmed(false)
	}
	if got, want := p.suspicionAge(), c.progress; got > want {
		t.Errorf("age after many false alarms: got %v, want at most %v", got, want)
	}
	p.confirmed(true)
	if got := p.suspicionAge(); got != first {
		t.Errorf("age after a silent connection: got %v, want %v", got, first)
	}
}
