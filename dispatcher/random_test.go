package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/claimer"
	"carobbend.example/carobbend/emulator"
)

// scenario holds the parameters of one randomised run: its attempts and faults with their times.
type scenario struct {
	seed       uint64
	instances  int
	partitions int
	bound      int
	attempts   []plannedAttempt
	faults     []plannedFault
}

type plannedAttempt struct {
	key, instance int
	at, timeout   time.Duration
}

type plannedFault struct {
	kind         string
	at, duration time.Duration
	instance     int
}

// faultKinds lists the injected faults; setFault begins each of them, and ends all except kill.
var faultKinds = []string{
	"outage", "lost-replies", "slow-store", "peer-loss", "peer-delay", "peer-duplicate", "split-view", "not-sent",
	"broken", "kill",
}

func drawScenario(t *rapid.T) scenario {
	ms := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	p := scenario{
		seed:       rapid.Uint64().Draw(t, "seed"),
		instances:  rapid.IntRange(1, 4).Draw(t, "instances"),
		partitions: rapid.SampledFrom([]int{1, 4}).Draw(t, "partitions"),
		bound:      rapid.SampledFrom([]int{2, 1000}).Draw(t, "bound"),
	}
	for range rapid.IntRange(1, 16).Draw(t, "attempts") {
		p.attempts = append(p.attempts, plannedAttempt{
			rapid.IntRange(0, 3).Draw(t, "key"), rapid.IntRange(0, p.instances-1).Draw(t, "instance"),
			ms(0, 200, "at"), ms(1, 300, "timeout"),
		})
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		p.faults = append(p.faults, plannedFault{
			rapid.SampledFrom(faultKinds).Draw(t, "fault"), ms(0, 200, "at"), ms(1, 300, "duration"),
			rapid.IntRange(0, p.instances-1).Draw(t, "instance"),
		})
	}
	return p
}

// simulation is the state of a simulated scenario.
type simulation struct {
	cluster *cluster
	store   *emulator.Store

	mu     sync.Mutex
	rng    *rand.Rand
	active map[string]bool
	// clock is a logical clock that orders the beginnings and ends of attempts.
	clock   int64
	history []attemptRecord
}

// attemptRecord is one attempt in the history. Its result is empty if its instance crashed.
type attemptRecord struct {
	id, key    int
	begin, end int64
	result     carobbend.OperationResult
}

func (r *simulation) faultApplies(kind string, probability float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active[kind] && r.rng.Float64() < probability
}

func (r *simulation) setFault(f plannedFault, active bool) {
	r.mu.Lock()
	r.active[f.kind] = active
	r.mu.Unlock()
	switch f.kind {
	case "outage":
		r.store.SetOutage(active)
	case "lost-replies":
		r.store.LoseReplies(map[bool]int{true: 3}[active])
	case "slow-store":
		r.store.SetDelay(map[bool]time.Duration{true: 60 * time.Millisecond, false: 2 * time.Millisecond}[active])
	case "split-view":
		r.cluster.net.mu.Lock()
		r.cluster.net.partitioned = active
		r.cluster.net.mu.Unlock()
	case "kill":
		c := r.cluster.crashers[f.instance]
		c.mu.Lock()
		c.crashAtStep = c.steps + 1
		c.mu.Unlock()
	}
}

func (r *simulation) attempt(ctx context.Context, d *Dispatcher, key int, op carobbend.Operation) {
	r.mu.Lock()
	id := len(r.history)
	r.clock++
	r.history = append(r.history, attemptRecord{id: id, key: key, begin: r.clock})
	r.mu.Unlock()
	result := d.Run(context.WithValue(ctx, attemptID{}, id), op)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	r.history[id].end, r.history[id].result = r.clock, result
}

// simulate runs the scenario in virtual time and returns the violations and the history.
func simulate(t *testing.T, p scenario) ([]string, []porcupine.Operation) {
	r := &simulation{store: emulator.NewStore(emulator.WithDelay(2 * time.Millisecond)), active: map[string]bool{}}
	r.rng = rand.New(rand.NewPCG(p.seed, 0))
	// The last instance has no faults of its own. It makes the final attempt for each key.
	r.cluster = newCluster(r.store, p.instances+1, claimer.WithPartitions(p.partitions),
		claimer.WithBounds(claimer.Bounds{Claims: p.bound, Bytes: 1 << 20}), claimer.WithPeerTimeout(20*time.Millisecond))
	r.cluster.net.fault = func() (bool, bool, bool, time.Duration) {
		var delay time.Duration
		duplicate := r.faultApplies("peer-duplicate", 0.5)
		if duplicate || r.faultApplies("peer-delay", 0.5) {
			r.mu.Lock()
			delay = time.Duration(r.rng.IntN(100)) * time.Millisecond
			r.mu.Unlock()
		}
		return r.faultApplies("peer-loss", 0.4), r.faultApplies("peer-loss", 0.4), duplicate, delay
	}
	r.cluster.up.before = func(carobbend.Operation) carobbend.FailureKind {
		if r.faultApplies("not-sent", 0.7) {
			return carobbend.FailureNotSent
		}
		return carobbend.FailureNone
	}
	r.cluster.up.after = func(carobbend.Operation) carobbend.FailureKind {
		if r.faultApplies("broken", 0.5) {
			return carobbend.FailureBroken
		}
		return carobbend.FailureNone
	}
	ops := make([]carobbend.Operation, 4)
	for i := range ops {
		ops[i] = newOp(0)
	}
	for _, f := range p.faults {
		time.AfterFunc(f.at, func() { r.setFault(f, true) })
		if f.kind != "kill" {
			time.AfterFunc(f.at+f.duration, func() { r.setFault(f, false) })
		}
	}
	for _, a := range p.attempts {
		time.AfterFunc(a.at, func() {
			op := ops[a.key]
			op.Deadline = time.Now().Add(a.timeout)
			r.attempt(t.Context(), r.cluster.instances[a.instance], a.key, op)
		})
	}
	time.Sleep(time.Minute)
	ran := r.cluster.counts(ops)
	for key, op := range ops {
		op.Deadline = time.Now().Add(2 * time.Second)
		r.attempt(t.Context(), r.cluster.instances[p.instances], key, op)
	}
	time.Sleep(time.Minute)
	return r.violations(p, ops, ran), r.operations()
}

func (cl *cluster) counts(ops []carobbend.Operation) []int {
	out := make([]int, len(ops))
	for i, op := range ops {
		out[i] = cl.up.executions(op.Key)
	}
	return out
}

// violations compares the outcomes of the attempts with the executions. The final attempt for a key must execute the
// operation if nothing executed it before and no fault can have left the key blocked.
func (r *simulation) violations(p scenario, ops []carobbend.Operation, ranBefore []int) []string {
	var out []string
	fail := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	ran := r.cluster.counts(ops)
	mayBeBlocked := p.bound < len(ops)
	for _, f := range p.faults {
		// A duplicate claim request that arrives after the first copy was refused can block the key.
		mayBeBlocked = mayBeBlocked || f.kind == "kill" || f.kind == "peer-duplicate"
	}
	// openOutcome holds the keys of which an attempt may have run; it blocks no other key.
	openOutcome := make([]bool, len(ops))
	for key, n := range ran {
		if n > 1 {
			fail("key %d: %d executions", key, n)
		}
	}
	for i, e := range r.history {
		runs := r.cluster.up.executedBy[ops[e.key].Key]
		ranHere := len(runs) > 0 && runs[0] == e.id
		openOutcome[e.key] = openOutcome[e.key] || strings.Contains(e.result.Detail, "may have run")
		switch {
		case e.result.Outcome == carobbend.OutcomeNotRun && ranHere:
			fail("attempt %d of key %d: outcome not-run (%s), but it was executed", e.id, e.key, e.result.Detail)
		case e.result.Outcome == carobbend.OutcomeDone && !e.result.Replayed && !ranHere:
			fail("attempt %d of key %d: outcome done, but it wasn't executed", e.id, e.key)
		case e.result.Outcome == carobbend.OutcomeDone && !strings.Contains(string(e.result.Body), ops[e.key].Key):
			fail("attempt %d of key %d: answer of another operation: %s", e.id, e.key, e.result.Body)
		case i >= len(r.history)-len(ops) && !mayBeBlocked && !openOutcome[e.key] && ranBefore[e.key] == 0 && e.result.Outcome != carobbend.OutcomeDone:
			fail("final attempt of key %d: %s (%s)", e.key, e.result.Outcome, e.result.Detail)
		}
	}
	return out
}

// operations converts the attempts to porcupine operations. It leaves out attempts that were refused because the store was
// unreachable, since they say nothing about the key.
func (r *simulation) operations() []porcupine.Operation {
	var out []porcupine.Operation
	for _, e := range r.history {
		d := e.result.Detail
		if e.result.Outcome == carobbend.OutcomeNotRun && strings.Contains(d, "the claim w") && !strings.Contains(d, claimer.DetailFull) {
			continue
		}
		if e.result.Outcome != carobbend.OutcomeDone && e.result.Outcome != carobbend.OutcomeNotRun {
			// The operation may still take effect after the attempt ended.
			e.end = r.clock + 1
		}
		out = append(out, porcupine.Operation{ClientId: e.id, Input: e.key, Call: e.begin, Output: e.result, Return: e.end})
	}
	return out
}

// atMostOnceModel is the sequential specification of an operation key. Its state says whether the operation was executed.
var atMostOnceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		out := make([][]porcupine.Operation, 4)
		for _, o := range history {
			key := o.Input.(int)
			out[key] = append(out[key], o)
		}
		return out
	},
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran, result := state.(bool), output.(carobbend.OperationResult)
		switch result.Outcome {
		case carobbend.OutcomeDone:
			if ran == result.Replayed {
				return []any{true}
			}
			return nil
		case carobbend.OutcomeNotRun:
			if ran {
				return nil
			}
			return []any{false}
		default:
			return []any{ran, true}
		}
	},
}

// Guards against wrong outcomes of operations under a mix of faults: more than one execution, not-run for an operation that
// was executed, done for one that wasn't, a key that stays blocked without need, and a history of attempts that isn't
// linearizable.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawScenario(rt)
		var violations []string
		var history []porcupine.Operation
		synctest.Test(t, func(t *testing.T) { violations, history = simulate(t, p) })
		if len(violations) > 0 {
			rt.Fatalf("wrong outcomes:\n%s\nscenario: %+v\nhistory: %+v", strings.Join(violations, "\n"), p, history)
		}
		if !porcupine.CheckOperations(atMostOnceModel.ToModel(), history) {
			rt.Fatalf("the history isn't linearizable: %+v", history)
		}
	})
}
