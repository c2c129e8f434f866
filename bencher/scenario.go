package bencher

import (
	"time"

	"carobbend.example/carobbend"
)

// faultKind is what happens to an upstream, the layout or the instances.
type faultKind string

const (
	// faultSlow makes an upstream value times slower.
	faultSlow faultKind = "slow"
	// faultFail makes an upstream refuse all requests at once.
	faultFail faultKind = "fail"
	// faultSilence makes the open connections to an upstream go dead.
	faultSilence faultKind = "silence"
	// faultDrain makes an upstream leave, stop after drainTime, and come back at the end.
	faultDrain faultKind = "drain"
	// faultRestart makes an upstream fail for downTime and then start cold.
	faultRestart faultKind = "restart"
	// faultLie makes an upstream report the load value.
	faultLie faultKind = "lie"
	// faultHold and faultDrop add and remove the snapshot value; faultHold gives it shards.
	faultHold faultKind = "hold"
	faultDrop faultKind = "drop"
	// faultReplace replaces an instance: it gets no new queries, finishes the others and starts anew.
	faultReplace faultKind = "replace"
)

const (
	drainTime = time.Second
	downTime  = 200 * time.Millisecond
	// coldTime is how long a restarted upstream is coldFactor times slower.
	coldTime   = time.Second
	coldFactor = 5
	// listLag is the time after which the instance list shows that an upstream left or came back.
	listLag = 500 * time.Millisecond
	// statusInterval is the time between two polls of an upstream's status by an instance.
	statusInterval = 250 * time.Millisecond
)

// fault is applied to each step-th upstream, beginning with the offset-th. Times are parts of a round.
type fault struct {
	kind   faultKind
	step   int
	offset int
	value  float64
	shards int
	// at is the time of the first one, each the time between two, and length how long one lasts; 0 is to the end.
	at     float64
	each   float64
	length float64
}

// scenario is a load with faults.
type scenario struct {
	help string
	// load replaces the configured part of the slots, deadline the configured one.
	load     float64
	deadline time.Duration
	// flood makes the houses demand what they do under a flood.
	flood bool
	// classes are the priority classes of the houses in order.
	classes []carobbend.Class
	cold    bool
	faults  []fault
}

var scenarios = map[string]scenario{
	"healthy":   {help: "no faults"},
	"straggler": {help: "one replica in ten is 10 times slower", faults: []fault{{kind: faultSlow, step: 10, value: 10, at: 0.1}}},
	"lost-replica": {
		help:   "one replica in ten refuses all requests at once",
		faults: []fault{{kind: faultFail, step: 10, at: 0.1}},
	},
	"repartition": {
		help: "the layout changes from 10 shards to 6 and back while queries run, one upstream after the other",
		faults: []fault{
			{kind: faultHold, step: 1, value: 2, shards: 6, at: 0.1, each: 0.005},
			{kind: faultDrop, step: 1, value: 1, at: 0.35, each: 0.005},
			{kind: faultHold, step: 1, value: 3, shards: 10, at: 0.55, each: 0.005},
			{kind: faultDrop, step: 1, value: 2, at: 0.8, each: 0.005},
		},
	},
	"silent": {
		help: "three times the open connections to a third of the upstreams go dead",
		faults: []fault{
			{kind: faultSilence, step: 3, at: 0.2},
			{kind: faultSilence, step: 3, offset: 1, at: 0.5},
			{kind: faultSilence, step: 3, offset: 2, at: 0.8},
		},
	},
	"drain": {
		help:   "one upstream in five leaves, stops and comes back, one after the other",
		faults: []fault{{kind: faultDrain, step: 5, at: 0.1, each: 0.1, length: 0.4}},
	},
	"cold-start": {
		help: "one upstream in five restarts, one after the other, and is 5 times slower for 1 s", cold: true,
		faults: []fault{{kind: faultRestart, step: 5, at: 0.1, each: 0.1}},
	},
	"lying-load": {
		help: "one replica in ten is 10 times slower and reports no load, another one in ten reports full load",
		faults: []fault{
			{kind: faultLie, step: 10, value: 0, at: 0.1},
			{kind: faultSlow, step: 10, value: 10, at: 0.1},
			{kind: faultLie, step: 10, offset: 5, value: 1, at: 0.1},
		},
	},
	"overload": {
		help: "1.5 times the capacity, most of it from one house; deadline 70 ms", load: 1.5, flood: true,
		deadline: 70 * time.Millisecond,
	},
	"classes": {
		help: "as overload, with the houses in the classes first, ordinary and last", load: 1.5, flood: true,
		deadline: 70 * time.Millisecond,
		classes:  []carobbend.Class{carobbend.ClassFirst, carobbend.ClassOrdinary, carobbend.ClassLast},
	},
	"restart": {
		help:   "the instances are replaced one after the other",
		faults: []fault{{kind: faultReplace, step: 1, at: 0.05, each: 0.13}},
	},
}
