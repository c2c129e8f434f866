package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	crowdWaves    = 8
	crowdWaveSize = 300
	// crowdFDFraction bounds the crowd where few descriptors are allowed; the instance then has fewer places, too.
	crowdFDFraction = 0.8
	crowdGap        = time.Second
	crowdBody       = 1000
	crowdDeadline   = 300
	// ordinaryRequests are sent afterwards, one each second.
	ordinaryRequests = 30
	// routeTimeout is the timeout_ms of the route, and the deadline of ordinary clients.
	routeTimeout = 3000
)

// stalledBodies plays a crowd whose bodies stop one byte short of their end and whose connections stay open, and then ordinary
// clients.
func stalledBodies(p *Play) (bool, error) {
	for i := range 3 {
		p.Backend("supplier-feed", fmt.Sprintf("i-s-%d", i), 20*time.Millisecond)
	}
	cfg := &Config{
		Version: 3, Services: []string{"supplier-feed"}, MaxConns: 96,
		Routes: []map[string]any{Route("/part/", "idempotent", routeTimeout, 500, 2, "supplier-feed")},
	}
	cfg.Put(p.Store)
	x, err := p.Instance("edge-1", Options{Cores: 0.4})
	if err == nil {
		err = x.WaitReady(20 * time.Second)
	}
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	for range 5 {
		a := Get(x.Callers, "/part/before", routeTimeout)
		p.LogAnswer("ordinary request before the crowd", a)
		if a.Status != 200 {
			return false, fmt.Errorf("an ordinary request before the crowd got status %d", a.Status)
		}
	}

	waveSize := crowdWaveSize
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < 1<<20 {
		waveSize = min(waveSize, int(crowdFDFraction*float64(limit.Cur))/crowdWaves)
	}
	send := crowdBody
	if p.Trouble {
		send--
	}
	var opened, answered, closed atomic.Int64
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	body := strings.Repeat("b", send)
	for wave := range crowdWaves {
		for range waveSize {
			wg.Go(func() {
				c, err := net.DialTimeout("tcp4", x.Callers, time.Second)
				if err != nil {
					return
				}
				opened.Add(1)
				mu.Lock()
				conns = append(conns, c)
				mu.Unlock()
				head := Head("POST", "/part/crowd", NewID(), crowdDeadline, fmt.Sprintf("Content-Length: %d\r\n", crowdBody))
				if _, err := io.WriteString(c, head+body); err != nil {
					closed.Add(1)
					return
				}
				go func() {
					a := &Answer{Sent: time.Now()}
					r := bufio.NewReader(c)
					ReadAnswer(c, r, "POST", a, 110*time.Second)
					if a.Err != nil {
						closed.Add(1)
						return
					}
					answered.Add(1)
					// The client keeps its connection.
					c.SetReadDeadline(time.Time{})
					_, _ = r.ReadByte()
					closed.Add(1)
				}()
			})
		}
		wg.Wait()
		time.Sleep(crowdGap)
		p.Log("crowd wave %d: connections opened so far %d, answered %d, closed by the instance %d, memory of the instance %d MB",
			wave+1, opened.Load(), answered.Load(), closed.Load(), x.PeakMemory())
	}

	var served, unanswered atomic.Int64
	for range ordinaryRequests {
		wg.Go(func() {
			a := Get(x.Callers, "/part/after", routeTimeout)
			switch {
			case a.Status == 200 && a.Err == nil:
				served.Add(1)
			case a.Err != nil && a.Took >= (routeTimeout+500)*time.Millisecond:
				unanswered.Add(1)
			}
			p.LogAnswer("ordinary request after the crowd", a)
		})
		time.Sleep(time.Second)
	}
	wg.Wait()
	p.Log("ordinary requests after the crowd: %d, served %d, without an answer half a second after the route's time-out %d",
		ordinaryRequests, served.Load(), unanswered.Load())
	p.Log("crowd: connections opened %d, answered %d, closed by the instance %d; process ended: %v, peak memory %d MB",
		opened.Load(), answered.Load(), closed.Load(), x.Exited(), x.PeakMemory())
	resp := Get(x.Ready, "/ready", 1000)
	p.Log("readiness check: status %d", resp.Status)
	mu.Lock()
	defer mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
	time.Sleep(time.Second)
	p.LogAnswer("ordinary request once the crowd has left", Get(x.Callers, "/part/last", routeTimeout))
	return unanswered.Load() >= 8 && 2*unanswered.Load() > ordinaryRequests || x.Exited(), nil
}
