package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// routesAdded is the number of routes by which the config grows each time, and growths is how often.
	routesAdded = 1400
	growths     = 24
	// growthTime bounds the time for all growths.
	growthTime = 95 * time.Second
	// machineMB is the memory of a machine; a process that exceeds it is killed and started again.
	machineMB = 184
	endsEach  = 3
)

// routeMemory plays configs that grow by many routes, each of which replaces those of the growth before, and clients that use each
// route once on each instance. Without the disruption the routes keep their names.
func routeMemory(p *Play) (bool, error) {
	for i := range 4 {
		p.Backend("ledger-archive", fmt.Sprintf("i-l-%d", i), 0)
	}
	cfg := &Config{Version: 3, Services: []string{"ledger-archive"}, MaxConns: 520}
	prefix := func(growth, route int) string {
		if !p.Trouble {
			growth = 0
		}
		return fmt.Sprintf("/g%d/r%d/", growth, route)
	}
	put := func(growth int) {
		cfg.Version += 2
		cfg.Routes = []map[string]any{Route("/ledger/", "idempotent", 6000, 800, 2, "ledger-archive")}
		for i := range routesAdded {
			// The time-out changes with each version.
			cfg.Routes = append(cfg.Routes, Route(prefix(growth, i), "idempotent", 5000+growth, 800, 2, "ledger-archive"))
		}
		cfg.Put(p.Store)
	}
	put(0)
	var xs []*Instance
	for i := range 2 {
		x, err := p.Instance(fmt.Sprintf("edge-%d", i+1), Options{Cores: 0.192, MemoryMB: machineMB})
		if err != nil {
			return false, err
		}
		xs = append(xs, x)
	}
	for _, x := range xs {
		if err := x.WaitReady(20 * time.Second); err != nil {
			return false, err
		}
	}
	began := time.Now()
	ends := make([]int, len(xs))
	most := make([]int, len(xs))
	for growth := 0; growth < growths && time.Since(began) < growthTime; growth++ {
		put(growth)
		var wg sync.WaitGroup
		for i, x := range xs {
			wg.Go(func() {
				served := useRoutes(x, func(route int) string { return prefix(growth, route) + "2f" })
				used := x.OwnMemory()
				most[i] = max(most[i], used)
				p.Log("growth %d: %s served %d of %d requests, one to each added route; its memory is %d MB", growth, x.Name, served, routesAdded, used)
				if used > machineMB {
					ends[i]++
					p.Log("%s exceeds the %d MB of its machine and is killed, time %d", x.Name, machineMB, ends[i])
					x.Kill()
					time.Sleep(time.Second)
					if err := x.Start(false); err != nil {
						p.Log("%s not started: %v", x.Name, err)
					}
					if err := x.WaitReady(20 * time.Second); err != nil {
						p.Log("%v", err)
					}
				}
			})
		}
		wg.Wait()
		if min(ends[0], ends[1]) >= endsEach {
			break
		}
	}
	p.Log("processes that exceeded the memory of their machine: edge-1 %d times, edge-2 %d times; most memory %d and %d MB", ends[0], ends[1], most[0], most[1])
	return min(ends[0], ends[1]) >= endsEach, nil
}

// useRoutes sends one request to each of the added routes, over four connections, and returns the number of those served. It first
// waits for the config to be in force.
func useRoutes(x *Instance, path func(route int) string) int {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if Get(x.Callers, path(0), 5000).Status == 200 {
			break
		}
	}
	const connections = 4
	counts := make([]int, connections)
	var wg sync.WaitGroup
	for w := range connections {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp4", x.Callers, time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			r := bufio.NewReader(c)
			for i := w; i < routesAdded; i += connections {
				a := &Answer{ID: NewID(), Sent: time.Now()}
				if _, err := io.WriteString(c, Head("GET", path(i), a.ID, 5000, "")); err != nil {
					return
				}
				ReadAnswer(c, r, "GET", a, 6*time.Second)
				if a.Err != nil {
					return
				}
				if a.Status == 200 {
					counts[w]++
				}
			}
		})
	}
	wg.Wait()
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
