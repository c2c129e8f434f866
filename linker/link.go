package linker

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"carobbend.example/carobbend/acceptor"
	"carobbend.example/carobbend/encoder"
)

const (
	dialTimeout = time.Second
	// keepAliveInterval and writeTimeout bound the time until an unresponsive link is detected when no request uses it.
	keepAliveInterval = 5 * time.Second
	writeTimeout      = time.Second
	// linkIdleTimeout is how long a link without requests stays open. Peers are chosen at random each second, so a longer
	// time would keep links to most of the fleet open, each with goroutines, buffers and keepalives.
	linkIdleTimeout = 5 * time.Second
	// streamTimeout bounds the handling of one request from a peer.
	streamTimeout = 10 * time.Second
)

var errNoHandler = errors.New("no handler for the request")

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = dialTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// link is the outgoing session to one peer address.
type link struct {
	mu        sync.Mutex
	address   string
	bytes     *atomic.Int64
	session   *yamux.Session
	lastUsed  atomic.Int64
	lastReply atomic.Int64
	// oneWay carries the frames of Tell.
	oneWay oneWay
}

// openStream returns a new stream; it first opens a new session if there is none or it is closed.
func (l *link) openStream(ctx context.Context, now time.Time) (*yamux.Stream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUsed.Store(now.UnixNano())
	if l.session == nil || l.session.IsClosed() {
		d := net.Dialer{Timeout: dialTimeout}
		nc, err := d.DialContext(ctx, "tcp", l.address)
		if err != nil {
			return nil, err
		}
		s, err := yamux.Client(countingConn{Conn: nc, n: l.bytes}, yamuxConfig())
		if err != nil {
			return nil, errors.Join(err, nc.Close())
		}
		l.session = s
	}
	return l.session.OpenStream()
}

// close ends the session; the next openStream opens a new one.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		_ = l.session.Close()
		l.session = nil
	}
}

// Ask implements carobbend.Peers. If a request fails and no other reply arrived on the link since the request began, the
// link is closed, so that the next request opens a new connection.
func (k *Linker) Ask(ctx context.Context, name string, req *encoder.Frame) (*encoder.Frame, error) {
	l, ok := k.linkTo(name)
	if !ok {
		return nil, &Error{Op: "ask", Peer: name, Kind: KindUnknownPeer, Err: errNoAddress}
	}
	begin := k.now()
	// The caller may send one frame to several peers concurrently, so the sender's name is set in a copy.
	reply, err := l.roundTrip(ctx, begin, &encoder.Frame{From: k.self, Body: req.GetBody()})
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		if l.lastReply.Load() < begin.UnixNano() {
			go l.close()
		}
		k.view.recordFailure(now, name)
		return nil, &Error{Op: "ask", Peer: name, Kind: KindLink, Err: err}
	}
	l.lastReply.Store(now.UnixNano())
	k.view.recordSuccess(now, name)
	if reply.GetBody() == nil {
		return nil, &Error{Op: "ask", Peer: name, Kind: KindRefused, Err: errNoHandler}
	}
	return reply, nil
}

func (l *link) roundTrip(ctx context.Context, now time.Time, req *encoder.Frame) (*encoder.Frame, error) {
	s, err := l.openStream(ctx, now)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	// A deadline in the past unblocks the read when ctx ends.
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := encoder.WriteFrame(s, req); err != nil {
		return nil, err
	}
	return encoder.ReadFrame(bufio.NewReader(s))
}

// linkTo returns the link to a known instance, and replaces the link if the instance's address changed.
func (k *Linker) linkTo(name string) (*link, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	x, ok := k.view.members[name]
	if !ok || x.instance.PeerAddress == "" {
		return nil, false
	}
	l, ok := k.links[name]
	if !ok || l.address != x.instance.PeerAddress {
		if ok {
			go l.close()
		}
		l = &link{address: x.instance.PeerAddress, bytes: &k.bytes}
		k.links[name] = l
	}
	return l, true
}

// CloseIdle closes the links that weren't used for linkIdleTimeout. Run and ApplyList call it, too.
func (k *Linker) CloseIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	limit := k.now().Add(-linkIdleTimeout).UnixNano()
	for name, l := range k.links {
		if l.lastUsed.Load() < limit {
			delete(k.links, name)
			go l.close()
		}
	}
}

func (k *Linker) closeLinks() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, l := range k.links {
		delete(k.links, name)
		go l.close()
	}
}

// Serve accepts links from peers until the listener is closed. It tries again after a temporary error of Accept.
func (k *Linker) Serve(ln net.Listener) error {
	ln = acceptor.Retry(ln)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return &Error{Op: "accept", Peer: ln.Addr().String(), Kind: KindLink, Err: err}
		}
		s, err := yamux.Server(countingConn{Conn: nc, n: &k.bytes}, yamuxConfig())
		if err != nil {
			_ = nc.Close()
			continue
		}
		context.AfterFunc(ctx, func() { _ = s.Close() })
		go k.serveSession(ctx, s)
	}
}

func (k *Linker) serveSession(ctx context.Context, s *yamux.Session) {
	defer func() { _ = s.Close() }()
	for {
		stream, err := s.AcceptStream()
		if err != nil {
			return
		}
		go k.serveStream(ctx, stream)
	}
}

func (k *Linker) serveStream(ctx context.Context, s *yamux.Stream) {
	defer func() { _ = s.Close() }()
	if err := s.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	r := bufio.NewReader(s)
	req, err := encoder.ReadFrame(r)
	if err != nil {
		return
	}
	if isOneWay(req) {
		k.serveOneWay(ctx, s, r, req)
		return
	}
	reply := k.handle(ctx, req)
	if err := encoder.WriteFrame(s, reply); err != nil {
		k.log.Error(err, "reply to peer not written", "peer", s.RemoteAddr())
	}
}

// handle returns the reply to a request; an empty frame says that no handler accepts it.
func (k *Linker) handle(ctx context.Context, req *encoder.Frame) *encoder.Frame {
	switch body := req.GetBody().(type) {
	case *encoder.Frame_Notice:
		if k.refuseNotices {
			return &encoder.Frame{}
		}
		k.applyNotice(body.Notice)
		return &encoder.Frame{Body: &encoder.Frame_Notice{Notice: k.newNotice()}}
	case *encoder.Frame_Ping:
		return &encoder.Frame{Body: &encoder.Frame_Pong{Pong: &encoder.Pong{N: body.Ping.GetN()}}}
	}
	for _, h := range k.handlers {
		if reply := h.HandlePeer(ctx, req.GetFrom(), req); reply != nil {
			return reply
		}
	}
	return &encoder.Frame{}
}

// countingConn counts the bytes of a link in both directions.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}
