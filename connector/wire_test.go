package connector_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"carobbend.example/carobbend/connector"
)

// BenchmarkWire compares HTTP/1.1 with unencrypted HTTP/2 while a share of the requests is canceled. New connections
// take 6 ms, as at the interactive services.
func BenchmarkWire(b *testing.B) {
	for _, canceled := range []int{0, 5, 20} {
		for _, protocol := range []string{connector.ProtocolHTTP1, connector.ProtocolHTTP2} {
			b.Run(protocol+"/canceled="+strconv.Itoa(canceled)+"%", func(b *testing.B) {
				benchmarkWire(b, protocol, canceled)
			})
		}
	}
}

func benchmarkWire(b *testing.B, protocol string, canceled int) {
	u, up := startUpstream(b, nil)
	u.l.ConnectTime = 6 * time.Millisecond
	up.Connections = 30
	c := connector.New([]connector.Upstream{up}, connector.WithProtocol(protocol))
	defer c.Close()
	b.SetParallelism(1)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for n := 0; pb.Next(); n++ {
			ctx, cancel := context.WithCancel(context.Background())
			if n%100 < canceled {
				time.AfterFunc(50*time.Microsecond, cancel)
			}
			_, err := c.Send(ctx, "u", request(strconv.Itoa(n)))
			cancel()
			if err != nil && n%100 >= canceled {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(u.l.Accepted())/float64(b.N)*1000, "connections/1000req")
}
