package linker

import (
	"context"
	"errors"
	"testing"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
)

// reportReceiver passes on the upstreams of the reports that it takes.
type reportReceiver chan uint32

func (c reportReceiver) HandlePeer(_ context.Context, _ string, req *encoder.Frame) *encoder.Frame {
	for _, u := range req.GetUpstreamReport().GetUpstreams() {
		c <- u
	}
	return &encoder.Frame{Body: &encoder.Frame_Pong{}}
}

func report(upstream uint32) *encoder.Frame {
	return &encoder.Frame{Body: &encoder.Frame_UpstreamReport{UpstreamReport: &encoder.UpstreamReport{Upstreams: []uint32{upstream}}}}
}

// TestTell guards against frames that are lost or reordered on a stream that carries several of them, and against a stream that
// isn't replaced after its link was closed as idle.
func TestTell(t *testing.T) {
	a, _ := startLinker(t, "to")
	received := make(reportReceiver, 100)
	a.AddHandlers(received)
	b, _ := startLinker(t, "b")
	b.ApplyList([]carobbend.Instance{a.Self()})
	for i := range uint32(60) {
		if i%20 == 10 {
			l, _ := b.linkTo("to")
			l.close()
		}
		if err := b.Tell(t.Context(), "to", report(i)); err != nil {
			t.Fatal(err)
		}
		if got := <-received; got != i {
			t.Fatalf("got frame %d, want %d", got, i)
		}
	}
	if err := ping(t.Context(), b, "to"); err != nil {
		t.Errorf("request beside a one-way stream: got %v, want none", err)
	}
}

// TestTellUnknowingPeer guards against an instance that keeps sending reports to one of an earlier version, which answers each
// unknown frame with an empty one and ends the stream.
func TestTellUnknowingPeer(t *testing.T) {
	a, _ := startLinker(t, "to")
	b, _ := startLinker(t, "b")
	b.ApplyList([]carobbend.Instance{a.Self()})
	var err error
	for err == nil {
		err = b.Tell(t.Context(), "to", report(1))
	}
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindRefused {
		t.Fatalf("got %v, want an error of kind %s", err, KindRefused)
	}
	if l, _ := b.linkTo("to"); l.oneWay.stream != nil || !l.oneWay.refusedUntil.After(b.now()) {
		t.Error("after the refusal: got an open stream or no pause, want neither")
	}
	if err := ping(t.Context(), b, "to"); err != nil {
		t.Errorf("request after the refusal: got %v, want none", err)
	}
	if err := b.Tell(t.Context(), "c", report(1)); !errors.As(err, &e) || e.Kind != KindUnknownPeer {
		t.Errorf("unknown instance: got %v, want an error of kind %s", err, KindUnknownPeer)
	}
}
