package bencher

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/admitter"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/hedger"
	"carobbend.example/carobbend/limiter"
)

// extraLoadPercent is the limit of the extra-load rule.
const extraLoadPercent = 5

// Parts of a policy that can be switched on and off.
const (
	partBalance   = "balance"
	partEject     = "eject"
	partSlowStart = "slow-start"
	partHint      = "hint"
	partHedge     = "hedge"
	partBudget    = "budget"
	partScarce    = "scarce"
	partLimit     = "limit"
	partAdmit     = "admit"
)

// Parts lists the parts that a policy name may switch on with +PART or off with -PART.
var Parts = []string{
	partBalance, partEject, partSlowStart, partHint, partHedge, partBudget, partScarce, partLimit, partAdmit,
}

// policy maps each part to whether it is on.
type policy map[string]bool

// parsePolicy parses a policy name: naive (no parts) or full (all parts), followed by any number of +PART and -PART.
func parsePolicy(name string) (policy, error) {
	rest, ok := strings.CutPrefix(name, "naive")
	full := false
	if !ok {
		if rest, full = strings.CutPrefix(name, "full"); !full {
			return nil, fmt.Errorf("policy %q: want naive or full, followed by +PART or -PART", name)
		}
	}
	p := policy{}
	for _, part := range Parts {
		p[part] = full
	}
	for rest != "" {
		on := rest[0] == '+'
		if !on && rest[0] != '-' {
			return nil, fmt.Errorf("policy %q: want + or - before %q", name, rest)
		}
		part := longestPart(rest[1:])
		if part == "" {
			return nil, fmt.Errorf("policy %q: unknown part in %q; known are %v", name, rest, Parts)
		}
		p[part] = on
		rest = rest[1+len(part):]
	}
	return p, nil
}

// longestPart returns the longest part that s starts with, or "".
func longestPart(s string) string {
	best := ""
	for _, part := range Parts {
		if strings.HasPrefix(s, part) && len(part) > len(best) {
			best = part
		}
	}
	return best
}

// instancePolicies holds the balancer, hedger, budget and admission control of one instance. All but the balancer are nil
// if their parts are off.
type instancePolicies struct {
	balancer carobbend.Balancer
	hedger   carobbend.Hedger
	budget   carobbend.Budget
	gate     *admitter.Gate
}

func (p policy) newInstancePolicies(d deployment, shares func(string) int, seed uint64) instancePolicies {
	out := instancePolicies{balancer: &randomBalancer{rng: rand.New(rand.NewPCG(seed, 1))}}
	if p[partBalance] {
		out.balancer = balancer.New(p.balancerOptions(d, seed)...)
	}
	var budget *hedger.Budget
	if p[partBudget] {
		budget = hedger.NewBudget()
		out.budget = budget
	}
	if p[partHedge] && p[partBudget] {
		opts := []hedger.Option{}
		if p[partScarce] {
			opts = append(opts, hedger.WithBudget(budget))
		}
		out.hedger = hedger.New(opts...)
	}
	if p[partAdmit] {
		out.gate = admitter.NewGate(admitter.New(admitter.WithShares(shares)))
	}
	return out
}

func (p policy) balancerOptions(d deployment, seed uint64) []balancer.Option {
	opts := []balancer.Option{balancer.WithSeed(seed)}
	if !p[partEject] {
		opts = append(opts, balancer.WithoutEjection())
	}
	if !p[partSlowStart] {
		opts = append(opts, balancer.WithoutSlowStart())
	}
	if !p[partHint] {
		opts = append(opts, balancer.WithoutReportedLoad())
	}
	if p[partLimit] {
		limits := []limiter.Option{
			limiter.WithSlots(func(carobbend.UpstreamID) int { return d.slots }),
			limiter.WithInstances(func() int { return instances }),
		}
		opts = append(opts, balancer.WithLimits(limiter.New(limits...)))
	}
	return opts
}

// randomBalancer picks a random candidate, preferably one not to avoid, and ignores the results of requests.
type randomBalancer struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// Pick implements carobbend.Balancer.
func (b *randomBalancer) Pick(_ time.Time, candidates, avoid []carobbend.UpstreamID) (carobbend.UpstreamID, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	b.mu.Lock()
	i := b.rng.IntN(len(candidates))
	b.mu.Unlock()
	for n := range candidates {
		if id := candidates[(i+n)%len(candidates)]; !contains(avoid, id) {
			return id, true
		}
	}
	return candidates[i], true
}

// Sent implements carobbend.Balancer.
func (*randomBalancer) Sent(time.Time, carobbend.UpstreamID) {}

// Finished implements carobbend.Balancer.
func (*randomBalancer) Finished(time.Time, carobbend.UpstreamID, time.Duration, carobbend.FailureKind, float64) {
}

// SetLeaving implements carobbend.Balancer.
func (*randomBalancer) SetLeaving(time.Time, carobbend.UpstreamID, bool) {}

func contains(ids []carobbend.UpstreamID, id carobbend.UpstreamID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// fixedRules are the rules in force during a run.
type fixedRules struct {
	deadline  time.Duration
	extraLoad float64
	shares    map[string]int
}

// Rules implements carobbend.RulesSource.
func (r *fixedRules) Rules() carobbend.Rules { return r }

// Version implements carobbend.Rules.
func (*fixedRules) Version() uint64 { return 1 }

// Class implements carobbend.Rules.
func (*fixedRules) Class(string, string) carobbend.Class { return carobbend.ClassOrdinary }

// Deadline implements carobbend.Rules.
func (r *fixedRules) Deadline(string) time.Duration { return r.deadline }

// ExtraLoad implements carobbend.Rules.
func (r *fixedRules) ExtraLoad(string) float64 { return r.extraLoad }

// Coverage implements carobbend.Rules.
func (*fixedRules) Coverage(string) float64 { return 100 }

// Share implements carobbend.Rules.
func (r *fixedRules) Share(house string) int { return r.shares[house] }

// AtMostOnce implements carobbend.Rules.
func (*fixedRules) AtMostOnce(string) bool { return false }
