package bencher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"carobbend.example/carobbend/emulator"
)

// warmUp is the time at the start of each round in which queries run but are not recorded.
const warmUp = time.Second

// Config describes a run.
type Config struct {
	Scenario   string
	Deployment string
	// Policies are the names of the policies: naive or full, followed by any number of +PART or -PART.
	Policies []string
	// Duration is the measured time for each policy, divided into Rounds.
	Duration time.Duration
	Rounds   int
	// Load is the fraction of the slots that the primary requests use; a scenario may override it.
	Load float64
	// Deadline is the time that an answer may take; a scenario may override it.
	Deadline time.Duration
	Seed     uint64
}

func (c Config) validate() error {
	switch {
	case len(c.Policies) == 0:
		return errors.New("no policy is given")
	case c.Duration <= 0 || c.Rounds <= 0:
		return errors.New("the duration and the rounds must be above 0")
	case c.Load <= 0 || c.Load > 3:
		return errors.New("the load must be above 0 and at most 3")
	case c.Deadline <= 0:
		return errors.New("the deadline must be above 0")
	}
	return nil
}

// Run measures the policies in alternating rounds and returns a report. It returns an error when ctx is done.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	sc, err := lookup(scenarios, "scenario", cfg.Scenario)
	if err != nil {
		return nil, err
	}
	dep, err := lookup(deployments, "deployment", cfg.Deployment)
	if err != nil {
		return nil, err
	}
	if sc.load > 0 {
		cfg.Load = sc.load
	}
	if sc.deadline > 0 {
		cfg.Deadline = sc.deadline
	}
	policies := make([]policy, len(cfg.Policies))
	recorders := make([]*recorder, len(cfg.Policies))
	for i, name := range cfg.Policies {
		if policies[i], err = parsePolicy(name); err != nil {
			return nil, err
		}
		recorders[i] = newRecorder()
	}
	check := newChecker()
	for round := range cfg.Rounds {
		for i := range policies {
			// The order is reversed in every other round, so that no policy always runs after the same one.
			if round%2 == 1 {
				i = len(policies) - 1 - i
			}
			b := policyRun{cfg: cfg, scenario: sc, deployment: dep, policy: policies[i], checker: check}
			b.runRound(ctx, cfg.Seed+uint64(round), recorders[i])
			if ctx.Err() != nil {
				return nil, fmt.Errorf("run stopped: %w", ctx.Err())
			}
		}
	}
	return newReport(cfg, sc, dep, recorders), nil
}

// policyRun holds what the rounds of one policy share.
type policyRun struct {
	cfg        Config
	scenario   scenario
	deployment deployment
	policy     policy
	checker    *checker
}

// runRound runs the warm-up and one measured round on a new testbed, and adds the results to rec.
func (b *policyRun) runRound(ctx context.Context, seed uint64, rec *recorder) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &fixedRules{deadline: b.cfg.Deadline, shares: map[string]int{}}
	if b.policy[partBudget] {
		r.extraLoad = extraLoadPercent
	}
	demand := make([]float64, 0, len(b.deployment.houses))
	for _, h := range b.deployment.houses {
		r.shares[h.name] = h.share
		if b.scenario.flood {
			demand = append(demand, h.flood)
		} else {
			demand = append(demand, h.demand)
		}
	}
	total := sum(demand)
	for i := range demand {
		demand[i] /= total
	}
	tb := newTestbed(ctx, b.deployment, b.policy, r, b.scenario, seed)
	defer tb.close()
	g := &generator{
		testbed: tb, rate: b.cfg.Load * b.deployment.capacity(emulator.DefaultServiceTime), deadline: b.cfg.Deadline,
		demand: demand, classes: b.scenario.classes, rng: rand.New(rand.NewPCG(seed, 3)), checker: b.checker,
	}
	g.run(ctx, warmUp, nil)
	g.queries.Wait()
	length := b.cfg.Duration / time.Duration(b.cfg.Rounds)
	tb.inject(ctx, b.scenario.faults, length)
	g.run(ctx, length, rec)
	g.queries.Wait()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.sends += tb.sends.Load()
	rec.primaryRequests += g.primaryRequests.Load()
	rec.cutOff += tb.cutOff.Load()
	for _, u := range tb.ups {
		rec.toLeaving += u.Stats().AfterLeaving
	}
}

func newReport(cfg Config, sc scenario, d deployment, recorders []*recorder) *Report {
	s := emulator.DefaultServiceTime
	r := &Report{
		Scenario: cfg.Scenario, Help: sc.help, Deployment: cfg.Deployment, Index: d.index, Instances: instances,
		Upstreams: d.upstreams(), Slots: d.slots, Load: cfg.Load, QueriesPerS: cfg.Load * d.capacity(s),
		DeadlineMs: float64(cfg.Deadline.Microseconds()) / 1000, DurationS: cfg.Duration.Seconds(), Rounds: cfg.Rounds,
		Seed: cfg.Seed, ExtraLoadLimit: extraLoadPercent,
		ServiceTime: fmt.Sprintf("lognormal, median %v, sigma %.2f, %.1f%% take %.0f times as long, mean %.2f ms",
			s.Median, s.Sigma, 100*s.PauseShare, s.PauseFactor, float64(s.Mean().Microseconds())/1000),
	}
	for i, rec := range recorders {
		r.Results = append(r.Results, rec.result(cfg.Policies[i], d))
	}
	return r
}
