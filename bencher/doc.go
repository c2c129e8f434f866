// Package bencher measures policies against each other under scenarios of load and faults.
//
// Arrivals follow a Poisson schedule that doesn't wait for answers (open loop), and latency counts from the scheduled
// arrival, so that it includes queueing. All parts run in one process: emulator.Upstream behind emulated connections,
// and instances that each have their own policies and executor. The policies take turns in rounds with the same seeds.
// The network isn't simulated beyond one-way delays, connect times and a limit on the connections of each instance.
//
// # Usage
//
//	report, err := bencher.Run(ctx, bencher.Config{
//		Scenario: "straggler", Deployment: "bajio", Policies: []string{"naive", "full"},
//		Duration: 10 * time.Second,
//	})
//	report.WriteTable(os.Stdout)
package bencher
