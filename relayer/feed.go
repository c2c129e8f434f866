package relayer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
	"carobbend.example/carobbend/linker"
	"carobbend.example/carobbend/logger"
)

const (
	// followWait is how long an instance that is asked may wait for a change, followSlack how long its answer may take
	// beyond that. Together they bound the time after which the loss of that instance is noticed.
	followWait  = 2 * time.Second
	followSlack = time.Second
	// avoidTime is how long an instance isn't asked again that gave no answer.
	avoidTime = 5 * time.Second
	// tries is the number of instances that are asked before the store is.
	tries = 2
)

var (
	errAway    = errors.New("the instance doesn't follow the store")
	errBehind  = errors.New("the instance hasn't seen the revision asked for")
	errNoList  = errors.New("the answer holds no list")
	errUnknown = errors.New("instances that can be reached have lost the store")
)

// Peers asks other instances. *linker.Linker implements it.
type Peers interface {
	// Learn records which instances there are.
	Learn(list []carobbend.Instance)
	// Ask sends a request to one of them.
	Ask(ctx context.Context, name string, req *encoder.Frame) (*encoder.Frame, error)
}

// Feed implements carobbend.Feed: it follows the list of instances through other instances, and everything else through the
// store. It isn't safe for concurrent use.
type Feed struct {
	store carobbend.ListFeed
	self  carobbend.Instance
	peers Peers
	log   logger.Logger

	// known is the last list, mark that of the instance that sent it.
	known map[string]carobbend.Instance
	mark  string
	// changed is the revision that the next list must include.
	changed uint64
	// relayed says that the last list came from an instance, so that the changes which the store would tell are unknown.
	relayed bool
	// source is the instance that is asked, avoided maps those that gave no answer to the end of the time that they aren't.
	source  string
	avoided map[string]time.Time
}

var _ carobbend.Feed = (*Feed)(nil)

// NewFeed returns a feed of the instance self.
func NewFeed(store carobbend.ListFeed, self carobbend.Instance, peers Peers) *Feed {
	return &Feed{
		store: store, self: self, peers: peers, log: logger.New("relayer"), avoided: map[string]time.Time{},
	}
}

// List implements carobbend.Feed.
func (f *Feed) List(ctx context.Context, scope carobbend.FeedScope) (carobbend.Listing, error) {
	if scope != carobbend.ScopeInstances {
		f.forget()
		return f.store.List(ctx, scope)
	}
	switch err := f.follow(ctx, 0); {
	case err == nil:
		return carobbend.Listing{Revision: f.changed, Instances: f.copyKnown()}, nil
	case isAway(err):
		return carobbend.Listing{}, err
	}
	if f.known == nil {
		// An old list is enough to find an instance that knows the present one.
		l, err := f.store.Glance(ctx, scope)
		if err != nil {
			return carobbend.Listing{}, err
		}
		f.learn(l.Instances, 0)
		if len(f.candidates(time.Now())) > 0 {
			return l, nil
		}
	}
	l, err := f.store.List(ctx, scope)
	if err != nil {
		return carobbend.Listing{}, err
	}
	f.learn(l.Instances, l.Revision)
	return l, nil
}

// Changes implements carobbend.Feed.
func (f *Feed) Changes(
	ctx context.Context, scope carobbend.FeedScope, after uint64, wait time.Duration,
) ([]carobbend.FeedChange, uint64, error) {
	if scope != carobbend.ScopeInstances {
		f.forget()
		return f.store.Changes(ctx, scope, after, wait)
	}
	before := f.known
	switch err := f.follow(ctx, min(wait, followWait)); {
	case err == nil:
		return difference(before, f.known), after, nil
	case isAway(err) || ctx.Err() != nil:
		return nil, 0, err
	case f.relayed || f.mark == "" && f.changed == 0:
		// What the instances told, or a list that may be old, is no state from which the store's changes can be followed.
		f.relayed = false
		return nil, 0, &carobbend.StoreError{Op: "follow", Kind: carobbend.StoreCompacted, Err: err}
	}
	changes, next, err := f.store.Changes(ctx, scope, after, wait)
	if err == nil {
		f.learn(applied(f.known, changes), next)
	}
	return changes, next, err
}

// forget drops what was learned; a list that is followed later is read anew.
func (f *Feed) forget() {
	f.known, f.mark, f.changed, f.relayed, f.source = nil, "", 0, false, ""
}

// learn records a list of the store.
func (f *Feed) learn(instances map[string]carobbend.Instance, revision uint64) {
	f.known, f.mark, f.relayed = instances, "", false
	f.changed = max(f.changed, revision)
	f.tellPeers()
}

func (f *Feed) tellPeers() {
	list := make([]carobbend.Instance, 0, len(f.known))
	for _, x := range f.known {
		list = append(list, x)
	}
	f.peers.Learn(list)
}

// follow asks one instance after another for a list that differs from the known one. Its error says that none was reached,
// or with kind away that those which were have lost the store: that is no reason for all to ask the store at once.
func (f *Feed) follow(ctx context.Context, wait time.Duration) error {
	err := error(&carobbend.StoreError{Op: "follow", Kind: carobbend.StoreNotFound, Err: errNoList})
	away := false
	for _, name := range f.candidates(time.Now()) {
		if err = f.ask(ctx, name, wait); err == nil {
			f.source = name
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		f.log.Info("instance not followed", "peer", name, "changed", f.changed, "reason", err)
		f.source = ""
		var e *Error
		switch {
		case errors.As(err, &e) && e.Kind == KindAway:
			away = true
		case errors.As(err, &e) && e.Kind == KindLink:
			f.avoided[name] = time.Now().Add(avoidTime)
		}
	}
	if away {
		return &carobbend.StoreError{Op: "follow", Kind: carobbend.StoreUnavailable, Err: errUnknown}
	}
	return err
}

func isAway(err error) bool { return carobbend.StoreFailureOf(err) == carobbend.StoreUnavailable }

// candidates returns the instances to ask: the one asked before, then those of this data centre, in random order.
func (f *Feed) candidates(now time.Time) []string {
	var near, far []string
	for name, x := range f.known {
		if until, ok := f.avoided[name]; ok {
			if now.Before(until) {
				continue
			}
			delete(f.avoided, name)
		}
		switch {
		case name == f.self.Name || name == f.source || x.Leaving || x.PeerAddress == "":
		case x.DataCentre == f.self.DataCentre:
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	for _, names := range [][]string{near, far} {
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	all := append(near, far...)
	if x, ok := f.known[f.source]; ok && !x.Leaving {
		all = append([]string{f.source}, all...)
	}
	return all[:min(len(all), tries)]
}

// ask asks one instance and records its list.
func (f *Feed) ask(ctx context.Context, name string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+followSlack)
	defer cancel()
	reply, err := f.peers.Ask(ctx, name, &encoder.Frame{Body: &encoder.Frame_InstancesRequest{
		InstancesRequest: &encoder.InstancesRequest{AtLeast: f.changed, Known: f.mark, WaitMs: wait.Milliseconds()},
	}})
	r := reply.GetInstancesReply()
	switch {
	case err != nil:
		return &Error{Op: "follow", Peer: name, Kind: KindLink, Err: err}
	case r.GetAway():
		return &Error{Op: "follow", Peer: name, Kind: KindAway, Err: errAway}
	case r.GetBehind():
		return &Error{Op: "follow", Peer: name, Kind: KindBehind, Err: errBehind}
	case r.GetMark() == "":
		return &Error{Op: "follow", Peer: name, Kind: KindLink, Err: errNoList}
	}
	if r.GetMark() == f.mark {
		return nil
	}
	f.known = make(map[string]carobbend.Instance, len(r.GetInstances()))
	for _, x := range r.GetInstances() {
		f.known[x.GetName()] = linker.DecodeInstance(x)
	}
	f.mark, f.relayed = r.GetMark(), true
	f.changed = max(f.changed, r.GetChanged())
	f.tellPeers()
	return nil
}

func (f *Feed) copyKnown() map[string]carobbend.Instance {
	out := make(map[string]carobbend.Instance, len(f.known))
	for name, x := range f.known {
		out[name] = x
	}
	return out
}

// difference returns the changes from one list to another.
func difference(before, after map[string]carobbend.Instance) []carobbend.FeedChange {
	var out []carobbend.FeedChange
	for name, x := range after {
		if old, ok := before[name]; !ok || old != x {
			out = append(out, carobbend.FeedChange{Instance: &x})
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			out = append(out, carobbend.FeedChange{GoneInstance: name})
		}
	}
	return out
}

// applied returns a list with changes of the store.
func applied(list map[string]carobbend.Instance, changes []carobbend.FeedChange) map[string]carobbend.Instance {
	out := make(map[string]carobbend.Instance, len(list)+1)
	for name, x := range list {
		out[name] = x
	}
	for _, c := range changes {
		if c.Instance != nil {
			out[c.Instance.Name] = *c.Instance
		}
		if c.GoneInstance != "" {
			delete(out, c.GoneInstance)
		}
	}
	return out
}
