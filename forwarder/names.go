package forwarder

import (
	"time"

	"carobbend.example/carobbend"
)

// RetainNames drops what was observed of routes and services that a routing doesn't name. It is called once the routing is in force;
// requests of an earlier one that are still in flight may add entries, which the next call drops.
func (f *Forwarder) RetainNames(r *carobbend.Routing) {
	routes, services := map[string]bool{}, map[string]bool{}
	for i := range r.Routes {
		x := &r.Routes[i]
		routes[x.Name] = true
		for _, s := range x.Shards {
			services[s] = true
		}
		for _, s := range x.Split {
			services[s.Service] = true
		}
	}
	isRoute := func(name string) bool { return routes[name] }
	f.scatterer.Retain(isRoute)
	f.Hedger.Retain(isRoute)
	f.RetryBudget.Retain(time.Now(), func(name string) bool { return services[name] })
}
