package forwarder

import (
	"time"

	"carobbend.example/carobbend"
)

// RetainNames drops what was observed of routes and services that a routing doesn't name. It is called once the routing is in force;
// requests of an earlier one that are still in flight may add entries, which the next call drops.
func (f *Forwarder) RetainNames(r *carobbend.Routing) {
	routes, services := make(map[string]bool, len(r.Routes)), r.ServiceNames()
	for i := range r.Routes {
		routes[r.Routes[i].Name] = true
	}
	isRoute := func(name string) bool { return routes[name] }
	f.scatterer.Retain(isRoute)
	f.Hedger.Retain(isRoute)
	f.RetryBudget.Retain(time.Now(), func(name string) bool { return services[name] })
}
