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
	// pollWait is the longest time that a polled instance waits for a change, and pollSlack how long its reply may
	// take beyond that. Together they bound the time until the loss of that instance is noticed.
	pollWait  = 2 * time.Second
	pollSlack = time.Second
	// peerCooldown is how long an instance that did not answer is not polled again.
	peerCooldown = 5 * time.Second
	// maxPeersPolled is the number of instances that are polled before the store is asked.
	maxPeersPolled = 2
)

var (
	errStoreLost      = errors.New("the instance does not follow the store or has lost it")
	errBehind         = errors.New("the instance has not reached the requested revision")
	errNoList         = errors.New("the answer holds no list of instances")
	errPeersLostStore = errors.New("reachable instances have lost the store")
)

// Peers sends requests to other instances. *linker.Linker implements it.
type Peers interface {
	// ApplyList replaces the list of instances.
	ApplyList(list []carobbend.Instance)
	// Ask sends a request to one instance and returns its reply.
	Ask(ctx context.Context, name string, req *encoder.Frame) (*encoder.Frame, error)
}

// Feed implements carobbend.Feed. In carobbend.ScopeInstances it follows the list of instances by long polls of other
// instances, which spares store calls; other scopes go to the store. It is not safe for concurrent use.
type Feed struct {
	store carobbend.StaleFeed
	self  carobbend.Instance
	peers Peers
	log   logger.Logger

	// known is the last list. mark is the version tag of that list if an instance sent it, else empty.
	known map[string]carobbend.Instance
	mark  string
	// minRevision is the store revision that the next list must include.
	minRevision uint64
	// fromPeer is set if the last list came from an instance. The store's changes cannot be applied to such a list.
	fromPeer bool
	// source is the instance that answered the last poll. cooldownUntil maps instances that did not answer to the end
	// of their cooldown.
	source        string
	cooldownUntil map[string]time.Time
}

var _ carobbend.Feed = (*Feed)(nil)

// NewFeed returns the feed of the instance self.
func NewFeed(store carobbend.StaleFeed, self carobbend.Instance, peers Peers) *Feed {
	return &Feed{
		store: store, self: self, peers: peers, log: logger.New("relayer"), cooldownUntil: map[string]time.Time{},
	}
}

// List implements carobbend.Feed.
func (f *Feed) List(ctx context.Context, scope carobbend.FeedScope) (carobbend.Listing, error) {
	if scope != carobbend.ScopeInstances {
		f.reset()
		return f.store.List(ctx, scope)
	}
	switch err := f.pollPeers(ctx, 0); {
	case err == nil:
		return carobbend.Listing{Revision: f.minRevision, Instances: f.copyKnown()}, nil
	case isStoreUnavailable(err):
		return carobbend.Listing{}, err
	}
	if f.known == nil {
		// A stale list is enough to find an instance that has the current one.
		l, err := f.store.ListStale(ctx, scope)
		if err != nil {
			return carobbend.Listing{}, err
		}
		f.setStoreList(l.Instances, 0)
		if len(f.candidates(time.Now())) > 0 {
			return l, nil
		}
	}
	l, err := f.store.List(ctx, scope)
	if err != nil {
		return carobbend.Listing{}, err
	}
	f.setStoreList(l.Instances, l.Revision)
	return l, nil
}

// Changes implements carobbend.Feed.
func (f *Feed) Changes(
	ctx context.Context, scope carobbend.FeedScope, after uint64, wait time.Duration,
) ([]carobbend.FeedChange, uint64, error) {
	if scope != carobbend.ScopeInstances {
		f.reset()
		return f.store.Changes(ctx, scope, after, wait)
	}
	before := f.known
	switch err := f.pollPeers(ctx, min(wait, pollWait)); {
	case err == nil:
		return diffLists(before, f.known), after, nil
	case isStoreUnavailable(err) || ctx.Err() != nil:
		return nil, 0, err
	case f.fromPeer || f.mark == "" && f.minRevision == 0:
		// The store's changes cannot be followed from a list that an instance sent or that may be stale: the caller
		// lists again.
		f.fromPeer = false
		return nil, 0, &carobbend.StoreError{Op: "follow", Kind: carobbend.StoreCompacted, Err: err}
	}
	changes, next, err := f.store.Changes(ctx, scope, after, wait)
	if err == nil {
		f.setStoreList(applyChanges(f.known, changes), next)
	}
	return changes, next, err
}

// reset drops the list and its source, so that the instances are listed again when they are next followed.
func (f *Feed) reset() {
	f.known, f.mark, f.minRevision, f.fromPeer, f.source = nil, "", 0, false, ""
}

// setStoreList records a list that was read from the store.
func (f *Feed) setStoreList(instances map[string]carobbend.Instance, revision uint64) {
	f.known, f.mark, f.fromPeer = instances, "", false
	f.minRevision = max(f.minRevision, revision)
	f.updatePeers()
}

func (f *Feed) updatePeers() {
	list := make([]carobbend.Instance, 0, len(f.known))
	for _, x := range f.known {
		list = append(list, x)
	}
	f.peers.ApplyList(list)
}

// pollPeers polls one candidate after another until one returns a list or confirms the known one. If all fail and one
// of them has lost the store, the error is of kind carobbend.StoreUnavailable: an outage must not make all instances
// in reserve call the store at once.
func (f *Feed) pollPeers(ctx context.Context, wait time.Duration) error {
	err := error(&carobbend.StoreError{Op: "follow", Kind: carobbend.StoreNotFound, Err: errNoList})
	storeLost := false
	for _, name := range f.candidates(time.Now()) {
		if err = f.pollPeer(ctx, name, wait); err == nil {
			f.source = name
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		f.log.Info("poll of instance failed", "peer", name, "changed", f.minRevision, "reason", err)
		f.source = ""
		var e *Error
		switch {
		case errors.As(err, &e) && e.Kind == KindStoreLost:
			storeLost = true
		case errors.As(err, &e) && e.Kind == KindLink:
			f.cooldownUntil[name] = time.Now().Add(peerCooldown)
		}
	}
	if storeLost {
		return &carobbend.StoreError{Op: "follow", Kind: carobbend.StoreUnavailable, Err: errPeersLostStore}
	}
	return err
}

func isStoreUnavailable(err error) bool {
	return carobbend.StoreFailureOf(err) == carobbend.StoreUnavailable
}

// candidates returns the instances to poll, at most maxPeersPolled: first the source of the last reply, then those in
// this data centre in random order, then the others in random order.
func (f *Feed) candidates(now time.Time) []string {
	var inDataCentre, elsewhere []string
	for name, x := range f.known {
		if until, ok := f.cooldownUntil[name]; ok {
			if now.Before(until) {
				continue
			}
			delete(f.cooldownUntil, name)
		}
		switch {
		case name == f.self.Name || name == f.source || x.Leaving || x.PeerAddress == "":
		case x.DataCentre == f.self.DataCentre:
			inDataCentre = append(inDataCentre, name)
		default:
			elsewhere = append(elsewhere, name)
		}
	}
	for _, names := range [][]string{inDataCentre, elsewhere} {
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	all := append(inDataCentre, elsewhere...)
	if x, ok := f.known[f.source]; ok && !x.Leaving {
		all = append([]string{f.source}, all...)
	}
	return all[:min(len(all), maxPeersPolled)]
}

// pollPeer polls one instance and records its list if it differs from the known one.
func (f *Feed) pollPeer(ctx context.Context, name string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	reply, err := f.peers.Ask(ctx, name, &encoder.Frame{Body: &encoder.Frame_InstancesRequest{
		InstancesRequest: &encoder.InstancesRequest{AtLeast: f.minRevision, Known: f.mark, WaitMs: wait.Milliseconds()},
	}})
	r := reply.GetInstancesReply()
	switch {
	case err != nil:
		return &Error{Op: "follow", Peer: name, Kind: KindLink, Err: err}
	case r.GetAway():
		return &Error{Op: "follow", Peer: name, Kind: KindStoreLost, Err: errStoreLost}
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
	f.mark, f.fromPeer = r.GetMark(), true
	f.minRevision = max(f.minRevision, r.GetChanged())
	f.updatePeers()
	return nil
}

func (f *Feed) copyKnown() map[string]carobbend.Instance {
	out := make(map[string]carobbend.Instance, len(f.known))
	for name, x := range f.known {
		out[name] = x
	}
	return out
}

// diffLists returns the changes that turn the list before into the list after.
func diffLists(before, after map[string]carobbend.Instance) []carobbend.FeedChange {
	var out []carobbend.FeedChange
	for name, x := range after {
		if old, ok := before[name]; !ok || old != x {
			out = append(out, carobbend.FeedChange{Instance: &x})
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			out = append(out, carobbend.FeedChange{RemovedInstance: name})
		}
	}
	return out
}

// applyChanges returns a copy of the list with the changes applied.
func applyChanges(list map[string]carobbend.Instance, changes []carobbend.FeedChange) map[string]carobbend.Instance {
	out := make(map[string]carobbend.Instance, len(list)+1)
	for name, x := range list {
		out[name] = x
	}
	for _, c := range changes {
		if c.Instance != nil {
			out[c.Instance.Name] = *c.Instance
		}
		if c.RemovedInstance != "" {
			delete(out, c.RemovedInstance)
		}
	}
	return out
}
