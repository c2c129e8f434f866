package dispatcher

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/claimer"
	"carobbend.example/carobbend/emulator"
	"carobbend.example/carobbend/encoder"
)

// life kills an instance at its killAt-th step; a step lies before and after each call to the outside. All
// goroutines of a dead instance end at their next step.
type life struct {
	mu            sync.Mutex
	steps, killAt int
}

func (l *life) dead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.killAt > 0 && l.steps >= l.killAt
}

func (l *life) step() {
	l.mu.Lock()
	l.steps++
	l.mu.Unlock()
	if l.dead() {
		runtime.Goexit()
	}
}

// mortalStore and mortalSender belong to one instance.
type mortalStore struct {
	carobbend.Store
	*life
}

func (s mortalStore) Get(ctx context.Context, key string) (carobbend.Entry, error) {
	s.step()
	defer s.step()
	return s.Store.Get(ctx, key)
}

func (s mortalStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error) {
	s.step()
	defer s.step()
	return s.Store.CompareAndSwap(ctx, key, value, revision)
}

type mortalSender struct {
	carobbend.OperationSender
	*life
}

func (s mortalSender) SendOperation(ctx context.Context, id carobbend.UpstreamID, op carobbend.Operation) (json.RawMessage, error) {
	s.step()
	defer s.step()
	return s.OperationSender.SendOperation(ctx, id, op)
}

// network connects the claimers of several instances in one process.
type network struct {
	mu       sync.Mutex
	claimers map[string]*claimer.Claimer
	lives    map[string]*life
	// cut makes each instance see only itself.
	cut bool
	// fault changes one message: lost requests and replies, a delay before it arrives, and a duplicate.
	fault func() (lostRequest, lostReply, duplicate bool, delay time.Duration)
}

type link struct {
	net  *network
	self string
}

func (l link) Self() carobbend.Instance { return carobbend.Instance{Name: l.self} }

func (l link) Live() []carobbend.Instance { return l.Preferred("", len(l.net.claimers)) }

func (l link) Preferred(key string, n int) []carobbend.Instance {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.cut {
		return []carobbend.Instance{l.Self()}
	}
	names := slices.Collect(maps.Keys(l.net.claimers))
	slices.SortFunc(names, func(a, b string) int {
		if xxhash.Sum64String(key+a) < xxhash.Sum64String(key+b) {
			return -1
		}
		return 1
	})
	out := make([]carobbend.Instance, min(n, len(names)))
	for i := range out {
		out[i].Name = names[i]
	}
	return out
}

func (l link) Ask(ctx context.Context, to string, req *encoder.Frame) (*encoder.Frame, error) {
	l.net.lives[l.self].step()
	l.net.mu.Lock()
	c, fault := l.net.claimers[to], l.net.fault
	l.net.mu.Unlock()
	var lostRequest, lostReply, duplicate bool
	var delay time.Duration
	if fault != nil {
		lostRequest, lostReply, duplicate, delay = fault()
	}
	replies := make(chan *encoder.Frame, 2)
	deliver := func(delay time.Duration) {
		time.Sleep(delay)
		if l.net.lives[to].dead() {
			return
		}
		// A request that is under way is handled even if its sender gave up.
		reply := c.HandlePeer(context.Background(), l.self, req)
		if !l.net.lives[to].dead() {
			replies <- reply
		}
	}
	if !lostRequest {
		go deliver(delay)
	}
	if duplicate {
		go deliver(3 * delay)
	}
	if lostReply {
		<-ctx.Done()
	}
	select {
	case r := <-replies:
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// upstreams is a sender to emulated upstreams that can fail before and after the execution.
type upstreams struct {
	byID map[carobbend.UpstreamID]*emulator.Upstream
	// before and after return a failure kind, or none, and may block.
	before, after func(op carobbend.Operation) carobbend.FailureKind
	mu            sync.Mutex
	// runs names the attempt behind each execution, by operation key.
	runs map[string][]any
}

// attemptID is the context key under which a caller names its attempt.
type attemptID struct{}

func newUpstreams(ids ...carobbend.UpstreamID) *upstreams {
	u := &upstreams{byID: map[carobbend.UpstreamID]*emulator.Upstream{}, runs: map[string][]any{}}
	for i, id := range ids {
		u.byID[id] = emulator.NewUpstream(emulator.UpstreamConfig{ID: id, Slots: 100, Seed: uint64(i)})
	}
	return u
}

func (u *upstreams) SendOperation(ctx context.Context, id carobbend.UpstreamID, op carobbend.Operation) (json.RawMessage, error) {
	if u.before != nil {
		if kind := u.before(op); kind != carobbend.FailureNone {
			return nil, &carobbend.SendError{Upstream: id, Kind: kind}
		}
	}
	// What was written runs, whether its sender waits or not.
	body, err := u.byID[id].Execute(context.WithoutCancel(ctx), op)
	if err == nil {
		u.mu.Lock()
		u.runs[op.Key] = append(u.runs[op.Key], ctx.Value(attemptID{}))
		u.mu.Unlock()
	}
	if err == nil && u.after != nil {
		if kind := u.after(op); kind != carobbend.FailureNone {
			return nil, &carobbend.SendError{Upstream: id, Kind: kind}
		}
	}
	return body, err
}

func (u *upstreams) executions(key string) int {
	n := 0
	for _, up := range u.byID {
		n += up.Executions()[key]
	}
	return n
}

// anyUpstream picks at random and avoids what was tried.
type anyUpstream struct{}

func (anyUpstream) Pick(_ time.Time, ids, avoid []carobbend.UpstreamID) (carobbend.UpstreamID, bool) {
	var left []carobbend.UpstreamID
	for _, id := range ids {
		if !slices.Contains(avoid, id) {
			left = append(left, id)
		}
	}
	if len(left) == 0 {
		return "", false
	}
	return left[rand.N(len(left))], true
}
func (anyUpstream) Sent(time.Time, carobbend.UpstreamID) {}
func (anyUpstream) Finished(time.Time, carobbend.UpstreamID, time.Duration, carobbend.FailureKind, float64) {
}
func (anyUpstream) Leaving(time.Time, carobbend.UpstreamID, bool) {}

// onceRules puts every operation but "repeatable" under at-most-once.
type onceRules struct{ carobbend.Rules }

type rulesSource struct{}

func (rulesSource) Rules() carobbend.Rules    { return onceRules{} }
func (onceRules) Version() uint64             { return 1 }
func (onceRules) AtMostOnce(name string) bool { return name != "repeatable" }

const instanceNames = "abcdefgh"

type fleet struct {
	store     carobbend.Store
	net       *network
	up        *upstreams
	instances []*Dispatcher
	lives     []*life
}

// newFleet returns n instances that share a store and two upstreams.
func newFleet(store carobbend.Store, n int, opts ...claimer.Option) *fleet {
	f := &fleet{store: store, up: newUpstreams("u1", "u2")}
	f.net = &network{claimers: map[string]*claimer.Claimer{}, lives: map[string]*life{}}
	for i := range n {
		name := instanceNames[i : i+1]
		l := &life{}
		c := claimer.New(mortalStore{store, l}, link{f.net, name}, opts...)
		f.net.claimers[name], f.net.lives[name] = c, l
		f.lives = append(f.lives, l)
		f.instances = append(f.instances, New(Config{
			Claims: c, Sender: mortalSender{f.up, l}, Balancer: anyUpstream{}, Rules: rulesSource{},
			Upstreams: map[string][]carobbend.UpstreamID{
				"book-crew": {"u1", "u2"}, "repeatable": {"u1", "u2"},
			},
		}))
	}
	return f
}

func (f *fleet) drain(t *testing.T) {
	t.Helper()
	for _, d := range f.instances {
		if err := d.Drain(t.Context()); err != nil {
			t.Errorf("drain: %v", err)
		}
	}
	for _, c := range f.net.claimers {
		if err := c.Drain(t.Context()); err != nil {
			t.Errorf("drain: %v", err)
		}
	}
}

func newOp(timeout time.Duration) carobbend.Operation {
	return carobbend.Operation{
		Key: ulid.Make().String(), Name: "book-crew", Caller: "crews", House: "aarhus",
		Body: json.RawMessage(`{"statue":7}`), Deadline: time.Now().Add(timeout),
	}
}
