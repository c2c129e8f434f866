// Package relayer distributes the list of instances from the instances that follow the store to those in reserve.
//
// Each store call is paid for, and the store's rate limits grow more slowly than the number of instances. Instances
// in reserve therefore poll a serving instance, which follows the store anyway: a Relay answers the polls that a Feed
// sends. A Feed calls the store itself only at its start, for a list that may be stale and costs a tenth of a current
// one, and when it can reach no instance of its list.
//
// A list never goes back to an older revision: each request states the store revision that the reply must include,
// and an instance that has not reached this revision or has lost the store says so.
//
// # Usage
//
//	relay := relayer.NewRelay(self)
//	links.AddHandlers(relay)
//	relay.SetStoreState(revision, false)
//	relay.Update(instances)
//
//	feed := relayer.NewFeed(store, self, links)
package relayer

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
	"carobbend.example/carobbend/linker"
)

// maxWait bounds the time that a request waits for a change.
const maxWait = 5 * time.Second

// ErrorKind is the reason why an instance returned no list.
type ErrorKind string

const (
	// KindLink means that the instance was unreachable, or sent no valid reply in time.
	KindLink ErrorKind = "link"
	// KindStoreLost means that the instance does not follow the store, or has lost it.
	KindStoreLost ErrorKind = "away"
	// KindBehind means that the instance follows the store, but has not reached the requested revision.
	KindBehind ErrorKind = "behind"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Peer string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("relayer %s %s: %s: %v", e.Op, e.Peer, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Relay answers requests for the list of instances. It implements carobbend.PeerHandler and is safe for concurrent
// use. Until SetStoreState first reports that the store was reached, it replies that it has lost the store.
type Relay struct {
	incarnation string

	mu       sync.Mutex
	hasStore bool
	revision uint64
	// listRevision is the store revision of the last change to the list, updates the number of changes.
	listRevision uint64
	updates      uint64
	instances    []*encoder.Instance
	// wake is closed at the next change.
	wake chan struct{}
}

var _ carobbend.PeerHandler = (*Relay)(nil)

// NewRelay returns the relay of the instance self.
func NewRelay(self carobbend.Instance) *Relay {
	return &Relay{incarnation: self.Incarnation, wake: make(chan struct{})}
}

// SetStoreState records the revision up to which the store was followed, and whether the store was lost since.
func (r *Relay) SetStoreState(revision uint64, storeLost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = revision
	if r.hasStore == storeLost {
		r.hasStore = !storeLost
		r.wakeWaiters()
	}
}

// Invalidate makes the relay reply that it has lost the store until SetStoreState reports otherwise. It is for when the
// list may be outdated, for instance after a suspension of the machine.
func (r *Relay) Invalidate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasStore {
		r.hasStore = false
		r.wakeWaiters()
	}
}

// Update replaces the list, which is valid as of the revision last passed to SetStoreState. While the store is lost
// the list is ignored, since it does not come from the store.
func (r *Relay) Update(instances map[string]carobbend.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasStore {
		return
	}
	r.instances = make([]*encoder.Instance, 0, len(instances))
	for _, x := range instances {
		r.instances = append(r.instances, linker.EncodeInstance(x))
	}
	r.listRevision = r.revision
	r.updates++
	r.wakeWaiters()
}

// wakeWaiters wakes the waiting requests. r.mu is held.
func (r *Relay) wakeWaiters() {
	close(r.wake)
	r.wake = make(chan struct{})
}

// HandlePeer implements carobbend.PeerHandler.
func (r *Relay) HandlePeer(ctx context.Context, _ string, req *encoder.Frame) *encoder.Frame {
	q := req.GetInstancesRequest()
	if q == nil {
		return nil
	}
	wait := min(time.Duration(q.GetWaitMs())*time.Millisecond, maxWait)
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		reply, final, wake := r.answer(q)
		if final {
			return frame(reply)
		}
		select {
		case <-wake:
		case <-t.C:
			// A higher revision alone wakes no request, since it rises all the time; it is taken into account here.
			reply, _, _ = r.answer(q)
			return frame(reply)
		case <-ctx.Done():
			return frame(reply)
		}
	}
}

// answer returns the reply as of now, whether it can be sent without waiting for a change, and a channel that is
// closed at the next change.
func (r *Relay) answer(q *encoder.InstancesRequest) (*encoder.InstancesReply, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.hasStore:
		return &encoder.InstancesReply{Away: true}, true, nil
	case r.updates == 0 || r.revision < q.GetAtLeast():
		return &encoder.InstancesReply{Behind: true}, false, r.wake
	}
	reply := &encoder.InstancesReply{Mark: r.incarnation + "/" + strconv.FormatUint(r.updates, 10), Changed: r.listRevision}
	if reply.GetMark() == q.GetKnown() {
		return reply, false, r.wake
	}
	reply.Instances = r.instances
	return reply, true, nil
}

func frame(r *encoder.InstancesReply) *encoder.Frame {
	return &encoder.Frame{Body: &encoder.Frame_InstancesReply{InstancesReply: r}}
}
