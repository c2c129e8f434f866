package restrictor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carobbend.example/carobbend"
)

// TestPartsAddUp guards against parts that exceed the bound, leave some of it unused, or grow with the list of instances.
func TestPartsAddUp(t *testing.T) {
	for _, n := range []int{1, 2, 5, 70, 1100} {
		for _, bound := range []int{0, 1, 4, 20, 2500} {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("edge-", i)
			}
			sum := 0
			for _, self := range names {
				var s share
				var place position
				s.setInstances(epoch, self, true, names)
				s.confirm(epoch, epoch)
				s.confirmedAt = at(holdTime)
				part := s.part(at(holdTime), "u", bound, &place)
				sum += part
				s.setInstances(at(holdTime), self, true, append(names, "edge-x", "edge-y"))
				if got := s.part(at(holdTime), "u", bound, &place); got > part {
					t.Errorf("%d instances, bound %d: got %d with more of them, want at most %d", n, bound, got, part)
				}
				if n > 100 && sum > bound {
					break
				}
			}
			if sum != bound {
				t.Errorf("%d instances: got %d in all, want %d", n, sum, bound)
			}
		}
	}
}

// simInstance is a process in a simulated fleet.
type simInstance struct {
	name        string
	incarnation int
	r           *Restrictor
	// downUntil is when it starts, cutUntil the time up to which it doesn't reach the store, lapsedUntil the one up to which it
	// can't renew its entry.
	downUntil, cutUntil, lapsedUntil time.Duration
	// asked is when its call to the store was sent, answered when that is answered; 0 means that none is open.
	asked, answered time.Duration
}

// simStore holds the incarnation of each instance's entry and when that expires.
type simStore struct {
	entries map[string]int
	expires map[string]time.Duration
}

func (s *simStore) write(x *simInstance, now time.Duration) {
	s.entries[x.name], s.expires[x.name] = x.incarnation, now+2500*time.Millisecond
}

// step lets an instance renew its entry and call the store.
func (x *simInstance) step(now time.Duration, st *simStore, rng *rand.Rand) {
	reachable := now >= x.cutUntil
	if reachable && now >= x.lapsedUntil && now%(500*time.Millisecond) == 0 {
		st.write(x, now)
	}
	switch {
	case x.asked == 0:
		x.asked, x.answered = now, now+time.Duration(rng.Int64N(int64(3500*time.Millisecond)))
	case now >= x.answered && !reachable:
		x.asked = 0
	case now >= x.answered:
		names := make([]string, 0, len(st.entries))
		for name := range st.entries {
			names = append(names, name)
		}
		own, ok := st.entries[x.name]
		x.r.SetInstances(at(now), x.name, ok && own == x.incarnation, names)
		x.r.Confirm(at(now), at(x.asked))
		x.asked = 0
	}
}

// TestColdBoundHoldsInFleet guards against more requests to a cold upstream in any second than the bound, while instances start,
// are killed, restart under their name, lose the store for a while, and read the list late, and each sends as many as it may. It
// also guards against a bound of which nothing is used.
func TestColdBoundHoldsInFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step, length = 100 * time.Millisecond, 150 * time.Second
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		bound := rapid.IntRange(1, 15).Draw(t, "bound")
		trouble := rapid.SampledFrom([]int{0, 200, 1000, 4000}).Draw(t, "trouble")
		u := up("u", "z")
		services := []carobbend.Service{{Name: "s", WarmupRate: float64(bound), WarmupTime: time.Hour}}
		incarnation := 0
		start := func(name string, at0 time.Duration) *simInstance {
			incarnation++
			x := &simInstance{name: name, incarnation: incarnation, downUntil: at0, r: &Restrictor{Warmup: Warmup{Overage: 1}}}
			x.r.SetServices(at(at0), services)
			return x
		}
		fleet := make([]*simInstance, rapid.IntRange(1, 12).Draw(t, "instances"))
		for i := range fleet {
			fleet[i] = start(fmt.Sprint("edge-", i), time.Duration(rng.Int64N(int64(length/2))))
			if trouble == 0 || rng.IntN(2) == 0 {
				fleet[i].downUntil = 0
			}
		}
		st := &simStore{entries: map[string]int{}, expires: map[string]time.Duration{}}
		var arrivals []time.Duration
		for now := step; now < length; now += step {
			for name, end := range st.expires {
				if now >= end {
					delete(st.entries, name)
					delete(st.expires, name)
				}
			}
			for i, x := range fleet {
				if now < x.downUntil {
					continue
				}
				x.step(now, st, rng)
				// The upstream is cold throughout and says so again and again.
				x.r.ObserveWarmup(at(now), u, time.Minute)
				for n := 0; n <= bound && x.r.Permit(at(now), u) == None; n++ {
					x.r.Finished(u)
					arrivals = append(arrivals, now+time.Duration(rng.Int64N(int64(500*time.Millisecond))))
				}
				if trouble == 0 {
					continue
				}
				switch rng.IntN(trouble) {
				case 0:
					fleet[i] = start(x.name, now+time.Duration(rng.Int64N(int64(10*time.Second))))
				case 1, 2:
					x.cutUntil = now + time.Duration(rng.Int64N(int64(30*time.Second)))
				case 3:
					x.lapsedUntil = now + time.Duration(rng.Int64N(int64(60*time.Second)))
				}
			}
		}
		slices.Sort(arrivals)
		for i, from := range arrivals {
			n := 0
			for _, a := range arrivals[i:] {
				if a >= from+time.Second {
					break
				}
				n++
			}
			if n > bound {
				t.Fatalf("in the second from %v: got %d requests, want at most %d", from, n, bound)
			}
		}
		if least := bound * int(length/2/sendSpan); trouble == 0 && len(arrivals) < least {
			t.Fatalf("without trouble: got %d requests, want at least %d, those of half of the time", len(arrivals), least)
		}
	})
}
