package exchanger

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"carobbend.example/carobbend"
)

// serveHeld returns an upstream that replies once release is closed.
func serveHeld(t *testing.T) (u *upstream, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	return serve(t, func(w io.Writer, r *http.Request, _ int) bool {
		<-release
		reply(w, r, 200, "")
		return true
	}), release
}

// TestConnectionLimit guards against more connections than Target.MaxConns.
func TestConnectionLimit(t *testing.T) {
	u, release := serveHeld(t)
	x := newExchanger(t)
	errs := make(chan error, 6)
	for range 6 {
		go func() {
			_, err := do(x, u, request("r"))
			errs <- err
		}()
	}
	for x.Open() < 2 {
		time.Sleep(time.Millisecond)
	}
	if got := u.conns.Load(); got > 2 {
		t.Errorf("connections: got %d, want at most 2", got)
	}
	close(release)
	for range 6 {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if got := u.conns.Load(); got != 2 {
		t.Errorf("connections: got %d, want 2", got)
	}
}

// TestRemoveEndsWaitingAttempts guards against attempts that wait for a connection of an upstream that was removed, and that are
// sent there or hold their caller until its deadline.
func TestRemoveEndsWaitingAttempts(t *testing.T) {
	u, release := serveHeld(t)
	x := newExchanger(t)
	p := x.pool(u.target())
	errs := make(chan error, 5)
	for range 5 {
		go func() {
			_, err := do(x, u, request("r"))
			errs <- err
		}()
	}
	for waiting := 0; waiting < 3; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		waiting = len(p.waiters)
		p.mu.Unlock()
	}
	x.Remove("up-1")
	for range 3 {
		if got := FailureKindOf(<-errs); got != carobbend.FailureRestricted {
			t.Errorf("waiting attempt: got %q, want %q", got, carobbend.FailureRestricted)
		}
	}
	close(release)
	for range 2 {
		if err := <-errs; err != nil {
			t.Errorf("attempt in flight: got %v, want its reply", err)
		}
	}
	if _, err := p.acquire(t.Context(), 2, nil); FailureKindOf(err) != carobbend.FailureBroken || !errors.Is(err, errNotPermitted) {
		t.Errorf("permit of a removed pool: got %v, want %v", err, errNotPermitted)
	}
}
