package router

import (
	"slices"
	"sync"

	"carobbend.example/carobbend"
)

// Route is a route with the state of its traffic split.
type Route struct {
	carobbend.Route

	mu sync.Mutex
	// credit holds the current weight of each service of the split in smooth weighted round-robin.
	credit []float64
}

// Choose returns the service for the next request by smooth weighted round-robin, so that any run of requests is split in
// proportion to the weights. It returns "" if no service has a positive weight.
func (r *Route) Choose() string {
	if len(r.Split) == 1 && r.Split[0].Weight > 0 {
		return r.Split[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.credit) != len(r.Split) {
		r.credit = make([]float64, len(r.Split))
	}
	best, sum := -1, 0.0
	for i, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		r.credit[i] += s.Weight
		sum += s.Weight
		if best < 0 || r.credit[i] > r.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	r.credit[best] -= sum
	return r.Split[best].Service
}

// inheritCredit copies the split state of the same route in the previous table if its split is unchanged, so that a change of
// other routes doesn't reset it.
func (r *Route) inheritCredit(old *Table) {
	if old == nil || len(r.Split) < 2 {
		return
	}
	h := old.hosts[canonicalHost(r.Host)]
	if h == nil {
		return
	}
	o := h.byPrefix[r.Prefix]
	if o == nil || !slices.Equal(o.Split, r.Split) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r.credit = slices.Clone(o.credit)
}
