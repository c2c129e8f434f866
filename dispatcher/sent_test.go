package dispatcher

import (
	"strconv"
	"testing"
)

// TestKeyDispatchedAgainIsKept guards against a key that is dropped early because its earlier dispatch, which didn't run, is
// the oldest one kept: a repeated request would then be told that it didn't run.
func TestKeyDispatchedAgainIsKept(t *testing.T) {
	var s dispatchedKeys
	s.add("k", "a")
	s.remove("k", "a")
	if !s.add("k", "b") {
		t.Fatal("after its removal: got a refusal, want the key added")
	}
	for i := range maxDispatchedKeys - 1 {
		s.add(strconv.Itoa(i), "a")
	}
	if !s.has("k") {
		t.Errorf("after %d further keys: got the key dropped, want it kept", maxDispatchedKeys-1)
	}
	s.add("last", "a")
	if s.has("k") {
		t.Errorf("after %d further keys: got the key kept, want the oldest one dropped", maxDispatchedKeys)
	}
	if got := len(s.slots); got != maxDispatchedKeys {
		t.Errorf("got %d keys, want %d", got, maxDispatchedKeys)
	}
}

// TestRemoveByAnotherOwner guards against a dispatch that is forgotten because another request's attempt didn't run.
func TestRemoveByAnotherOwner(t *testing.T) {
	var s dispatchedKeys
	s.add("k", "a")
	s.remove("k", "b")
	if !s.has("k") || s.add("k", "b") {
		t.Error("got the key dropped by another owner, want it kept")
	}
}
