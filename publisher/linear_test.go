package publisher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
)

// linOp is a read, or an apply from a version by a writer.
type linOp struct {
	apply bool
	state linState
}

// linState is the version in force and who wrote it.
type linState struct {
	version uint64
	who     string
}

// model is a register of version and writer: an apply from the current version may take effect, any other may not.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{linState{}} },
	Step: func(state, input, output any) []any {
		s, in := state.(linState), input.(linOp)
		if !in.apply {
			if output.(linState) == s {
				return []any{s}
			}
			return nil
		}
		res, current := output.(Result), in.state.version == s.version
		next := linState{version: s.version + 1, who: in.state.who}
		// A later version says that the apply was refused because of another change, and not by the store.
		conflict := res.Latest > in.state.version
		switch {
		case res.Outcome == InForce && current:
			return []any{next}
		case res.Outcome == NotAccepted && (!conflict || !current):
			return []any{s}
		case res.Outcome == Unknown && current:
			return []any{s, next}
		case res.Outcome == Unknown:
			return []any{s}
		}
		return nil
	},
}

// Guards against histories of concurrent applies and reads that no order of single applies explains.
func TestAppliesAreLinearizable(t *testing.T) {
	outcomes := map[Outcome]int{}
	for seed := range uint64(20) {
		var ops []porcupine.Operation
		synctest.Test(t, func(t *testing.T) {
			store := emulator.NewStore()
			var mu sync.Mutex
			var wg sync.WaitGroup
			start := time.Now()
			for client := range 4 {
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(seed, uint64(client)))
					p := New(&jitterStore{Store: store, rng: rng}, WithKeep(2), WithResolve(20*time.Millisecond))
					for i := range 15 {
						op := linRun(p, rng, fmt.Sprintf("%d-%d", client, i), start)
						op.ClientId = client
						mu.Lock()
						ops = append(ops, op)
						mu.Unlock()
					}
				})
			}
			wg.Go(func() { faults(store, rand.New(rand.NewPCG(seed, 99))) })
			wg.Wait()
		})
		for _, op := range ops {
			if res, ok := op.Output.(Result); ok {
				outcomes[res.Outcome]++
			}
		}
		if got := porcupine.CheckOperationsTimeout(model.ToModel(), ops, time.Minute); got != porcupine.Ok {
			t.Errorf("seed %d: history is not linearizable: %s", seed, got)
		}
	}
	t.Logf("outcomes: %v", outcomes)
	for _, o := range []Outcome{InForce, NotAccepted, Unknown} {
		if outcomes[o] == 0 {
			t.Errorf("no apply ended as %s; the histories test too little", o)
		}
	}
}

// linRun reads the current version, and applies from it with a probability of two thirds.
func linRun(p *Publisher, rng *rand.Rand, who string, start time.Time) porcupine.Operation {
	op := porcupine.Operation{Call: time.Since(start).Nanoseconds(), Input: linOp{}}
	cur, err := p.Current(context.Background())
	for err != nil {
		time.Sleep(time.Millisecond)
		cur, err = p.Current(context.Background())
	}
	seen := linState{version: cur.GetVersion()}
	if n := len(cur.GetChanges()); n > 0 {
		seen.who = cur.GetChanges()[n-1].GetWho()
	}
	op.Output, op.Return = seen, time.Since(start).Nanoseconds()
	if rng.IntN(3) == 0 {
		return op
	}
	op.Call, op.Input = op.Return, linOp{apply: true, state: linState{version: seen.version, who: who}}
	res, err := p.Apply(context.Background(), Request{Text: "share leon 2 # " + who, From: seen.version, FromStated: true, Who: who})
	if err != nil {
		panic(err)
	}
	op.Output, op.Return = res, time.Since(start).Nanoseconds()
	if res.Outcome == Unknown {
		// The write may take effect at any later time.
		op.Return = time.Hour.Nanoseconds()
	}
	return op
}

// jitterStore delays calls at random before and after they take effect.
type jitterStore struct {
	carobbend.Store
	rng *rand.Rand
}

func (s *jitterStore) pause() { time.Sleep(time.Duration(s.rng.IntN(5_000)) * time.Microsecond) }

func (s *jitterStore) Get(ctx context.Context, key string) (carobbend.Entry, error) {
	s.pause()
	defer s.pause()
	return s.Store.Get(ctx, key)
}

func (s *jitterStore) CompareAndSwap(ctx context.Context, key string, v []byte, revision uint64) (bool, error) {
	s.pause()
	defer s.pause()
	return s.Store.CompareAndSwap(ctx, key, v, revision)
}

// faults loses replies and takes the store down for short times.
func faults(store *emulator.Store, rng *rand.Rand) {
	for range 20 {
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
		store.LoseReplies(rng.IntN(3))
		if rng.IntN(3) == 0 {
			store.SetOutage(true)
			time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
			store.SetOutage(false)
		}
	}
	store.LoseReplies(0)
}
