package distributor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
	"carobbend.example/carobbend/encoder"
	"carobbend.example/carobbend/publisher"
)

var (
	_ carobbend.RulesSource = (*Distributor)(nil)
	_ carobbend.PeerHandler = (*Distributor)(nil)
)

// network links distributors in memory; a stopped instance doesn't answer.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Distributor
	names []string
}

type netPeers struct {
	*network
	name string
}

func instance(name string) carobbend.Instance {
	return carobbend.Instance{Name: name, DataCentre: carobbend.DataCentre(name[:1])}
}

func (p netPeers) Self() carobbend.Instance { return instance(p.name) }

func (p netPeers) Live() []carobbend.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]carobbend.Instance, 0, len(p.names))
	for _, n := range p.names {
		out = append(out, instance(n))
	}
	return out
}

func (p netPeers) Preferred(_ string, _ int) []carobbend.Instance { return p.Live() }

func (p netPeers) Ask(ctx context.Context, name string, req *encoder.Frame) (*encoder.Frame, error) {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	d := p.nodes[name]
	p.mu.Unlock()
	if d == nil {
		<-ctx.Done()
		return nil, errors.New("no reply")
	}
	return d.HandlePeer(ctx, p.name, req), nil
}

// start runs an instance; the returned function stops it and waits for its end.
func (w *network) start(t *testing.T, store carobbend.Store, name string) (*Distributor, func()) {
	d := New(store, netPeers{w, name})
	w.mu.Lock()
	w.nodes[name] = d
	w.names = append(w.names, name)
	w.mu.Unlock()
	return d, run(t, d)
}

func run(t *testing.T, d *Distributor) func() {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	return func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("run: got %v, want nil", err)
		}
	}
}

func mustApply(t *testing.T, store carobbend.Store, from uint64) {
	t.Helper()
	res, err := publisher.New(store).Apply(t.Context(), publisher.Request{
		Text: fmt.Sprintf("share leon %d # test", from+1), From: from, FromStated: true, Who: "test",
	})
	if err != nil || res.Outcome != publisher.InForce {
		t.Fatalf("apply: got %+v, %v", res, err)
	}
}

// Guards against a version that is not in force everywhere within 5 s, an instance that starts without rules while
// the store is down, and one that stays named although it reached the store for too long only before.
func TestFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.WithDelay(2 * time.Millisecond))
		w := &network{nodes: map[string]*Distributor{}}
		var fleet []*Distributor
		start := func(name string) {
			d, stop := w.start(t, store, name)
			fleet = append(fleet, d)
			t.Cleanup(stop)
		}
		check := func(when string, version uint64, confirmed bool) {
			t.Helper()
			for i, d := range fleet {
				if got := d.Rules().Version(); got != version || !d.Ready() || d.Confirmed(time.Now()) != confirmed {
					t.Errorf("%s, %s: got version %d, ready %v, confirmed %v, want version %d, confirmed %v",
						when, w.names[i], got, d.Ready(), d.Confirmed(time.Now()), version, confirmed)
				}
			}
		}
		for i := range 9 {
			start(fmt.Sprintf("%c%d", 'a'+i%3, i))
		}
		time.Sleep(5 * time.Second)
		check("empty store", 0, true)
		for v := range uint64(5) {
			mustApply(t, store, v)
			time.Sleep(5 * time.Second)
			check("applied", v+1, true)
		}
		store.SetOutage(true)
		time.Sleep(5 * time.Second)
		check("short outage", 5, true)
		start("a9")
		time.Sleep(time.Minute)
		check("long outage", 5, false)
		store.SetOutage(false)
		time.Sleep(5 * time.Second)
		check("after the outage", 5, true)
		mustApply(t, store, 5)
		time.Sleep(5 * time.Second)
		check("applied after the outage", 6, true)
		before := store.Calls()
		time.Sleep(time.Minute)
		after := store.Calls()
		if reads := after.Reads - before.Reads; reads != 0 {
			t.Errorf("reads besides watches: got %d, want 0", reads)
		}
		// Six watchers, each with a watch of 2 s.
		if watches := after.Watches - before.Watches; watches > 6*31 {
			t.Errorf("watches in one minute: got %d, want at most %d", watches, 6*31)
		}
		for d := range fleet {
			if reply := fleet[d].HandlePeer(t.Context(), "x", &encoder.Frame{Body: &encoder.Frame_Ping{Ping: &encoder.Ping{}}}); reply != nil {
				t.Errorf("reply to a ping: got %v, want nil", reply)
			}
		}
	})
}

// Guards against an instance without peers that never gets rules, or that names itself without the store.
func TestAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		store.SetOutage(true)
		d := New(store, nil)
		defer run(t, d)()
		time.Sleep(30 * time.Second)
		if d.Ready() || d.Confirmed(time.Now()) {
			t.Error("ready without the store")
		}
		store.SetOutage(false)
		time.Sleep(time.Second)
		mustApply(t, store, 0)
		time.Sleep(time.Second)
		if !d.Ready() || !d.Confirmed(time.Now()) || d.Rules().Share("leon") != 1 || d.Rules().Version() != 1 {
			t.Errorf("got ready %v, confirmed %v, version %d", d.Ready(), d.Confirmed(time.Now()), d.Rules().Version())
		}
	})
}
