package server

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobbend.example/carobbend"
)

const (
	// maxAddresses bounds an address answer; a caller needs only a few addresses for retries.
	maxAddresses = 8
	// validityJitter spreads the expiry of answers, so that callers don't all ask again at once.
	validityJitter = 0.2
	// minWeight is the least weight of an instance, so that a fully loaded one still receives some callers.
	minWeight = 0.05
)

// AddressRequest holds the parameters of ChooseAddresses.
type AddressRequest struct {
	// Caller is the hash key that selects instances; it includes the process if the caller names one.
	Caller string
	// DataCentre is the data centre whose instances come first.
	DataCentre carobbend.DataCentre
	// Validity is the nominal validity of the answer.
	Validity time.Duration
	// Jitter from 0 to 1 places the validity within 20% of the nominal one.
	Jitter float64
}

// ChooseAddresses returns the instances that a caller should use, best first: ready and not leaving, the preferred
// data centre first, and within one in the order of rendezvous hashing weighted by free capacity. If no instance is
// ready, for example in a long outage of the store, it returns those with a rule file in force, or else all that are not
// leaving.
func ChooseAddresses(req AddressRequest, instances []carobbend.Instance) carobbend.Addresses {
	usable := filterAvailable(instances, func(i carobbend.Instance) bool { return i.Ready })
	if len(usable) == 0 {
		usable = filterAvailable(instances, func(i carobbend.Instance) bool { return i.RulesVersion > 0 })
	}
	if len(usable) == 0 {
		usable = filterAvailable(instances, func(carobbend.Instance) bool { return true })
	}
	type ranked struct {
		address   string
		preferred bool
		score     float64
	}
	order := make([]ranked, 0, len(usable))
	for _, i := range usable {
		order = append(order, ranked{i.CallerAddress, i.DataCentre == req.DataCentre, rendezvousScore(req.Caller, i)})
	}
	sort.SliceStable(order, func(a, b int) bool {
		if order[a].preferred != order[b].preferred {
			return order[a].preferred
		}
		return order[a].score > order[b].score
	})
	n := min(len(order), maxAddresses)
	out := carobbend.Addresses{Addresses: make([]string, 0, n)}
	for _, r := range order[:n] {
		out.Addresses = append(out.Addresses, r.address)
	}
	out.ValidFor = time.Duration(float64(req.Validity) * (1 - validityJitter + 2*validityJitter*req.Jitter))
	return out
}

// maxValidity returns the longest validity of an answer with jitter.
func maxValidity(nominal time.Duration) time.Duration {
	return time.Duration(float64(nominal) * (1 + validityJitter))
}

// filterAvailable returns the instances that are not leaving, have a caller address and satisfy ok.
func filterAvailable(in []carobbend.Instance, ok func(carobbend.Instance) bool) []carobbend.Instance {
	var out []carobbend.Instance
	for _, i := range in {
		if !i.Leaving && i.CallerAddress != "" && ok(i) {
			out = append(out, i)
		}
	}
	return out
}

// rendezvousScore gives each instance a share of the callers in proportion to its free capacity (weighted rendezvous
// hashing); a change of one instance moves only the callers that it gains or loses.
func rendezvousScore(caller string, i carobbend.Instance) float64 {
	h := xxhash.Sum64String(caller + "\x00" + i.Name)
	// The upper 53 bits give a uniform number in (0, 1) without rounding to either end.
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -max(1-i.Load, minWeight) / math.Log(u)
}
