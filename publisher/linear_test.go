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

type linInput struct {
	apply bool
	from  uint64
	who   string
}

type linOutput struct {
	outcome Outcome
	// conflict says that an apply was refused because of another change, and not by the store.
	conflict bool
	version  uint64
	who      string
}

type linState struct {
	version uint64
	who     string
}

// model is a register of version and writer: an apply from the current version may take effect, any other may not.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{linState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(linState), input.(linInput), output.(linOutput)
		current := s.version == in.from
		next := linState{version: in.from + 1, who: in.who}
		switch {
		case !in.apply && out.version == s.version && out.who == s.who:
			return []any{s}
		case in.apply && out.outcome == InForce && current:
			return []any{next}
		case in.apply && out.outcome == NotAccepted && (!out.conflict || !current):
			return []any{s}
		case in.apply && out.outcome == Unknown && current:
			return []any{s, next}
		case in.apply && out.outcome == Unknown:
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
						op := linOp(p, rng, fmt.Sprintf("%d-%d", client, i), start)
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
			outcomes[op.Output.(linOutput).outcome]++
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

func linOp(p *Publisher, rng *rand.Rand, who string, start time.Time) porcupine.Operation {
	ctx := context.Background()
	for {
		call := time.Since(start).Nanoseconds()
		cur, err := p.Current(ctx)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		last := ""
		if n := len(cur.GetChanges()); n > 0 {
			last = cur.GetChanges()[n-1].GetWho()
		}
		if rng.IntN(3) == 0 {
			return porcupine.Operation{Input: linInput{}, Output: linOutput{version: cur.GetVersion(), who: last}, Call: call, Return: time.Since(start).Nanoseconds()}
		}
		from := cur.GetVersion()
		call = time.Since(start).Nanoseconds()
		res, err := p.Apply(ctx, Request{Text: "share leon 2 # " + who, From: from, FromStated: true, Who: who})
		if err != nil {
			panic(err)
		}
		ret := time.Since(start).Nanoseconds()
		if res.Outcome == Unknown {
			// The write may take effect at any later time.
			ret = time.Hour.Nanoseconds()
		}
		return porcupine.Operation{Input: linInput{apply: true, from: from, who: who}, Output: linOutput{outcome: res.Outcome, conflict: res.Latest > from}, Call: call, Return: ret}
	}
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

func (s *jitterStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error) {
	s.pause()
	defer s.pause()
	return s.Store.CompareAndSwap(ctx, key, value, revision)
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
