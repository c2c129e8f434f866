package linker

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"carobbend.example/carobbend/encoder"
)

// refusedInterval is the time for which a peer that takes no one-way frames, such as one of an earlier version, is sent none.
const refusedInterval = time.Minute

var (
	errRefused = errors.New("the peer takes no such frames")
	errBusy    = errors.New("the last frame is still being written")
)

// oneWay is the stream to a peer on which frames are sent that aren't answered. A stream for each of them would double the
// number of packets.
type oneWay struct {
	mu           sync.Mutex
	stream       *yamux.Stream
	buf          bytes.Buffer
	refusedUntil time.Time
}

// isOneWay reports whether a frame isn't answered.
func isOneWay(f *encoder.Frame) bool { return f.GetUpstreamReport() != nil }

// Tell sends a frame that isn't answered to a known instance. A nil error says only that the frame was written. It fails at once
// while another call for the same instance is running, which may wait for a connection.
func (k *Linker) Tell(ctx context.Context, name string, f *encoder.Frame) error {
	l, ok := k.linkTo(name)
	if !ok {
		return &Error{Op: "tell", Peer: name, Kind: KindUnknownPeer, Err: errNoAddress}
	}
	if !l.oneWay.mu.TryLock() {
		return &Error{Op: "tell", Peer: name, Kind: KindLink, Err: errBusy}
	}
	defer l.oneWay.mu.Unlock()
	now := k.now()
	if now.Before(l.oneWay.refusedUntil) {
		return &Error{Op: "tell", Peer: name, Kind: KindRefused, Err: errRefused}
	}
	err := l.tell(ctx, now, &encoder.Frame{From: k.self, Body: f.GetBody()})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errRefused):
		l.oneWay.refusedUntil = now.Add(refusedInterval)
		l.oneWay.closeStream()
		return &Error{Op: "tell", Peer: name, Kind: KindRefused, Err: err}
	default:
		l.oneWay.closeStream()
		return &Error{Op: "tell", Peer: name, Kind: KindLink, Err: err}
	}
}

// tell writes a frame to the one-way stream, which it opens if there is none; l.oneWay.mu is held.
func (l *link) tell(ctx context.Context, now time.Time, f *encoder.Frame) error {
	o := &l.oneWay
	if o.stream != nil {
		switch err := o.checkPeer(); {
		case errors.Is(err, errRefused):
			return err
		case err != nil:
			// The session has ended.
			o.closeStream()
		}
	}
	if o.stream == nil {
		s, err := l.openStream(ctx, now)
		if err != nil {
			return err
		}
		// Reads return what has arrived, see checkPeer.
		if err := s.SetReadDeadline(time.Unix(1, 0)); err != nil {
			return errors.Join(err, s.Close())
		}
		o.stream = s
	}
	l.lastUsed.Store(now.UnixNano())
	o.buf.Reset()
	if err := encoder.WriteFrame(&o.buf, f); err != nil {
		return err
	}
	if err := o.stream.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return err
	}
	_, err := o.stream.Write(o.buf.Bytes())
	return err
}

// checkPeer returns an error if the peer sent a reply, which those that know no one-way frames do, or if the stream has ended.
func (o *oneWay) checkPeer() error {
	n, err := o.stream.Read(make([]byte, 1))
	switch {
	case n > 0:
		return errRefused
	case errors.Is(err, yamux.ErrTimeout):
		return nil
	case err == nil:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

func (o *oneWay) closeStream() {
	if o.stream != nil {
		// The stream isn't used any more, so an error has no effect.
		_ = o.stream.Close()
		o.stream = nil
	}
}

// serveOneWay passes on the frames of a one-way stream until it ends; the first one has been read. The handlers' replies are not
// sent. An empty frame tells the sender that no handler takes them, as an instance of an earlier version does.
func (k *Linker) serveOneWay(ctx context.Context, s *yamux.Stream, r *bufio.Reader, first *encoder.Frame) {
	if err := s.SetDeadline(time.Time{}); err != nil {
		return
	}
	// The context of the stream ends after streamTimeout, which is for requests.
	ctx = context.WithoutCancel(ctx)
	for f := first; isOneWay(f); {
		if k.handle(ctx, f).GetBody() == nil {
			if err := encoder.WriteFrame(s, &encoder.Frame{}); err != nil {
				k.log.Error(err, "reply to peer not written", "peer", s.RemoteAddr())
			}
			return
		}
		next, err := encoder.ReadFrame(r)
		if err != nil {
			return
		}
		f = next
	}
}
