package logger

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestAsyncNeverBlocks guards against requests that wait for a slow reader of the log.
func TestAsyncNeverBlocks(t *testing.T) {
	out := blocked{make(chan struct{})}
	a := NewAsync(out)
	const n = 3 * asyncLines
	for range n {
		if _, err := a.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got := a.Dropped(); got < n-asyncLines-asyncBatch || got == 0 {
		t.Errorf("dropped: got %d of %d lines, want most of those beyond %d", got, n, asyncLines)
	}
	close(out.release)
	a.Close()
}

func TestAsyncKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	var want strings.Builder
	for i := range 500 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		_, _ = a.Write([]byte(line))
	}
	a.Close()
	if got := out.String(); got != want.String() {
		t.Errorf("got %d bytes, want %d in order", len(got), want.Len())
	}
}
