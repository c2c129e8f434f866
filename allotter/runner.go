package allotter

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/sleeper"
	"carobbend.example/carobbend/timekeeper"
)

const (
	// tickInterval is the time between two checks whether parts are to be asked for.
	tickInterval = 100 * time.Millisecond
	// reportInterval is the time between two reports of accounts beyond their limits, and maxReported the number of accounts in one.
	reportInterval = 10 * time.Second
	maxReported    = 5
	// writeTimeout bounds a write of the record of owners.
	writeTimeout = time.Second
)

var errNoTokenReply = errors.New("the reply isn't one to a request for a token")

// Peers sends requests to other instances. *linker.Linker implements it.
type Peers interface {
	// ApplyList replaces the list of instances.
	ApplyList(list []carobbend.Instance)
	// Ask sends a request to one instance and returns its reply.
	Ask(ctx context.Context, name string, req *encoder.Frame) (*encoder.Frame, error)
}

// Runner connects an Allotter with the store and the other instances. It is safe for concurrent use.
type Runner struct {
	core     *Allotter
	peers    Peers
	store    carobbend.AllotmentStore
	election election
	now      func() time.Duration
	log      logger.Logger

	mu        sync.Mutex
	instances map[string]carobbend.Instance
}

var _ carobbend.PeerHandler = (*Runner)(nil)

// NewRunner returns a runner of the instance that cfg names. peers may be nil; the instance then uses only the parts that it
// owns.
func NewRunner(cfg Config, peers Peers, store carobbend.AllotmentStore) *Runner {
	return newRunner(cfg, peers, store, timekeeper.Boot)
}

func newRunner(cfg Config, peers Peers, store carobbend.AllotmentStore, now func() time.Duration) *Runner {
	return &Runner{
		core: New(cfg, now()), peers: peers, store: store, election: newElection(cfg.Self), now: now,
		log: logger.New("allotter"),
	}
}

// Resign gives up the parts that this instance owns, since it stops following the routing.
func (r *Runner) Resign() { r.core.Resign(r.now()) }

// Resume lets this instance use its parts again once it has read the store. It is called before the routing is followed again.
func (r *Runner) Resume() { r.core.Resume(r.now()) }

// SetAccounts sets the accounts of the routing in force.
func (r *Runner) SetAccounts(list []carobbend.Account) { r.core.SetAccounts(r.now(), list) }

// Check reports whether a request of a limited account would get a token now. Otherwise it counts as refused, and the time
// after which a token is expected is returned.
func (r *Runner) Check(account *carobbend.Account) (retryAfter time.Duration, ok bool) {
	return r.core.Check(r.now(), account)
}

// Take takes a token of a limited account for one request. Without one it returns false and the time after which one is expected.
//
// If this instance has none, it asks the owners of the allotment, within some milliseconds: an account that sends little has too few
// tokens to spread them over the instances in advance.
func (r *Runner) Take(ctx context.Context, account *carobbend.Account) (retryAfter time.Duration, ok bool) {
	retryAfter, ok = r.core.Take(r.now(), account)
	if ok || r.peers == nil {
		return retryAfter, ok
	}
	owners, hash := r.core.Lenders(r.now(), account)
	if len(owners) == 0 {
		return retryAfter, false
	}
	soonest := time.Duration(0)
	for _, owner := range owners {
		reply, err := r.borrow(ctx, owner, hash)
		switch {
		case ctx.Err() != nil:
			return retryAfter, false
		case err != nil:
			r.core.LenderFailed(r.now(), owner)
		case reply.GetGiven():
			r.core.Borrowed(account)
			return 0, true
		case reply.GetRetryAfterMs() > 0:
			after := time.Duration(min(reply.GetRetryAfterMs(), uint64(maxRetryAfter.Milliseconds()))) * time.Millisecond
			if soonest == 0 || after < soonest {
				soonest = after
			}
		}
	}
	r.core.NoneLent(r.now(), account, soonest)
	if soonest > 0 {
		retryAfter = min(retryAfter, soonest)
	}
	return retryAfter, false
}

// borrow asks an owner for one token.
func (r *Runner) borrow(ctx context.Context, owner string, hash uint32) (*encoder.TokenReply, error) {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	reply, err := r.peers.Ask(ctx, owner, &encoder.Frame{Body: &encoder.Frame_TokenRequest{TokenRequest: &encoder.TokenRequest{Account: hash}}})
	if err != nil {
		return nil, err
	}
	if reply.GetTokenReply() == nil {
		return nil, errNoTokenReply
	}
	return reply.GetTokenReply(), nil
}

// Return gives back the token of a request that was not run by any upstream and never will be.
func (r *Runner) Return(account *carobbend.Account) { r.core.Return(r.now(), account) }

// Accounts returns the state of the limited accounts, ordered by name.
func (r *Runner) Accounts() []Account { return r.core.Accounts(r.now()) }

// Update sets the list of instances.
func (r *Runner) Update(instances map[string]carobbend.Instance) {
	r.mu.Lock()
	r.instances = instances
	r.mu.Unlock()
	if r.peers == nil || !r.core.Limited() {
		return
	}
	list := make([]carobbend.Instance, 0, len(instances))
	for _, x := range instances {
		list = append(list, x)
	}
	r.peers.ApplyList(list)
}

// HandlePeer implements carobbend.PeerHandler.
func (r *Runner) HandlePeer(_ context.Context, from string, req *encoder.Frame) *encoder.Frame {
	if q := req.GetTokenRequest(); q != nil {
		after, ok := r.core.Lend(r.now(), q.GetAccount())
		reply := &encoder.TokenReply{Given: ok, RetryAfterMs: uint64(after.Milliseconds())}
		return &encoder.Frame{Body: &encoder.Frame_TokenReply{TokenReply: reply}}
	}
	q := req.GetGrantRequest()
	if q == nil {
		return nil
	}
	return &encoder.Frame{Body: &encoder.Frame_GrantReply{GrantReply: r.core.Answer(r.now(), from, q)}}
}

// Run asks for parts and maintains the record of owners until ctx ends. Without limited accounts it does neither.
func (r *Runner) Run(ctx context.Context) error {
	listed := false
	var refusals refusalReport
	for sleeper.Sleep(ctx, tickInterval) {
		if !r.core.Limited() || r.core.Resigned() {
			listed = false
			continue
		}
		if !listed {
			// The list may have come before the first limited account.
			r.mu.Lock()
			instances := r.instances
			r.mu.Unlock()
			r.Update(instances)
			listed = true
		}
		for _, q := range r.core.Tick(r.now()) {
			if r.peers != nil {
				go r.ask(ctx, q)
			}
		}
		r.maintainRecord(ctx)
		if now := r.now(); refusals.due(now) {
			for _, x := range refusals.next(r.core.Accounts(now)) {
				r.log.Info("account beyond its limit", "account", x.Name, "refused", x.Refused, "served", x.Served,
					"rate", x.Rate, "burst", x.Burst, "share", x.Share, "granted", x.Granted, "seconds", reportInterval.Seconds())
			}
		}
	}
	return ctx.Err()
}

// refusalReport determines which accounts were refused most since the last report.
type refusalReport struct {
	last    map[string]Account
	started bool
	at      time.Duration
}

// due reports whether a report is due.
func (p *refusalReport) due(now time.Duration) bool {
	if p.started && now < p.at+reportInterval {
		return false
	}
	p.started, p.at = true, now
	return true
}

// next returns the accounts with most refusals since the last report, with the numbers since then.
func (p *refusalReport) next(accounts []Account) []Account {
	var out []Account
	last := p.last
	p.last = make(map[string]Account, len(accounts))
	for _, x := range accounts {
		p.last[x.Name] = x
		x.Refused -= last[x.Name].Refused
		x.Served -= last[x.Name].Served
		if x.Refused > 0 {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(p, q Account) int { return cmp.Or(cmp.Compare(q.Refused, p.Refused), cmp.Compare(p.Name, q.Name)) })
	return out[:min(len(out), maxReported)]
}

// ask sends one request for parts. There is at most one at a time for each owner.
func (r *Runner) ask(ctx context.Context, q Request) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	reply, err := r.peers.Ask(ctx, q.To, &encoder.Frame{Body: &encoder.Frame_GrantRequest{GrantRequest: q.Body}})
	if err != nil || reply.GetGrantReply() == nil {
		if first := r.core.Failed(r.now(), q.To, q.Body.GetSequence()); first {
			r.log.Info("owner of allotments doesn't answer", "peer", q.To, "reason", err)
		}
		return
	}
	r.core.Accept(r.now(), q.To, reply.GetGrantReply())
}

// maintainRecord writes a new record of owners to the store if one is due and it is this instance's turn.
func (r *Runner) maintainRecord(ctx context.Context) {
	now := r.now()
	r.mu.Lock()
	instances := r.instances
	r.mu.Unlock()
	present, _ := r.core.Owners(now)
	desired := r.election.owners(now, instances, present)
	record := r.core.Propose(now, desired)
	if record == nil || !r.election.turn(now, desired, record.Epoch) {
		return
	}
	// A slow store must not delay the requests for parts.
	go r.write(ctx, *record)
}

func (r *Runner) write(ctx context.Context, record carobbend.AllotmentOwners) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := r.store.WriteOwners(ctx, record); err != nil {
		r.log.Error(err, "owners of allotments not written", "epoch", record.Epoch)
		return
	}
	r.log.Info("owners of allotments written", "epoch", record.Epoch, "owners", len(record.Owners), "former", len(record.Former))
}

// Feed returns a feed that passes on what feed reads, after the record of owners has been taken from it.
func (r *Runner) Feed(feed carobbend.Feed) carobbend.Feed {
	return &observedFeed{feed: feed, runner: r}
}

// observedFeed tells a runner of the record of owners and until when it was current.
type observedFeed struct {
	feed   carobbend.Feed
	runner *Runner
}

// List implements carobbend.Feed.
func (f *observedFeed) List(ctx context.Context, scope carobbend.FeedScope) (carobbend.Listing, error) {
	sent := f.runner.now()
	l, err := f.feed.List(ctx, scope)
	if err == nil && scope == carobbend.ScopeAll {
		f.runner.observe(sent, l.AllotmentOwners)
	}
	return l, err
}

// Changes implements carobbend.Feed.
func (f *observedFeed) Changes(
	ctx context.Context, scope carobbend.FeedScope, after uint64, wait time.Duration,
) ([]carobbend.FeedChange, uint64, error) {
	sent := f.runner.now()
	changes, next, err := f.feed.Changes(ctx, scope, after, wait)
	if err == nil && scope == carobbend.ScopeAll {
		var last *carobbend.AllotmentOwners
		for _, c := range changes {
			if c.AllotmentOwners != nil {
				last = c.AllotmentOwners
			}
		}
		f.runner.observe(sent, last)
	}
	return changes, next, err
}

// observe takes in what a call to the store that was sent at a time returned; record is nil if it has not changed.
func (r *Runner) observe(sent time.Duration, record *carobbend.AllotmentOwners) {
	now := r.now()
	if record != nil && r.core.SetOwners(now, record) {
		r.log.Info("owners of allotments", "epoch", record.Epoch, "owners", len(record.Owners), "former", len(record.Former))
	}
	r.core.Confirm(now, sent)
}
