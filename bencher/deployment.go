package bencher

import (
	"fmt"
	"sort"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
)

// deployment describes the index that is queried, its upstreams and the places of the instances.
type deployment struct {
	index       string
	shards      int
	replicas    int
	slots       int
	connections int
	connect     time.Duration
	// oneWay is the latency between data centres, clientOneWay the one to clients.
	oneWay       time.Duration
	clientOneWay time.Duration
	dataCentres  []carobbend.DataCentre
	houses       []house
}

// house is a tenant with its weight and its demand as a part of the whole.
type house struct {
	name   string
	share  int
	demand float64
	// flood is the demand under a flood, as a part of the capacity.
	flood float64
}

const instances = 7

var deployments = map[string]deployment{
	"bajio": {
		index: "sales-desk", shards: 10, replicas: 3, slots: 3, connections: 30, connect: 6 * time.Millisecond,
		oneWay: 500 * time.Microsecond, clientOneWay: time.Millisecond,
		dataCentres: []carobbend.DataCentre{"leon", "guadalajara", "queretaro"},
		houses: []house{
			{name: "abedul", share: 2, demand: 0.5, flood: 0.4},
			{name: "encino", share: 1, demand: 0.25, flood: 0.2},
			{name: "mezquite", share: 1, demand: 0.25, flood: 0.9},
		},
	},
	"jylland": {
		index: "rota-board", shards: 10, replicas: 3, slots: 2, connections: 25, connect: 6 * time.Millisecond,
		oneWay: 1500 * time.Microsecond, clientOneWay: 3 * time.Millisecond,
		dataCentres: []carobbend.DataCentre{"aarhus", "vejle", "aalborg"},
		houses: []house{
			{name: "crews", share: 2, demand: 0.5, flood: 0.4},
			{name: "desk", share: 1, demand: 0.25, flood: 0.2},
			{name: "stock", share: 1, demand: 0.25, flood: 0.9},
		},
	},
}

// upstreams returns the number of upstreams.
func (d deployment) upstreams() int { return d.shards * d.replicas }

// capacity returns the queries per second that fill all slots.
func (d deployment) capacity(s emulator.ServiceTime) float64 {
	return float64(d.upstreams()*d.slots) / s.Mean().Seconds() / float64(d.shards)
}

// held returns the shards that the i-th upstream holds in a layout of the given number of shards.
func (d deployment) held(i, shards int) []int {
	var out []int
	per := max(d.upstreams()/shards, 1)
	for s := range shards {
		if i/per%shards == s {
			out = append(out, s)
		}
	}
	return out
}

func names[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

func lookUp[T any](m map[string]T, what, name string) (T, error) {
	v, ok := m[name]
	if !ok {
		return v, fmt.Errorf("%s %q is unknown; known are %v", what, name, names(m))
	}
	return v, nil
}
