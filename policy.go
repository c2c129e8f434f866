package carobbend

import "time"

// Balancer chooses replicas by the outcomes of the requests sent to them.
type Balancer interface {
	// Pick chooses one of the candidates for a new request, or returns false if none should receive one now.
	// Upstreams in avoid have already received this shard request and are chosen last or not at all.
	Pick(now time.Time, candidates, avoid []UpstreamID) (UpstreamID, bool)
	// Sent records that a request to id was started.
	Sent(now time.Time, id UpstreamID)
	// Finished records the end of a request; latency counts from Sent.
	Finished(now time.Time, id UpstreamID, latency time.Duration, kind FailureKind, load float64)
	// SetLeaving records that id accepts no new work, or that it accepts work again.
	SetLeaving(now time.Time, id UpstreamID, leaving bool)
}

// Hedger decides when a second request may be sent for a slow shard request.
type Hedger interface {
	// Delay returns the time after which a shard request of the index may be hedged.
	Delay(index string) time.Duration
	// Observe records the latency of a successful shard request.
	Observe(index string, latency time.Duration)
}

// RetainingHedger is a Hedger for indexes that come and go.
type RetainingHedger interface {
	Hedger
	// Retain drops the observations of indexes for which keep returns false.
	Retain(keep func(index string) bool)
}

// Budget bounds the extra load: hedges and retries in percent of primary shard requests.
type Budget interface {
	// Deposit adds percent of n primary shard requests to the budget; percent is the rule in force.
	Deposit(index string, n int, percent float64)
	// TryWithdraw takes one hedge or retry from the budget, or returns false.
	TryWithdraw(index string) bool
}

// Admitter queues queries and decides the order in which they start.
type Admitter interface {
	// Offer queues the ticket of a query, or refuses it at once; Refused returns it then.
	Offer(now time.Time, t *Ticket)
	// Next returns the next query to start, or nil; refused tickets are returned by Refused.
	Next(now time.Time) *Ticket
	// Finished records that a started query ended after the given service time.
	Finished(now time.Time, t *Ticket, service time.Duration)
	// Refused returns and clears the tickets refused since the last call.
	Refused() []*Ticket
}

// Ticket is one query waiting for admission.
type Ticket struct {
	Query Query
	Class Class
	// Cost is the number of shard requests that the query needs.
	Cost int
	// Detail says why the ticket was refused.
	Detail string
	// Admitted receives true when the query may start and false when it was refused; it has room for one value.
	Admitted chan bool
}

// Class is a priority class.
type Class int

const (
	// ClassOrdinary is the class of callers and indexes without a rule.
	ClassOrdinary Class = iota
	// ClassFirst is served before the others.
	ClassFirst
	// ClassLast is served after the others.
	ClassLast
)

// String returns the word used in the rule file.
func (c Class) String() string {
	switch c {
	case ClassFirst:
		return "first"
	case ClassLast:
		return "last"
	default:
		return "ordinary"
	}
}

// Rules returns the values of the rule file in force, or the defaults of subjects without a rule.
type Rules interface {
	// Version returns the version of the rule file; 0 if none is in force.
	Version() uint64
	// Class returns the priority class of a caller's queries to an index.
	Class(caller, index string) Class
	// Deadline returns the time an answer of the index may take.
	Deadline(index string) time.Duration
	// ExtraLoad returns the percentage of primary shard requests that may be spent on hedges and retries.
	ExtraLoad(index string) float64
	// Coverage returns the wanted share of covered shards, from 0 to 100 percent.
	Coverage(index string) float64
	// Share returns the weight of a house in admission.
	Share(house string) int
	// AtMostOnce reports whether an operation must never run twice.
	AtMostOnce(operation string) bool
}

// RulesSource returns the rules in force now.
type RulesSource interface {
	Rules() Rules
}
