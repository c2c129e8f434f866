package allotter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"carobbend.example/carobbend"
)

// fleet is a set of instances that exchange messages over a simulated network without faults.
type fleet struct {
	rng       *rand.Rand
	now       time.Duration
	instances map[string]*Allotter
	names     []string
	record    *carobbend.AllotmentOwners
	events    []fleetEvent
	messages  int
	bytes     int
	// cut holds instances that no message reaches or leaves.
	cut map[string]bool
}

type fleetEvent struct {
	at time.Duration
	do func()
}

const (
	testWindow  = 5 * time.Second
	testSlack   = 20.0
	testOverage = 0.1
	tickTime    = 100 * time.Millisecond
	fleetSize   = 8
	// streamBytes is what a request and its reply take on a link beside their bodies: headers of the stream and of the frames.
	streamBytes = 120
)

func testConfig(name string, incarnation int) Config {
	return Config{
		Self: name, Incarnation: fmt.Sprintf("%04d", incarnation), Window: testWindow, Overage: testOverage, Slack: testSlack,
	}
}

func newFleet(seed uint64, accounts ...carobbend.Account) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), instances: map[string]*Allotter{}, cut: map[string]bool{}}
	for i := range fleetSize {
		f.names = append(f.names, fmt.Sprintf("i%d", i))
	}
	f.record = &carobbend.AllotmentOwners{Epoch: 1, Owners: f.names}
	for _, name := range f.names {
		a := New(testConfig(name, 1), 0)
		a.SetAccounts(0, accounts)
		f.instances[name] = a
	}
	return f
}

func (f *fleet) at(t time.Duration, do func()) { f.events = append(f.events, fleetEvent{t, do}) }

// run advances the time, with ticks of all instances each 0.1 s and a confirmation each second while confirmed is true.
func (f *fleet) run(until time.Duration, confirmed bool, arrive func(now time.Duration)) {
	for ; f.now < until; f.now += 10 * time.Millisecond {
		slices.SortStableFunc(f.events, func(p, q fleetEvent) int { return int(p.at - q.at) })
		for len(f.events) > 0 && f.events[0].at <= f.now {
			e := f.events[0]
			f.events = f.events[1:]
			e.do()
		}
		for i, name := range f.names {
			a := f.instances[name]
			phase := f.now + time.Duration(i)*10*time.Millisecond
			if confirmed && phase%time.Second == 0 {
				a.SetOwners(f.now, f.record)
				a.Confirm(f.now, f.now-50*time.Millisecond)
			}
			if phase%tickTime == 0 {
				f.tick(name, a)
			}
		}
		arrive(f.now)
	}
}

func (f *fleet) tick(name string, a *Allotter) {
	for _, r := range a.Tick(f.now) {
		f.messages++
		f.bytes += proto.Size(r.Body) + streamBytes
		b := f.instances[r.To]
		if f.cut[name] || f.cut[r.To] {
			f.at(f.now+replyTimeout, func() { a.Failed(f.now, r.To, r.Body.GetSequence()) })
			continue
		}
		f.at(f.now+time.Millisecond, func() {
			reply := b.Answer(f.now, name, r.Body)
			f.bytes += proto.Size(reply)
			f.at(f.now+time.Millisecond, func() { a.Accept(f.now, r.To, reply) })
		})
	}
}

// take takes a token for a request at an instance, which borrows one on a miss as Runner.Take does. The messages take no time.
func (f *fleet) take(name string, account *carobbend.Account) bool {
	a := f.instances[name]
	if _, ok := a.Take(f.now, account); ok {
		return true
	}
	owners, hash := a.Lenders(f.now, account)
	for _, owner := range owners {
		f.messages++
		f.bytes += streamBytes
		if f.cut[name] || f.cut[owner] {
			a.LenderFailed(f.now, owner)
		} else if _, ok := f.instances[owner].Lend(f.now, hash); ok {
			a.Borrowed(account)
			return true
		}
	}
	if len(owners) > 0 {
		a.NoneLent(f.now, account, 0)
	}
	return false
}

// poisson returns a random number of arrivals.
func (f *fleet) poisson(mean float64) int {
	n := 0
	for s := f.rng.ExpFloat64(); s < mean; s += f.rng.ExpFloat64() {
		n++
	}
	return n
}

func greatestWindow(runs []time.Duration, w time.Duration) (most int) {
	first := 0
	for i, t := range runs {
		for runs[first] <= t-w {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// bound is the greatest number of requests in a window.
func bound(a carobbend.Account) float64 {
	return (a.Rate*testWindow.Seconds()+a.Burst)*(1+testOverage) + testSlack
}

// TestUnevenConnections guards against refusals of an account within its limit whose callers all use the same one or two of
// eight instances, which an even division causes.
func TestUnevenConnections(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		using int
		most  float64
	}{{46, 1, 0.002}, {46, 2, 0.002}, {10, 2, 0.002}, {2.4, 2, 0.01}, {2.4, 1, 0.01}, {0.8, 2, 0.02}, {0.3, 1, 0.02}} {
		t.Run(fmt.Sprintf("%v a second through %d", c.rate, c.using), func(t *testing.T) {
			account := carobbend.Account{Name: "a", Rate: c.rate, Burst: c.rate}
			served, refused := 0, 0
			for seed := range uint64(4) {
				f := newFleet(seed, account)
				f.run(10*time.Second, true, func(time.Duration) {})
				var runs []time.Duration
				f.run(200*time.Second, true, func(now time.Duration) {
					for range f.poisson(0.6 * c.rate * 0.01) {
						if f.take(f.names[f.rng.IntN(c.using)], &account) {
							served++
							runs = append(runs, now)
						} else {
							refused++
						}
					}
				})
				if got, most := greatestWindow(runs, testWindow), bound(account); float64(got) > most {
					t.Errorf("seed %d: got %d requests in a window, want at most %v", seed, got, most)
				}
			}
			if got := float64(refused) / float64(served+refused); got > c.most {
				t.Errorf("got %.4f of %d requests refused, want at most %v", got, served+refused, c.most)
			} else {
				t.Logf("%.4f of %d requests refused", got, served+refused)
			}
		})
	}
}

// TestTraffic guards against messages that take more than 3 KB a second of an instance, with 80 accounts of which each sends
// through the two instances of one data centre, and against messages for accounts without requests.
func TestTraffic(t *testing.T) {
	accounts := make([]carobbend.Account, 0, 80)
	for i := range 80 {
		rate := 1.5
		if i < 4 {
			rate = 24
		}
		accounts = append(accounts, carobbend.Account{Name: fmt.Sprint("a", i), Rate: rate, Burst: rate})
	}
	f := newFleet(1, accounts...)
	f.run(10*time.Second, true, func(time.Duration) {})
	if f.messages > 0 {
		t.Errorf("without requests: got %d messages, want none", f.messages)
	}
	const seconds = 60
	served, refused := 0, 0
	f.run(f.now+seconds*time.Second, true, func(now time.Duration) {
		for i := range accounts {
			for range f.poisson(0.6 * accounts[i].Rate * 0.01) {
				if f.take(f.names[2*(i%4)+f.rng.IntN(2)], &accounts[i]) {
					served++
				} else {
					refused++
				}
			}
		}
	})
	// Each message is sent by one instance and received by another.
	perInstance := 2 * f.bytes / seconds / len(f.names)
	t.Logf("%d messages and %d bytes a second in and out of an instance; %d of %d refused",
		2*f.messages/seconds/len(f.names), perInstance, refused, served+refused)
	if perInstance > 3000 {
		t.Errorf("got %d bytes a second, want at most 3000", perInstance)
	}
}

func BenchmarkTake(b *testing.B) {
	account := carobbend.Account{Name: "a", Rate: 46, Burst: 46}
	f := newFleet(1, account)
	f.run(10*time.Second, true, func(time.Duration) {})
	a := f.instances["i0"]
	for b.Loop() {
		f.now += 10 * time.Microsecond
		a.Take(f.now, &account)
	}
}

// BenchmarkTick measures a tick of one instance with 80 accounts in use, and its part of answering the requests of others.
func BenchmarkTick(b *testing.B) {
	accounts := make([]carobbend.Account, 0, 80)
	for i := range 80 {
		accounts = append(accounts, carobbend.Account{Name: fmt.Sprint("a", i), Rate: 1.5, Burst: 1.5})
	}
	f := newFleet(1, accounts...)
	f.run(10*time.Second, true, func(time.Duration) {})
	for b.Loop() {
		f.run(f.now+tickTime, true, func(now time.Duration) {
			for i := range accounts {
				for range f.poisson(0.9 * 0.01) {
					f.take(f.names[2*(i%4)+f.rng.IntN(2)], &accounts[i])
				}
			}
		})
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(len(f.names)), "us/instance-tick")
}
