package asserter

import "testing"

// Guards against a breach that goes unnoticed in a test run.
func TestBreachIsCountedAndPanicsInTests(t *testing.T) {
	before := Breaches(Coverage)
	defer func() {
		if recover() == nil {
			t.Error("panic: got none, want one")
		}
		if got, want := Breaches(Coverage), before+1; got != want {
			t.Errorf("breaches: got %d, want %d", got, want)
		}
	}()
	Check(true, Coverage)
	Check(false, Coverage, "covered", 2, "total", 1)
}
