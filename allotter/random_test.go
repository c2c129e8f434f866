package allotter

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
)

// message is a message on its way.
type message struct {
	from, to string
	// process is the sender's process of a request, to which its reply belongs.
	process *Allotter
	request *encoder.GrantRequest
	reply   *encoder.GrantReply
}

// reading is what an instance read from the store and hasn't taken in yet.
type reading struct {
	process *Allotter
	record  *carobbend.AllotmentOwners
	asOf    time.Duration
}

// adversary runs instances under a random schedule.
type adversary struct {
	t         *rapid.T
	now       time.Duration
	names     []string
	processes map[string]*Allotter
	// version is the version of the accounts that each process has.
	version  map[*Allotter]int
	started  int
	stored   *carobbend.AllotmentOwners
	revision uint64
	messages []message
	readings []reading
	limits   [][]carobbend.Account
	runs     map[string][]time.Duration
	// inForce is when each version of the limits was last in force in any process.
	inForce []time.Duration
	// undivided is the level of a bucket that isn't divided, as of the time at.
	undivided map[string]float64
	at        time.Duration
	// overdrafts holds the requests that were served without tokens.
	overdrafts map[string][]time.Duration
}

func (d *adversary) start(name string) {
	d.started++
	if old := d.processes[name]; old != nil {
		d.endVersion(old)
	}
	a := New(testConfig(name, d.started), d.now)
	d.version[a] = len(d.limits) - 1
	a.SetAccounts(d.now, d.limits[len(d.limits)-1])
	d.processes[name] = a
}

// endVersion records that a process doesn't apply its version of the limits any more.
func (d *adversary) endVersion(a *Allotter) {
	if v, ok := d.version[a]; ok {
		d.inForce[v] = max(d.inForce[v], d.now)
		delete(d.version, a)
	}
}

// changeScope lets a process stop following the routing, or follow it again. Its limits don't count while it doesn't.
func (d *adversary) changeScope() {
	_, a := d.pick()
	if !a.Resigned() {
		d.endVersion(a)
		a.Resign(d.now)
		return
	}
	a.Resume(d.now)
	d.adopt(a)
}

// pick draws an instance.
func (d *adversary) pick() (string, *Allotter) {
	name := rapid.SampledFrom(d.names).Draw(d.t, "instance")
	return name, d.processes[name]
}

// read reads the store for a process; the answer arrives later.
func (d *adversary) read() {
	_, a := d.pick()
	d.readings = append(d.readings, reading{a, d.stored, d.now})
}

func (d *adversary) takeReading() {
	if len(d.readings) == 0 {
		return
	}
	// Readings of one process arrive in order.
	r := d.readings[0]
	d.readings = d.readings[1:]
	if r.record != nil {
		d.setOwners(r.process, r.record)
	}
	r.process.Confirm(d.now, r.asOf)
}

func (d *adversary) setOwners(a *Allotter, record *carobbend.AllotmentOwners) {
	first := a.owners.first
	a.SetOwners(d.now, record)
	if a.owners.first && !first {
		// Until then, nobody has used this instance's parts.
		for name, x := range a.accounts {
			d.undivided[name] += x.level
		}
	}
}

// write lets an instance propose owners and writes them if its revision is the present one.
func (d *adversary) write() {
	_, a := d.pick()
	var desired []string
	for _, name := range d.names {
		if rapid.Bool().Draw(d.t, "owner") {
			desired = append(desired, name)
		}
	}
	r := a.Propose(d.now, desired)
	present := uint64(0)
	if d.stored != nil {
		present = d.stored.Revision
	}
	if r == nil || r.Revision != present {
		return
	}
	d.revision++
	stored := *r
	stored.Revision = d.revision
	d.stored = &stored
}

// ask lets an instance send the requests that are due.
func (d *adversary) ask() {
	name, a := d.pick()
	if a.Resigned() {
		return
	}
	for _, r := range a.Tick(d.now) {
		d.messages = append(d.messages, message{from: name, to: r.To, process: a, request: r.Body})
	}
}

// deliver delivers, loses or duplicates a message, in any order.
func (d *adversary) deliver() {
	if len(d.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.messages)-1).Draw(d.t, "message")
	l := d.messages[i]
	fate := rapid.IntRange(0, 9).Draw(d.t, "fate")
	if fate != 0 {
		d.messages = append(d.messages[:i:i], d.messages[i+1:]...)
	}
	if fate == 1 {
		l.process.Failed(d.now, l.to, l.request.GetSequence())
		return
	}
	if l.reply == nil {
		l.reply = d.processes[l.to].Answer(d.now, l.from, l.request)
		if rapid.Bool().Draw(d.t, "fast") {
			l.process.Accept(d.now, l.to, l.reply)
			return
		}
		d.messages = append(d.messages, l)
		return
	}
	l.process.Accept(d.now, l.to, l.reply)
}

// exchangeAll lets all instances read the store and exchange messages without faults for a while.
func (d *adversary) exchangeAll() {
	for range rapid.IntRange(1, 20).Draw(d.t, "rounds") {
		d.now += time.Duration(rapid.IntRange(50, 300).Draw(d.t, "round-ms")) * time.Millisecond
		for _, name := range d.names {
			a := d.processes[name]
			if d.stored != nil {
				d.setOwners(a, d.stored)
			}
			a.Confirm(d.now, d.now)
			if a.Resigned() {
				continue
			}
			for _, r := range a.Tick(d.now) {
				a.Accept(d.now, r.To, d.processes[r.To].Answer(d.now, name, r.Body))
			}
		}
	}
}

// changeLimits makes a new version of the limits, which processes adopt at other times.
func (d *adversary) changeLimits() {
	factor := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 2}).Draw(d.t, "factor")
	d.limits = append(d.limits, []carobbend.Account{
		{Name: "big", Rate: 46 * factor, Burst: 46 * factor}, {Name: "small", Rate: 0.8 * factor, Burst: factor},
	})
	d.inForce = append(d.inForce, d.now)
}

func (d *adversary) adoptLimits() {
	if _, a := d.pick(); !a.Resigned() {
		d.endVersion(a)
		d.adopt(a)
	}
}

func (d *adversary) adopt(a *Allotter) {
	d.version[a] = len(d.limits) - 1
	known := map[string]bool{}
	for name := range a.accounts {
		known[name] = true
	}
	a.SetAccounts(d.now, d.limits[d.version[a]])
	for name, x := range a.accounts {
		if !known[name] {
			// The parts of an account that was unknown for long have not been used.
			d.undivided[name] += x.level
		}
	}
}

// greatest returns the greatest rate and burst of an account that were in force in a process within two windows.
func (d *adversary) greatest(account int, end time.Duration) (rate, burst float64) {
	used := map[int]bool{}
	for _, v := range d.version {
		used[v] = true
	}
	for v, limits := range d.limits {
		if used[v] || d.inForce[v] >= end-2*testWindow {
			r, b := testConfig("", 0).bucket(&limits[account])
			rate, burst = max(rate, r), max(burst, b)
		}
	}
	return rate, burst
}

// TestBucketWithinBound guards against a bucket that, with the overdrafts and requests that arrive late, exceeds the bound of a window,
// and against one that uses little of it.
func TestBucketWithinBound(t *testing.T) {
	for _, l := range []carobbend.Account{{Rate: 0.1}, {Rate: 0.3, Burst: 0.3}, {Rate: 7, Burst: 7}, {Rate: 46, Burst: 46}, {Rate: 2, Burst: 900}, {Burst: 3}} {
		rate, burst := testConfig("", 0).bucket(&l)
		most := bound(l)
		got := rate*(testWindow+deliveryTime).Seconds() + burst + overdraftFraction*testSlack
		if got > most || got < most-marginFraction*testSlack-1e-6 || rate < 0 {
			t.Errorf("%v and %v: got %v in a window, want at most %v and a margin of %v", l.Rate, l.Burst, got, most, marginFraction*testSlack)
		}
	}
}

// check fails if the instances may use more parts than there are, or more tokens than a bucket that isn't divided would hold.
// The windows follow from both; they are seldom filled by a random schedule.
func (d *adversary) check() {
	for which, name := range []string{"big", "small"} {
		rate, burst := d.greatest(which, d.now)
		d.undivided[name] = min(d.undivided[name]+rate*(d.now-d.at).Seconds(), burst)
		parts, tokens := 0, 0.0
		for _, a := range d.processes {
			x := a.accounts[name]
			if x == nil {
				continue
			}
			a.settle(x, d.now)
			parts += x.parts
			tokens += x.level
		}
		if parts > whole {
			d.t.Fatalf("account %s at %v: got %d parts in use, want at most %d", name, d.now, parts, whole)
		}
		if tokens > d.undivided[name]+1e-6 {
			d.t.Fatalf("account %s at %v: got %v tokens, want at most %v", name, d.now, tokens, d.undivided[name])
		}
	}
	d.at = d.now
}

// countIn returns the number of times in the window to an end.
func countIn(times []time.Duration, end time.Duration) (n int) {
	for _, t := range times {
		if t > end-testWindow && t <= end {
			n++
		}
	}
	return n
}

// use sends requests through an instance until one is refused, or a few.
func (d *adversary) use() {
	_, a := d.pick()
	n := rapid.IntRange(1, 60).Draw(d.t, "requests")
	which := rapid.IntRange(0, 1).Draw(d.t, "account")
	limits := d.limits[d.version[a]][which]
	take := func() bool {
		_, ok := a.Take(d.now, &limits)
		return ok
	}
	if a.Resigned() {
		// It has no callers, but others still ask it.
		take = func() bool {
			_, ok := a.Lend(d.now, a.accounts[limits.Name].hash)
			return ok
		}
	} else if !limits.Limited() {
		return
	}
	if a.accounts[limits.Name] == nil {
		return
	}
	for range n {
		before := a.accounts[limits.Name].fromOverdraft
		if !take() {
			continue
		}
		d.runs[limits.Name] = append(d.runs[limits.Name], d.now)
		if a.accounts[limits.Name].fromOverdraft == before {
			d.undivided[limits.Name]--
			continue
		}
		d.overdrafts[limits.Name] = append(d.overdrafts[limits.Name], d.now)
		if got, most := countIn(d.overdrafts[limits.Name], d.now), overdraftFraction*testSlack; float64(got) > most {
			d.t.Fatalf("account %s, window to %v: got %d requests without tokens, want at most %v", limits.Name, d.now, got, most)
		}
	}
}

// TestBoundHoldsUnderFaults guards against more requests in a window than the limit: by parts that two instances use at once,
// tokens that count twice or owners that don't know of each other, under any order, delay, loss and repetition of messages,
// with processes that are killed, frozen, cut from each other and from the store or in reserve, changes of the owners and lower limits.
func TestBoundHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &adversary{t: t, processes: map[string]*Allotter{}, version: map[*Allotter]int{}, runs: map[string][]time.Duration{}, undivided: map[string]float64{}, overdrafts: map[string][]time.Duration{}}
		d.limits = [][]carobbend.Account{{
			{Name: "big", Rate: 46, Burst: 46}, {Name: "small", Rate: 0.8, Burst: 1},
		}}
		d.inForce = []time.Duration{0}
		for i := range rapid.IntRange(2, 4).Draw(t, "instances") {
			d.names = append(d.names, fmt.Sprintf("i%d", i))
		}
		for _, name := range d.names {
			d.start(name)
		}
		if rapid.IntRange(0, 9).Draw(t, "settled") > 0 {
			d.write()
			d.exchangeAll()
		}
		// In a third of the schedules, most steps are short, so that exchanges complete.
		longest := rapid.SampledFrom([]int{150, 600, 9000}).Draw(t, "longest-pause-ms")
		for range rapid.IntRange(100, 2000).Draw(t, "steps") {
			switch rapid.IntRange(0, 25).Draw(t, "step") {
			case 0, 1, 2, 3:
				d.now += time.Duration(rapid.IntRange(1, longest).Draw(t, "ms")) * time.Millisecond
			case 4, 5, 6:
				d.ask()
			case 7, 8, 9, 10:
				d.deliver()
			case 11, 12:
				d.use()
			case 13, 14:
				d.read()
			case 15, 16:
				d.takeReading()
			case 17:
				d.write()
			case 18:
				if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					name, _ := d.pick()
					d.start(name)
				}
			case 20, 21:
				d.exchangeAll()
			case 22:
				d.changeLimits()
			case 23, 24:
				d.adoptLimits()
			case 25:
				d.changeScope()
			case 19:
				// A long pause: all are frozen or cut off.
				if rapid.IntRange(0, 3).Draw(t, "long") == 0 {
					d.now += time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second
				}
			}
			d.check()
		}
		for which, name := range []string{"big", "small"} {
			for _, at := range d.runs[name] {
				rate, burst := d.greatest(which, at)
				most := rate*testWindow.Seconds() + burst + overdraftFraction*testSlack
				if got := countIn(d.runs[name], at); float64(got) > most+0.01 {
					t.Fatalf("account %s, window to %v: got %d requests, want at most %v", name, at, got, most)
				}
			}
		}
	})
}
