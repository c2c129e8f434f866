package bencher

import (
	"fmt"
	"sort"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
)

// deployment describes the queried index, its upstreams, the data centres and the houses.
type deployment struct {
	index       string
	shards      int
	replicas    int
	slots       int
	connections int
	connect     time.Duration
	// oneWay is the one-way latency between data centres, clientOneWay that to the client.
	oneWay       time.Duration
	clientOneWay time.Duration
	dataCentres  []carobbend.DataCentre
	houses       []house
}

// house is a tenant with its weight and its fraction of the arrivals.
type house struct {
	name   string
	share  int
	demand float64
	// flood is the demand in scenarios in which one house sends too much, as a fraction of the capacity.
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

func (d deployment) upstreams() int { return d.shards * d.replicas }

// capacity returns the rate of queries per second that keeps all slots busy.
func (d deployment) capacity(s emulator.ServiceTime) float64 {
	return float64(d.upstreams()*d.slots) / s.Mean().Seconds() / float64(d.shards)
}

// heldShards returns the shards that the i-th upstream holds in a layout of the given number of shards.
func (d deployment) heldShards(i, shards int) []int {
	var out []int
	replicas := max(d.upstreams()/shards, 1)
	for s := range shards {
		if i/replicas%shards == s {
			out = append(out, s)
		}
	}
	return out
}

func sortedKeys[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

func lookup[T any](m map[string]T, kind, name string) (T, error) {
	v, ok := m[name]
	if !ok {
		return v, fmt.Errorf("%s %q is unknown; known are %v", kind, name, sortedKeys(m))
	}
	return v, nil
}
