package linker

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
)

// BenchmarkTell measures the processor time of sending and receiving one report of 20 upstreams, 5 ms after the last one, so that
// each wakes the goroutines of both ends.
func BenchmarkTell(b *testing.B) {
	ln, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	to := New(carobbend.Instance{Name: "to", Incarnation: "1", PeerAddress: ln.Addr().String()})
	received := make(reportReceiver, 100)
	to.AddHandlers(received)
	served := make(chan error, 1)
	go func() { served <- to.Serve(ln) }()
	from := New(carobbend.Instance{Name: "from", Incarnation: "1"})
	from.ApplyList([]carobbend.Instance{to.Self()})
	r := &encoder.UpstreamReport{}
	for i := range uint32(20) {
		r.Upstreams, r.Served, r.Shed = append(r.Upstreams, i), append(r.Served, 1), append(r.Shed, 1)
		r.Failed, r.Overdue, r.Latency = append(r.Failed, 0), append(r.Overdue, 0), append(r.Latency, 16)
	}
	f := &encoder.Frame{Body: &encoder.Frame_UpstreamReport{UpstreamReport: r}}
	used := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	before, bytes := used(), from.Bytes()
	for b.Loop() {
		if err := from.Tell(context.Background(), "to", f); err != nil {
			b.Fatal(err)
		}
		for range 20 {
			<-received
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.ReportMetric(float64(used()-before)/float64(b.N)/1e3, "cpu-µs/op")
	b.ReportMetric(float64(from.Bytes()-bytes)/float64(b.N), "link-bytes/op")
	from.closeLinks()
	if err := ln.Close(); err != nil {
		b.Fatal(err)
	}
	if err := <-served; err != nil {
		b.Fatal(err)
	}
}
