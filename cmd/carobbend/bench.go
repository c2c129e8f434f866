package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"carobbend.example/carobbend/bencher"
)

const controlScenario = "control"

type benchCmd struct {
	Scenario   string        `help:"Load and faults: healthy, straggler, lost-replica, repartition, silent, drain, cold-start, lying-load, overload, classes or restart; control measures rules and membership without queries." default:"healthy"`
	Deployment string        `help:"Upstreams and delays: bajio or jylland." default:"bajio"`
	Policy     []string      `help:"Policies to alternate: naive or full, followed by +PART or -PART; parts are balance, eject, slow-start, hint, budget, hedge, scarce, limit and admit. Without the budget nothing is hedged or retried." default:"naive,full"`
	Duration   time.Duration `help:"Measured time of each policy." default:"10s"`
	Rounds     int           `help:"Rounds into which the duration is divided; the policies take turns." default:"2"`
	Load       float64       `help:"Load as a fraction of the slots, from 0 to 3; the scenario overload sets its own." default:"0.6"`
	Deadline   time.Duration `help:"Deadline of each query; above the target of 70ms so that it doesn't hide the tail latency. The scenarios overload and classes set their own." default:"1s"`
	Seed       uint64        `help:"Seed of arrivals, service times and choices." default:"1"`
	Instances  []int         `help:"Numbers of instances of the scenario control." default:"8,32,128"`
	Upstreams  []int         `help:"Numbers of upstreams of the scenario control." default:"25,75,225"`
	JSON       string        `name:"json" help:"File to write the report to." type:"path"`
}

// Run measures the policies and prints a table.
func (c *benchCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Scenario == controlScenario {
		return c.control(ctx)
	}
	r, err := bencher.Run(ctx, bencher.Config{
		Scenario: c.Scenario, Deployment: c.Deployment, Policies: c.Policy, Duration: c.Duration, Rounds: c.Rounds,
		Load: c.Load, Deadline: c.Deadline, Seed: c.Seed,
	})
	if err != nil {
		return &exitError{code: exitFailure, err: err}
	}
	if c.JSON != "" {
		if err := r.WriteJSON(c.JSON); err != nil {
			return err
		}
	}
	return r.WriteTable(os.Stdout)
}

// controlReport is the JSON of the scenario control.
type controlReport struct {
	Instances []bencher.ControlRow  `json:"instances"`
	Upstreams []bencher.UpstreamRow `json:"upstreams"`
}

func (c *benchCmd) control(ctx context.Context) error {
	var r controlReport
	var err error
	if r.Instances, err = bencher.MeasureControlPlane(ctx, bencher.ControlConfig{Instances: c.Instances, Duration: c.Duration}); err != nil {
		return &exitError{code: exitFailure, err: err}
	}
	if err := bencher.WriteControlTable(os.Stdout, r.Instances); err != nil {
		return err
	}
	if r.Upstreams, err = bencher.MeasureStatusPolling(ctx, c.Upstreams, c.Duration); err != nil {
		return &exitError{code: exitFailure, err: err}
	}
	if err := bencher.WriteUpstreamTable(os.Stdout, r.Upstreams); err != nil {
		return err
	}
	if c.JSON == "" {
		return nil
	}
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(b, '\n'), 0o600)
}
