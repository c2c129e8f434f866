// Package relayer passes the list of instances on from those that follow the store to those that don't.
//
// Each call to the store is paid for, and its rates grow more slowly than the fleet. Instances in reserve therefore ask an
// instance that serves, which follows the store anyway: a Relay answers, a Feed asks. The store itself is asked at the
// start, for a list that may be old and costs a tenth, and where no instance of the list can be reached.
//
// A list never goes back: each request names the revision of the store that the answer must include, and an instance that
// hasn't seen it, or has lost the store, says so.
//
// # Usage
//
//	relay := relayer.NewRelay(self)
//	links.AddHandlers(relay)
//	relay.Reached(revision, false)
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

// longestWait bounds the time that a request waits for a change.
const longestWait = 5 * time.Second

// ErrorKind says why a list wasn't learned from an instance.
type ErrorKind string

const (
	// KindLink says that the instance wasn't reached or gave no answer in time.
	KindLink ErrorKind = "link"
	// KindAway says that the instance doesn't follow the store itself.
	KindAway ErrorKind = "away"
	// KindBehind says that it follows the store but hasn't seen what this instance has.
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

// Relay answers other instances. It implements carobbend.PeerHandler and is safe for concurrent use. Until it is told that
// the store was reached it answers that it is away.
type Relay struct {
	incarnation string

	mu        sync.Mutex
	following bool
	revision  uint64
	// changed is the revision at the last change of the list, updates the number of changes.
	changed   uint64
	updates   uint64
	instances []*encoder.Instance
	// wake is closed at the next change.
	wake chan struct{}
}

var _ carobbend.PeerHandler = (*Relay)(nil)

// NewRelay returns a relay of the instance self.
func NewRelay(self carobbend.Instance) *Relay {
	return &Relay{incarnation: self.Incarnation, wake: make(chan struct{})}
}

// Reached records up to which revision the store was followed, or that it was lost.
func (r *Relay) Reached(revision uint64, away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = revision
	if r.following == away {
		r.following = !away
		r.notify()
	}
}

// Doubt lets the relay answer that it is away until the store is reached again, since the list may be old: the machine was
// suspended, say.
func (r *Relay) Doubt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.following {
		r.following = false
		r.notify()
	}
}

// Update replaces the list, as of the revision that was reached. A list that didn't come from the store is ignored.
func (r *Relay) Update(instances map[string]carobbend.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.following {
		return
	}
	r.instances = make([]*encoder.Instance, 0, len(instances))
	for _, x := range instances {
		r.instances = append(r.instances, linker.EncodeInstance(x))
	}
	r.changed = r.revision
	r.updates++
	r.notify()
}

// notify wakes the requests that wait; r.mu is held.
func (r *Relay) notify() {
	close(r.wake)
	r.wake = make(chan struct{})
}

// HandlePeer implements carobbend.PeerHandler.
func (r *Relay) HandlePeer(ctx context.Context, _ string, req *encoder.Frame) *encoder.Frame {
	q := req.GetInstancesRequest()
	if q == nil {
		return nil
	}
	wait := min(time.Duration(q.GetWaitMs())*time.Millisecond, longestWait)
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
			// A revision that was reached meanwhile wakes nobody, as it rises all the time.
			reply, _, _ = r.answer(q)
			return frame(reply)
		case <-ctx.Done():
			return frame(reply)
		}
	}
}

// answer returns the answer as of now, whether it needn't wait for a change, and a channel that is closed at the next one.
func (r *Relay) answer(q *encoder.InstancesRequest) (*encoder.InstancesReply, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.following:
		return &encoder.InstancesReply{Away: true}, true, nil
	case r.updates == 0 || r.revision < q.GetAtLeast():
		return &encoder.InstancesReply{Behind: true}, false, r.wake
	}
	reply := &encoder.InstancesReply{Mark: r.incarnation + "/" + strconv.FormatUint(r.updates, 10), Changed: r.changed}
	if reply.GetMark() == q.GetKnown() {
		return reply, false, r.wake
	}
	reply.Instances = r.instances
	return reply, true, nil
}

func frame(r *encoder.InstancesReply) *encoder.Frame {
	return &encoder.Frame{Body: &encoder.Frame_InstancesReply{InstancesReply: r}}
}
