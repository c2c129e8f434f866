package bencher

import (
	"time"

	"carobbend.example/carobbend"
)

// faultKind is the kind of a fault of an upstream or instance, or of a layout change.
type faultKind string

const (
	// faultSlow multiplies the service time of an upstream by value.
	faultSlow faultKind = "slow"
	// faultFail makes an upstream refuse all requests immediately.
	faultFail faultKind = "fail"
	// faultSilence makes the open connections to an upstream stop answering without closing.
	faultSilence faultKind = "silence"
	// faultDrain makes an upstream leave, stop after drainTime, and come back at the end of the fault.
	faultDrain faultKind = "drain"
	// faultRestart makes an upstream fail for downTime and then start cold.
	faultRestart faultKind = "restart"
	// faultReportLoad makes an upstream report value as its load, whatever its load is.
	faultReportLoad faultKind = "lie"
	// faultAddSnapshot and faultDropSnapshot add and remove the snapshot whose ID is value; fault.shards is the
	// number of shards of an added one.
	faultAddSnapshot  faultKind = "hold"
	faultDropSnapshot faultKind = "drop"
	// faultReplace replaces an instance: it gets no new queries, finishes those in progress and is restarted.
	faultReplace faultKind = "replace"
)

const (
	drainTime = time.Second
	downTime  = 200 * time.Millisecond
	// coldTime is how long an upstream is coldFactor times slower after a restart.
	coldTime   = time.Second
	coldFactor = 5
	// listLag is the time after which the instance list shows that an upstream left or came back.
	listLag = 500 * time.Millisecond
	// statusInterval is the time between two polls of an upstream's status by an instance.
	statusInterval = 250 * time.Millisecond
)

// fault affects each step-th upstream or instance, beginning with the offset-th. Times are fractions of a round.
type fault struct {
	kind   faultKind
	step   int
	offset int
	value  float64
	shards int
	// at is when the first target is affected, interval the time between two targets. duration is the time from the
	// start of a drain until the upstream is back; it is 0 for faults that last to the end or as their kind says.
	at       float64
	interval float64
	duration float64
}

// scenario is a load and the faults that are injected during it.
type scenario struct {
	help string
	// load and deadline override those of the Config if they are above 0.
	load     float64
	deadline time.Duration
	// flood replaces the demand of each house by its flood demand.
	flood bool
	// classes are the priority classes of the houses in order; houses without an element are ordinary.
	classes []carobbend.Class
	// cold makes upstreams slow after a start, as coldTime and coldFactor say.
	cold   bool
	faults []fault
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
			{kind: faultAddSnapshot, step: 1, value: 2, shards: 6, at: 0.1, interval: 0.005},
			{kind: faultDropSnapshot, step: 1, value: 1, at: 0.35, interval: 0.005},
			{kind: faultAddSnapshot, step: 1, value: 3, shards: 10, at: 0.55, interval: 0.005},
			{kind: faultDropSnapshot, step: 1, value: 2, at: 0.8, interval: 0.005},
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
		faults: []fault{{kind: faultDrain, step: 5, at: 0.1, interval: 0.1, duration: 0.4}},
	},
	"cold-start": {
		help: "one upstream in five restarts, one after the other, and is 5 times slower for 1 s", cold: true,
		faults: []fault{{kind: faultRestart, step: 5, at: 0.1, interval: 0.1}},
	},
	"lying-load": {
		help: "one replica in ten is 10 times slower and reports no load, another one in ten reports full load",
		faults: []fault{
			{kind: faultReportLoad, step: 10, value: 0, at: 0.1},
			{kind: faultSlow, step: 10, value: 10, at: 0.1},
			{kind: faultReportLoad, step: 10, offset: 5, value: 1, at: 0.1},
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
		faults: []fault{{kind: faultReplace, step: 1, at: 0.05, interval: 0.13}},
	},
}
