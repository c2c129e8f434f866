package router

import (
	"slices"
	"sync"

	"carobbend.example/carobbend"
)

// Route is a route with the state of its split.
type Route struct {
	carobbend.Route

	mu sync.Mutex
	// credit holds what each service of the split is owed, in weights.
	credit []float64
}

// Choose returns the service of the next request, in the proportion of the weights over any run of requests; it
// returns "" where no service has a weight.
func (r *Route) Choose() string {
	switch len(r.Split) {
	case 0:
		return ""
	case 1:
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

// inherit continues the split of an equal route of the former table, so that a change elsewhere doesn't restart it.
func (r *Route) inherit(old *Table) {
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
