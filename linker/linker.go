// Package linker connects an instance with its peers over yamux links and maintains its view of the membership.
//
// The platform's instance list lags. Each instance therefore gossips: it sends notices of its own state to a few random
// peers every two seconds and to all of them when it leaves, and relays recent changes of others. A link that makes no
// progress is closed, and the next request opens a new one. Links are opened on demand and closed when idle, so that an
// instance holds few of them even in a large fleet.
//
// # Usage
//
//	l := linker.New(self, linker.WithList(list))
//	l.AddHandlers(distributor, claimer)
//	go l.Serve(listener)
//	go l.Run(ctx)
//	reply, err := l.Ask(ctx, "leon-2", frame)
//	err = l.Tell(ctx, "leon-2", frame) // without a reply
package linker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
	"carobbend.example/carobbend/logger"
)

const (
	// roundInterval is the time between two gossip rounds. Notices are sent every roundsPerNotice rounds, and in the next
	// round after this instance's state changed.
	roundInterval   = time.Second
	roundsPerNotice = 2
	// fanout is the minimum number of peers, if there are as many, that receive a notice in a round in which notices are
	// due: fanout+1 live instances are drawn at random, and this one, if drawn, is skipped. A change reaches all n
	// instances in about log(n)/log(fanout+1) such rounds.
	fanout = 2
	// maxRelayedInstances bounds the other instances whose state a notice relays besides the sender's own.
	maxRelayedInstances = 8
	// pauseThreshold is the time between two rounds beyond which the process counts as paused.
	pauseThreshold = 3 * time.Second
	// noticeTimeout bounds the sending of one notice.
	noticeTimeout = time.Second
)

// ErrorKind says how a request to a peer failed.
type ErrorKind string

const (
	// KindUnknownPeer says that the view holds no such instance.
	KindUnknownPeer ErrorKind = "unknown-peer"
	// KindLink says that the link can't be opened or broke.
	KindLink ErrorKind = "link"
	// KindRefused says that the peer has no handler for the request.
	KindRefused ErrorKind = "refused"
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
	return fmt.Sprintf("linker %s %s: %s: %v", e.Op, e.Peer, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var errNoAddress = errors.New("no live instance of this name")

// List reads the platform's instance list.
type List func(ctx context.Context) ([]carobbend.Instance, error)

// Linker implements carobbend.Peers. Create it with New.
type Linker struct {
	self     string
	list     List
	handlers []carobbend.PeerHandler
	// refuseNotices says that notices from peers are refused.
	refuseNotices bool
	updateSelf    func(*carobbend.Instance)
	onRound       func(live []carobbend.Instance)
	now           func() time.Time
	log           logger.Logger

	mu    sync.Mutex
	view  *membership
	links map[string]*link
	bytes atomic.Int64
}

// Option configures a Linker.
type Option func(*Linker)

// WithList sets the source of the instance list.
func WithList(l List) Option { return func(k *Linker) { k.list = l } }

// WithSelfUpdate sets a function that updates this instance's load, readiness and rules version; each round calls it
// before notices are sent.
func WithSelfUpdate(f func(self *carobbend.Instance)) Option {
	return func(k *Linker) { k.updateSelf = f }
}

// WithOnRound sets a function that is called with the live instances after each round, changed or not.
func WithOnRound(f func(live []carobbend.Instance)) Option {
	return func(k *Linker) { k.onRound = f }
}

// WithoutNotices refuses notices, for instances that read the list from the store alone: otherwise anyone who can reach
// the port could announce another address for an instance.
func WithoutNotices() Option { return func(k *Linker) { k.refuseNotices = true } }

// New returns a linker for the instance self, whose incarnation must be set.
func New(self carobbend.Instance, opts ...Option) *Linker {
	k := &Linker{
		self:       self.Name,
		updateSelf: func(*carobbend.Instance) {}, onRound: func([]carobbend.Instance) {},
		now: time.Now, log: logger.New("linker"), view: newMembership(self), links: map[string]*link{},
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

// AddHandlers adds handlers for peers' requests, which are tried in order; it must be called before Serve. It isn't an
// option, since the handlers need the linker.
func (k *Linker) AddHandlers(hs ...carobbend.PeerHandler) { k.handlers = append(k.handlers, hs...) }

// ApplyList applies a list of instances that was read elsewhere, so that Ask can reach them. It also closes idle links.
func (k *Linker) ApplyList(list []carobbend.Instance) {
	k.mu.Lock()
	k.view.applyList(k.now(), list, rand.Float64())
	k.mu.Unlock()
	k.CloseIdle()
}

// Self implements carobbend.Members.
func (k *Linker) Self() carobbend.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.self
}

// Live implements carobbend.Members.
func (k *Linker) Live() []carobbend.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.instances(k.now(), false)
}

// Preferred implements carobbend.Members.
func (k *Linker) Preferred(key string, n int) []carobbend.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.preferred(k.now(), key, n)
}

// Bytes returns the bytes sent and received over all links so far.
func (k *Linker) Bytes() int64 { return k.bytes.Load() }

// SetLeaving sets whether this instance is leaving and immediately sends a notice of it to all live peers.
func (k *Linker) SetLeaving(ctx context.Context, leaving bool) {
	k.mu.Lock()
	k.view.self.Leaving = leaving
	k.view.self.Sequence++
	peers := k.view.instances(k.now(), false)
	k.mu.Unlock()
	k.sendNotices(ctx, peers)
}

// Run reads the instance list and exchanges notices until ctx is done.
func (k *Linker) Run(ctx context.Context) error {
	defer k.closeLinks()
	last := k.now()
	t := time.NewTicker(roundInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		k.runRound(ctx, n)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := k.now()
		if now.Sub(last) > pauseThreshold {
			k.log.Info("pause detected", "gap", now.Sub(last))
			k.mu.Lock()
			k.view.invalidate()
			k.mu.Unlock()
		}
		last = now
	}
}

// runRound reads the list if that is due, calls onRound with the live instances and, if notices are due, sends them to a
// few random peers.
func (k *Linker) runRound(ctx context.Context, n int) {
	k.readList(ctx)
	k.mu.Lock()
	before := k.view.self
	k.updateSelf(&k.view.self)
	if k.view.self != before {
		k.view.self.Sequence++
	}
	due := n%roundsPerNotice == 0 || relayedStateDiffers(before, k.view.self)
	live := k.view.instances(k.now(), false)
	k.mu.Unlock()
	k.onRound(live)
	k.CloseIdle()
	if !due {
		return
	}
	peers := append([]carobbend.Instance(nil), live...)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	k.sendNotices(ctx, peers[:min(fanout+1, len(peers))])
}

func (k *Linker) readList(ctx context.Context) {
	k.mu.Lock()
	due := k.list != nil && k.view.listDue(k.now())
	k.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundInterval)
	defer cancel()
	list, err := k.list(ctx)
	if err != nil {
		k.log.Error(err, "instance list not read")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view.applyList(k.now(), list, rand.Float64())
}

// sendNotices sends this instance's state and recent changes of others to peers, and applies the notices in their replies.
func (k *Linker) sendNotices(ctx context.Context, peers []carobbend.Instance) {
	frame := &encoder.Frame{Body: &encoder.Frame_Notice{Notice: k.newNotice()}}
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range peers {
		if p.Name == k.self {
			continue
		}
		wg.Go(func() {
			reply, err := k.Ask(ctx, p.Name, frame)
			if err != nil {
				return
			}
			k.applyNotice(reply.GetNotice())
		})
	}
	wg.Wait()
}

func (k *Linker) newNotice() *encoder.Notice {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := &encoder.Notice{Self: EncodeInstance(k.view.self)}
	for _, in := range k.view.recentlyChanged(k.now(), maxRelayedInstances) {
		n.Others = append(n.Others, EncodeInstance(in))
	}
	return n
}

// applyNotice applies a notice to the membership view.
func (k *Linker) applyNotice(n *encoder.Notice) {
	if n == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if n.GetSelf() != nil {
		k.view.applyInstance(now, DecodeInstance(n.GetSelf()), true)
	}
	for _, in := range n.GetOthers() {
		k.view.applyInstance(now, DecodeInstance(in), false)
	}
}

// EncodeInstance converts an instance to its message form.
func EncodeInstance(in carobbend.Instance) *encoder.Instance {
	return &encoder.Instance{
		Name: in.Name, Incarnation: in.Incarnation, DataCentre: string(in.DataCentre),
		CallerAddress: in.CallerAddress, PeerAddress: in.PeerAddress, Leaving: in.Leaving,
		Load: in.Load, RulesVersion: in.RulesVersion, Ready: in.Ready, Sequence: in.Sequence,
		Capacity: in.Capacity, Busy: in.Busy,
	}
}

// DecodeInstance converts a message to an instance.
func DecodeInstance(in *encoder.Instance) carobbend.Instance {
	return carobbend.Instance{
		Name: in.GetName(), Incarnation: in.GetIncarnation(), DataCentre: carobbend.DataCentre(in.GetDataCentre()),
		CallerAddress: in.GetCallerAddress(), PeerAddress: in.GetPeerAddress(), Leaving: in.GetLeaving(),
		Load: in.GetLoad(), RulesVersion: in.GetRulesVersion(), Ready: in.GetReady(), Sequence: in.GetSequence(),
		Capacity: in.GetCapacity(), Busy: in.GetBusy(),
	}
}
