package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"
)

// halfClose plays clients that end their sending direction once their request is sent, and wait for the answer.
func halfClose(p *Play) (bool, error) {
	var shards []string
	for i := range 10 {
		shards = append(shards, fmt.Sprintf("bench-search-%d", i))
		p.Backend(shards[i], fmt.Sprintf("i-b-%d", i), 100*time.Millisecond)
	}
	for i := range 3 {
		p.Backend("order-desk", fmt.Sprintf("i-o-%d", i), 300*time.Millisecond)
	}
	cfg := &Config{
		Version: 3, Services: append([]string{"order-desk"}, shards...), MaxConns: 30,
		Routes: []map[string]any{
			Route("/match/", "idempotent", 800, 120, 2, shards...), Route("/order/", "non_idempotent", 3000, 500, 1, "order-desk"),
		},
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
	unproven, orders := 0, 0
	told := map[string]bool{}
	for i := range 20 {
		path, method, more, body := "/match/2f", "GET", "", ""
		if i%2 == 1 {
			path, method, more, body = "/order/2f", "POST", "Content-Length: 5\r\n", "stool"
		}
		a := &Answer{ID: NewID(), Path: path, Sent: time.Now()}
		c, err := net.DialTimeout("tcp4", x.Callers, time.Second)
		if err != nil {
			return false, err
		}
		_, a.Err = io.WriteString(c, Head(method, path, a.ID, 800, more)+body)
		if a.Err == nil && p.Trouble {
			// By now the request has been passed on to backends.
			time.Sleep(50 * time.Millisecond)
			a.Err = c.(*net.TCPConn).CloseWrite()
		}
		if a.Err == nil {
			ReadAnswer(c, bufio.NewReader(c), method, a, 2*time.Second)
		}
		c.Close()
		p.LogAnswer("answer", a)
		if a.Err == nil && a.Status/100 == 2 && a.Header.Get("X-Response-Seal") == "" && a.Header.Get("X-Part-Seals") == "" {
			unproven++
			if method == "POST" {
				orders++
				told[a.ID] = true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	p.LogRuns()
	ran := 0
	for _, r := range runs.All() {
		if told[r.ID] && r.Executed {
			ran++
		}
	}
	p.Log("successes without a proof: %d of 20; of these %d orders, of which a backend ran %d", unproven, orders, ran)
	return unproven > 0, nil
}
