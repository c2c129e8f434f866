// Package admitter schedules queries before they run and refuses early those that can't be answered in time.
//
// Queries wait in bounded queues by priority class and house. The classes first, ordinary and last share the
// capacity by weights of 8:3:1, so that lower classes never starve. Inside a class the houses are served by deficit
// round robin over the cost of queries, weighted by their share. The number of running queries is limited; the
// limit grows while it is in use and falls when queries take much longer than their baseline or lose shards to sheds.
//
// Admitter is the scheduler without clock or goroutines and isn't safe for concurrent use. Gate wraps it for servers.
//
// # Usage
//
//	g := admitter.NewGate(admitter.New(admitter.WithShares(shareOf)))
//	release, refusal := g.Enter(ctx, query, class, shards)
//	if refusal != "" {
//		return notRun(refusal)
//	}
//	answer := runner.Run(ctx, query)
//	release(answer)
package admitter

import (
	"time"

	"carobbend.example/carobbend"
)

const (
	defaultHouseQueue = 64
	defaultTotalQueue = 1024
)

// Reasons for a refusal, as they appear in Ticket.Detail.
const (
	RefusedHouseFull = "the queue of the house is full"
	RefusedFull      = "the queue is full"
	RefusedDeadline  = "the deadline can't be met"
	RefusedCanceled  = "the caller gave up"
)

// Option configures an Admitter.
type Option func(*Admitter)

// WithShares sets the weight of each house within its class; weights below 1 count as 1.
func WithShares(f func(house string) int) Option { return func(a *Admitter) { a.shares = f } }

// WithQueue bounds the number of waiting queries, for each house of a class and in total.
func WithQueue(house, total int) Option {
	return func(a *Admitter) { a.houseQueue, a.totalQueue = house, total }
}

// WithLimit sets the initial, the minimum and the maximum limit of queries that run at a time.
func WithLimit(start, least, most int) Option {
	return func(a *Admitter) { a.limit = newConcurrency(start, least, most) }
}

// Admitter implements carobbend.Admitter.
type Admitter struct {
	shares     func(house string) int
	houseQueue int
	totalQueue int
	limit      concurrency

	classes [classCount]*classQueue
	// virtualTime is the virtual time, served cost over weight, of the class that was served last.
	virtualTime float64
	waiting     int
	running     int
	refused     []*carobbend.Ticket
}

var _ carobbend.Admitter = (*Admitter)(nil)

// New returns an Admitter with empty queues.
func New(opts ...Option) *Admitter {
	a := &Admitter{
		shares:     func(string) int { return 1 },
		houseQueue: defaultHouseQueue,
		totalQueue: defaultTotalQueue,
		limit:      newConcurrency(defaultLimit, defaultMin, defaultMax),
	}
	for i, w := range classWeights {
		a.classes[i] = newClassQueue(w)
	}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Offer queues a query, or refuses it if its queue is full or its deadline can't be met.
func (a *Admitter) Offer(now time.Time, t *carobbend.Ticket) {
	c := a.class(t)
	q := c.house(t.Query.House, a.share(t.Query.House))
	switch {
	case a.waiting >= a.totalQueue:
		a.refuse(t, RefusedFull)
	case q.len() >= a.houseQueue:
		a.refuse(t, RefusedHouseFull)
	case !t.Query.Deadline.IsZero() && now.Add(a.estimate(c, q, t)).After(t.Query.Deadline):
		a.refuse(t, RefusedDeadline)
	default:
		if c.waiting == 0 {
			// A class gains no credit for the capacity that it left unused while it was idle.
			c.virtualTime = max(c.virtualTime, a.virtualTime)
		}
		c.push(now, q, t)
		a.waiting++
	}
}

// Next returns the next query to start, or nil if none waits or the limit is reached.
func (a *Admitter) Next(now time.Time) *carobbend.Ticket {
	for a.waiting > 0 && a.running < a.limit.current() {
		c := a.nextClass()
		e := c.pop()
		t := e.ticket
		a.waiting--
		if a.late(now, e) {
			a.refuse(t, RefusedDeadline)
			continue
		}
		a.virtualTime = c.virtualTime
		c.virtualTime += float64(costOf(t)) / c.weight
		a.running++
		return t
	}
	return nil
}

// Finished records that a started query ended after the given service time.
func (a *Admitter) Finished(now time.Time, _ *carobbend.Ticket, service time.Duration) {
	used := usedRatio*a.running >= a.limit.current()
	a.running = max(a.running-1, 0)
	a.limit.finished(now, service, used)
}

// Congested records that a started query lost a share of its shards, from 0 to 1, to sheds or to the deadline; it is
// called before Finished.
func (a *Admitter) Congested(now time.Time, share float64) { a.limit.decrease(now, 1-lostWeight*share) }

// Refused returns and clears the tickets refused since the last call.
func (a *Admitter) Refused() []*carobbend.Ticket {
	r := a.refused
	a.refused = nil
	return r
}

// Cancel removes a waiting ticket from its queue and refuses it. It returns false if the ticket no longer waits.
func (a *Admitter) Cancel(t *carobbend.Ticket) bool {
	c := a.class(t)
	if !c.remove(t) {
		return false
	}
	a.waiting--
	a.refuse(t, RefusedCanceled)
	return true
}

// Running returns the number of started queries that haven't ended, and the limit.
func (a *Admitter) Running() (n, limit int) { return a.running, a.limit.current() }

// Waiting returns the number of queries that wait.
func (a *Admitter) Waiting() int { return a.waiting }

func (a *Admitter) class(t *carobbend.Ticket) *classQueue {
	if i := int(t.Class); i >= 0 && i < classCount {
		return a.classes[i]
	}
	return a.classes[carobbend.ClassOrdinary]
}

func (a *Admitter) share(house string) int { return max(a.shares(house), 1) }

func (a *Admitter) refuse(t *carobbend.Ticket, detail string) {
	t.Detail = detail
	a.refused = append(a.refused, t)
}

// late reports whether a query that waited is expected to miss its deadline if it started now. One that didn't wait always
// starts: otherwise, while queries take as long as their deadline allows, none would start and service times that have become
// shorter would go unobserved.
func (a *Admitter) late(now time.Time, e entry) bool {
	d := e.ticket.Query.Deadline
	return !d.IsZero() && now.After(e.offered) && now.Add(a.limit.requiredTime()).After(d)
}

// nextClass returns the class with waiting queries that has the least virtual time.
func (a *Admitter) nextClass() *classQueue {
	var best *classQueue
	for _, i := range classOrder {
		c := a.classes[i]
		if c.waiting > 0 && (best == nil || c.virtualTime < best.virtualTime) {
			best = c
		}
	}
	return best
}

// estimate returns the expected time to the answer: the wait behind the house's own queue, at the rate given by the house's
// share of the class and the class's share of the capacity, plus the required service time. It is 0 if the query may start
// at once.
func (a *Admitter) estimate(c *classQueue, q *houseQueue, t *carobbend.Ticket) time.Duration {
	if a.waiting == 0 && a.running < a.limit.current() {
		return 0
	}
	others := 0.0
	for _, o := range a.classes {
		if o != c && o.waiting > 0 {
			others += o.weight
		}
	}
	shares := float64(c.shares)
	if q.len() == 0 {
		shares += float64(q.share)
	}
	cost := float64(costOf(t))
	// ahead counts the queries of the class that run before this one, in units of its own cost.
	ahead := float64(max(q.cost+costOf(t)-c.credit(q), 0)) / cost * shares / float64(q.share)
	// lag counts those of the other classes that run before the class is served again. It is 0 for a class that used less than
	// its share; counting a whole round for such a class refused a quarter of its queries in overload.
	lag := max(c.virtualTime-a.virtualTime, 0) * others / cost
	ahead = ahead*(c.weight+others)/c.weight + lag + 1
	wait := time.Duration(ahead / float64(a.limit.current()) * float64(a.limit.mean()))
	return wait + a.limit.requiredTime()
}

func costOf(t *carobbend.Ticket) int { return max(t.Cost, 1) }
