package distributor

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"carobbend.example/carobbend/emulator"
	"carobbend.example/carobbend/encoder"
	"carobbend.example/carobbend/parser"
	"carobbend.example/carobbend/publisher"
)

const (
	simStep = 50 * time.Millisecond
	// simConverge is the bound of promise P8.
	simConverge = 5 * time.Second
)

// history records the change of each version that the store ever held.
type history struct {
	*emulator.Store
	changes map[uint64]string
	latest  uint64
}

func (h *history) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error) {
	ok, err := h.Store.CompareAndSwap(ctx, key, value, revision)
	e, gerr := h.Get(ctx, key)
	v := &encoder.RulesValue{}
	if gerr == nil && key == publisher.Key && proto.Unmarshal(e.Value, v) == nil && v.GetVersion() > 0 {
		h.changes[v.GetVersion()], h.latest = v.GetChangeId(), v.GetVersion()
	}
	return ok, err
}

type simNode struct {
	name    string
	core    *core
	view    view
	paused  bool
	noStore bool
	// life counts the incarnations; what was sent to an earlier one is dropped.
	life    int
	version uint64
	busy    bool
	// watch is when the open watch was sent, from watchRevision; zero where there is none.
	watch         time.Time
	watchRevision uint64
}

type simEvent struct {
	at  time.Time
	run func()
}

// sim drives cores with virtual time, a shared store and a network in memory; all choices come from one seed.
type sim struct {
	t       rapid.TB
	rng     *rand.Rand
	now     time.Time
	store   *history
	nodes   []*simNode
	queue   []simEvent
	cut     map[string]bool
	slow    bool
	reached time.Time
	// gets counts the reads that are no watches.
	gets int
}

func newSim(t rapid.TB, n int, seed uint64) *sim {
	s := &sim{t: t, now: epoch, cut: map[string]bool{}, store: &history{Store: emulator.NewStore(), changes: map[uint64]string{}}}
	s.rng = rand.New(rand.NewPCG(seed, 1))
	w := &network{}
	for i := range n {
		s.nodes = append(s.nodes, &simNode{name: fmt.Sprintf("%c%d", 'a'+i%2, i)})
		w.names = append(w.names, s.nodes[i].name)
	}
	for _, nd := range s.nodes {
		nd.view = newView(netPeers{w, nd.name})
		s.start(nd)
	}
	return s
}

func (s *sim) start(nd *simNode) {
	nd.life++
	nd.core = newCore(rand.New(rand.NewPCG(s.rng.Uint64(), 2)), func(*parser.Ruleset) {})
	nd.version, nd.busy, nd.watch, nd.paused = 0, false, time.Time{}, false
}

// later runs f for an instance after a delay, and after its pause; a restart drops it.
func (s *sim) later(nd *simNode, d time.Duration, f func()) {
	life := nd.life
	var run func()
	run = func() {
		switch {
		case nd.life != life:
		case nd.paused:
			s.queue = append(s.queue, simEvent{s.now.Add(simStep), run})
		default:
			f()
		}
	}
	s.queue = append(s.queue, simEvent{s.now.Add(d), run})
}

func (s *sim) latency() time.Duration {
	d := time.Duration(1+s.rng.IntN(20)) * time.Millisecond
	if s.slow {
		d += time.Duration(s.rng.IntN(3000)) * time.Millisecond
	}
	return d
}

func (s *sim) effects(nd *simNode, e effects) {
	for _, a := range e.asks {
		s.ask(nd, a)
	}
	if v := nd.core.version(); v < nd.version {
		s.t.Fatalf("%s: version fell from %d to %d", nd.name, nd.version, v)
	}
	nd.version = nd.core.version()
	if nd.version > 0 && nd.core.changeID != s.store.changes[nd.version] {
		s.t.Fatalf("%s: version %d with change %s, the store accepted %s", nd.name, nd.version, nd.core.changeID, s.store.changes[nd.version])
	}
	if nd.core.confirmed(s.now) && s.now.Sub(s.reached) > DefaultStale {
		s.t.Fatalf("%s is confirmed %v after anyone reached the store", nd.name, s.now.Sub(s.reached))
	}
}

// ask sends a request; messages may be lost, late and duplicated, and late replies arrive after the time-out.
func (s *sim) ask(nd *simNode, a ask) {
	sent, have := s.now, nd.core.version()
	s.later(nd, askTimeout, func() { s.effects(nd, nd.core.peerFailed(s.now, a)) })
	for _, peer := range s.nodes {
		if peer.name != a.peer || s.cut[nd.name] || s.cut[peer.name] {
			continue
		}
		for range 1 + s.rng.IntN(2) {
			s.later(peer, s.latency(), func() {
				r, e := peer.core.asked(s.now, nd.name, have)
				s.effects(peer, e)
				if !s.cut[nd.name] && !s.cut[peer.name] {
					s.later(nd, s.latency(), func() { s.effects(nd, nd.core.peerReply(s.now, sent, a, r)) })
				}
			})
		}
	}
}

func (s *sim) callStore(nd *simNode) {
	if !nd.watch.IsZero() {
		e, err := s.store.Get(context.Background(), publisher.Key)
		if err == nil && e.Revision == nd.watchRevision && s.now.Sub(nd.watch) < watchWait && !nd.noStore {
			return
		}
		s.read(nd, nd.watch)
		nd.watch = time.Time{}
		return
	}
	call, revision := nd.core.storeCall(s.now)
	switch {
	case nd.busy:
	case call == callGet:
		s.gets++
		s.read(nd, s.now)
	case call == callWatch:
		nd.busy, nd.watch, nd.watchRevision = true, s.now, revision
	}
}

// read reads the store now; the reply may arrive late, after replies to later calls.
func (s *sim) read(nd *simNode, sent time.Time) {
	nd.busy = true
	e, err := s.store.Get(context.Background(), publisher.Key)
	if nd.noStore {
		err = errors.New("cut off")
	}
	if err == nil {
		s.reached = s.now
	}
	if s.slow && err == nil {
		// The reply of an earlier call arrives in addition.
		s.later(nd, s.latency()+watchWait, func() { s.effects(nd, nd.core.storeValue(s.now, sent, e)) })
	}
	s.later(nd, s.latency(), func() {
		nd.busy = false
		if err != nil {
			s.effects(nd, nd.core.storeFailed(s.now, err))
		} else {
			s.effects(nd, nd.core.storeValue(s.now, sent, e))
		}
	})
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		due := s.queue
		s.queue = nil
		for _, ev := range due {
			if ev.at.After(s.now) {
				s.queue = append(s.queue, ev)
			} else {
				ev.run()
			}
		}
		for _, nd := range s.nodes {
			if !nd.paused {
				s.effects(nd, nd.core.tick(s.now, nd.view))
				s.callStore(nd)
			}
		}
	}
}

// faults are started and ended by name; every fault acts on the given instance or on all.
var faults = map[string]func(s *sim, nd *simNode, on bool){
	"store down":        func(s *sim, _ *simNode, on bool) { s.store.SetOutage(on) },
	"store replies":     func(s *sim, _ *simNode, on bool) { s.store.LoseReplies(map[bool]int{true: 2}[on]) },
	"cut from store":    func(_ *sim, nd *simNode, on bool) { nd.noStore = on },
	"cut from peers":    func(s *sim, nd *simNode, on bool) { s.cut[nd.name] = on },
	"slow and repeated": func(s *sim, _ *simNode, on bool) { s.slow = on },
	"paused": func(s *sim, nd *simNode, on bool) {
		if nd.paused && !on && s.now.Sub(nd.core.last) > maxGap && nd.core.confirmed(s.now) {
			s.t.Fatalf("%s is confirmed after a pause", nd.name)
		}
		nd.paused = on
	},
	"restarted": func(s *sim, nd *simNode, _ bool) { s.start(nd) },
}

var faultNames = slices.Sorted(maps.Keys(faults))

type accepted map[string]publisher.Outcome

func (s *sim) apply(p *publisher.Publisher, from uint64, out accepted) {
	text := fmt.Sprintf("deadline x %dms # sim", 1+s.rng.IntN(60000))
	res, err := p.Apply(context.Background(), publisher.Request{Text: text, From: from, FromStated: true, Who: "sim"})
	if err != nil {
		s.t.Fatal(err)
	}
	if res.ChangeID != "" {
		out[res.ChangeID] = res.Outcome
	}
}

func (s *sim) checkEnd(p *publisher.Publisher, out accepted) {
	for _, nd := range s.nodes {
		if nd.version != s.store.latest || !nd.core.ready || !nd.core.confirmed(s.now) {
			s.t.Fatalf("%s %v after the last fault: version %d, ready %v, confirmed %v, want version %d", nd.name, simConverge,
				nd.version, nd.core.ready, nd.core.confirmed(s.now), s.store.latest)
		}
	}
	changes, err := p.Log(context.Background())
	if err != nil || uint64(len(changes)) != s.store.latest {
		s.t.Fatalf("audit trail: got %d entries, %v, want %d", len(changes), err, s.store.latest)
	}
	for _, c := range changes {
		if out[c.GetChangeId()] == publisher.NotAccepted {
			s.t.Fatalf("change %s was reported as not accepted and is in force", c.GetChangeId())
		}
		delete(out, c.GetChangeId())
	}
	for id, o := range out {
		if o == publisher.InForce {
			s.t.Fatalf("accepted change %s is lost", id)
		}
	}
}

// Guards against versions that fall, accepted versions that are lost, confirmations without the store, and instances
// that stay behind, under two faults at once.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.IntRange(2, 7).Draw(t, "instances"), rapid.Uint64().Draw(t, "seed"))
		p, out := publisher.New(s.store, publisher.WithResolve(0), publisher.WithKeep(3)), accepted{}
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			names := []string{rapid.SampledFrom(faultNames).Draw(t, "fault"), rapid.SampledFrom(faultNames).Draw(t, "fault")}
			hit := []*simNode{rapid.SampledFrom(s.nodes).Draw(t, "on"), rapid.SampledFrom(s.nodes).Draw(t, "on")}
			for i, f := range names {
				faults[f](s, hit[i], true)
			}
			for range rapid.IntRange(0, 3).Draw(t, "applies") {
				s.apply(p, s.store.latest-min(s.store.latest, uint64(s.rng.IntN(2))), out)
				s.run(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
			}
			s.run(time.Duration(rapid.IntRange(0, 15000).Draw(t, "ms")) * time.Millisecond)
			for i, f := range names {
				faults[f](s, hit[i], false)
			}
		}
		s.run(simConverge)
		s.checkEnd(p, out)
	})
}

// Guards against a version that reaches most instances only by chance, or that misses those whose watchers are gone,
// and against a fleet in which instances that don't watch read the store.
func TestPropagation(t *testing.T) {
	tests := []struct {
		name  string
		nodes int
		fault func(s *sim)
		wait  time.Duration
		// gets bounds the reads in the time after the apply.
		gets int
	}{
		{name: "notified", nodes: 16, wait: 500 * time.Millisecond},
		{name: "watchers of the data centre gone, store cut", nodes: 8, wait: simConverge, gets: 20, fault: func(s *sim) {
			s.nodes[0].paused, s.nodes[2].paused, s.nodes[4].noStore = true, true, true
		}},
		{name: "cut from peers", nodes: 8, wait: 20 * time.Second, gets: 20, fault: func(s *sim) { s.cut[s.nodes[4].name] = true }},
		{name: "large fleet", nodes: 150, wait: time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, tt.nodes, 1)
			// Between two questions to random peers.
			s.run(simConverge + 300*time.Millisecond)
			if tt.fault != nil {
				tt.fault(s)
			}
			s.apply(publisher.New(s.store), 0, accepted{})
			s.gets = 0
			s.run(tt.wait)
			for _, nd := range s.nodes {
				if !nd.paused && (nd.version != 1 || !nd.core.confirmed(s.now)) {
					t.Errorf("%s after %v: got version %d, confirmed %v", nd.name, tt.wait, nd.version, nd.core.confirmed(s.now))
				}
			}
			if s.gets > tt.gets {
				t.Errorf("reads of the store besides watches: got %d, want at most %d", s.gets, tt.gets)
			}
		})
	}
}
