// Package bencher measures policies against each other under scenarios of load and faults.
//
// Arrivals follow a Poisson schedule that doesn't wait for answers (open loop), and latency counts from the scheduled
// arrival, so that queueing shows. All parts run in this process: emulator.Upstream behind a stand-in for the
// connections, and instances that each have their own policies and executor. The policies take turns in rounds with
// the same seeds. It is no simulator of a network: delays, connect times and shares of connections are the only
// properties of the wire.
//
// # Usage
//
//	report, err := bencher.Run(ctx, bencher.Config{
//		Scenario: "straggler", Deployment: "bajio", Policies: []string{"naive", "full"},
//		Duration: 10 * time.Second,
//	})
//	report.WriteTable(os.Stdout)
package bencher
