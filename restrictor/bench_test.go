package restrictor

import (
	"fmt"
	"testing"
	"time"

	"carobbend.example/carobbend"
)

// BenchmarkAttempt measures the decisions for one attempt, among three candidates and right before the write: without restrictions,
// beside an evacuated data centre, and with one cold candidate in a list of instances of the given length.
func BenchmarkAttempt(b *testing.B) {
	us := []carobbend.UpstreamRecord{up("a", "z1"), up("b", "z2"), up("c", "z3")}
	records, ids := recordsOf(us...)
	cold := func(n int) func(*Restrictor) {
		return func(r *Restrictor) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("edge-", i)
			}
			r.Warmup.Overage = 1
			r.SetServices(epoch, []carobbend.Service{{Name: "s", WarmupRate: 10, WarmupTime: time.Hour}})
			r.SetInstances(epoch, "edge-0", true, names)
			r.Confirm(epoch, epoch)
			r.share.confirmedAt = at(holdTime)
			r.ObserveWarmup(at(holdTime), us[0], time.Hour)
		}
	}
	for _, c := range []struct {
		name    string
		prepare func(*Restrictor)
	}{
		{"none", func(*Restrictor) {}},
		{"evacuated", func(r *Restrictor) { r.SetEvacuated([]carobbend.DataCentre{"z1"}) }},
		{"cold-70", cold(70)},
		{"cold-1100", cold(1100)},
	} {
		b.Run(c.name, func(b *testing.B) {
			r := &Restrictor{}
			c.prepare(r)
			now := at(holdTime)
			b.ReportAllocs()
			for b.Loop() {
				r.Filter(now, ids, records)
				if r.Permit(now, us[1]) == None {
					r.Finished(us[1])
				}
			}
		})
	}
}

// BenchmarkUpdate measures an update with 5,100 upstreams of which one changed.
func BenchmarkUpdate(b *testing.B) {
	us := make([]carobbend.UpstreamRecord, 5100)
	for i := range us {
		us[i] = up(fmt.Sprint("i-", i), "z1")
	}
	r := &Restrictor{}
	r.Update(epoch, us)
	b.ReportAllocs()
	for b.Loop() {
		us[0].Sequence++
		r.Update(epoch, us)
	}
}
