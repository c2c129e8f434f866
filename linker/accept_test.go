package linker

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"carobbend.example/carobbend"
)

// exhaustedListener fails its first calls of Accept for lack of descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServeWithoutDescriptors guards against the end of the process when no descriptor is free for a link.
func TestServeWithoutDescriptors(t *testing.T) {
	nl, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := &exhaustedListener{Listener: nl}
	ln.failures.Store(3)
	self := instance("c", "1", 1)
	self.PeerAddress = nl.Addr().String()
	c := New(self)
	served := make(chan error, 1)
	go func() { served <- c.Serve(ln) }()
	b, _ := startLinker(t, "b", WithList(func(context.Context) ([]carobbend.Instance, error) {
		return []carobbend.Instance{c.Self()}, nil
	}))
	b.readList(t.Context())
	if err := ping(t.Context(), b, "c"); err != nil {
		t.Errorf("ping: got %v, want a reply", err)
	}
	b.closeLinks()
	if err := nl.Close(); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Errorf("serve: got %v, want nil", err)
	}
}
