// Package linker connects an instance with the others over yamux links and keeps its view of them.
//
// The platform's instance list lags. Each instance therefore sends notices of its own state to a few random peers
// every two seconds and to all of them when it leaves, and passes on recent changes of others. A link that makes no
// progress is closed and opened anew with the next request. Links are opened on demand and closed when idle, so
// that an instance holds few of them even among many instances.
//
// # Usage
//
//	l := linker.New(self, linker.WithList(list))
//	l.AddHandlers(distributor, claimer)
//	go l.Serve(listener)
//	go l.Run(ctx)
//	reply, err := l.Ask(ctx, "leon-2", frame)
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
	// interval is the time between two rounds; notices go out each noticeRounds rounds, and at once where the own
	// state changed.
	interval     = time.Second
	noticeRounds = 2
	// fanout is the number of peers that each round reaches; news passes through n instances in about
	// log(n)/log(fanout+1) rounds.
	fanout = 2
	// passedOn bounds the instances whose news a notice carries besides the sender's own.
	passedOn = 8
	// pauseGap is the gap between two rounds that shows that the process was paused.
	pauseGap = 3 * time.Second
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
	// unnoticed says that notices of peers are refused.
	unnoticed bool
	observe   func(*carobbend.Instance)
	onChange  func(live []carobbend.Instance)
	now       func() time.Time
	log       logger.Logger

	mu    sync.Mutex
	view  *membership
	links map[string]*link
	bytes atomic.Int64
}

// Option configures a Linker.
type Option func(*Linker)

// WithList sets the source of the instance list.
func WithList(l List) Option { return func(k *Linker) { k.list = l } }

// WithObserver sets a function that brings the own load, readiness and rules version up to date before each notice.
func WithObserver(f func(self *carobbend.Instance)) Option { return func(k *Linker) { k.observe = f } }

// WithOnChange sets a function that is told the live instances after each round.
func WithOnChange(f func(live []carobbend.Instance)) Option {
	return func(k *Linker) { k.onChange = f }
}

// WithoutNotices refuses notices, for instances that take the list from the store alone: whoever reaches the port could
// otherwise name another address for an instance.
func WithoutNotices() Option { return func(k *Linker) { k.unnoticed = true } }

// New returns a linker for the instance self, whose incarnation must be set.
func New(self carobbend.Instance, opts ...Option) *Linker {
	k := &Linker{
		self:    self.Name,
		observe: func(*carobbend.Instance) {}, onChange: func([]carobbend.Instance) {},
		now: time.Now, log: logger.New("linker"), view: newMembership(self), links: map[string]*link{},
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

// AddHandlers adds handlers of peers' requests, which are asked in order; it must be called before Serve. It is no option,
// since the handlers need the linker.
func (k *Linker) AddHandlers(hs ...carobbend.PeerHandler) { k.handlers = append(k.handlers, hs...) }

// Learn records a list of instances that was read elsewhere, so that they can be asked. Links that weren't used lately are
// closed.
func (k *Linker) Learn(list []carobbend.Instance) {
	k.mu.Lock()
	k.view.listRead(k.now(), list, rand.Float64())
	k.mu.Unlock()
	k.closeIdle()
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

// SetLeaving changes this instance's own state and tells all live peers at once.
func (k *Linker) SetLeaving(ctx context.Context, leaving bool) {
	k.mu.Lock()
	k.view.self.Leaving = leaving
	k.view.self.Sequence++
	peers := k.view.instances(k.now(), false)
	k.mu.Unlock()
	k.notify(ctx, peers)
}

// Run reads the instance list and exchanges notices until ctx is done.
func (k *Linker) Run(ctx context.Context) error {
	defer k.closeLinks()
	last := k.now()
	t := time.NewTicker(interval)
	defer t.Stop()
	for n := 0; ; n++ {
		k.round(ctx, n)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := k.now()
		if now.Sub(last) > pauseGap {
			k.log.Info("pause detected", "gap", now.Sub(last))
			k.mu.Lock()
			k.view.paused()
			k.mu.Unlock()
		}
		last = now
	}
}

// round reads the list, reports the view and, if they are due, sends notices to a few random peers.
func (k *Linker) round(ctx context.Context, n int) {
	k.readList(ctx)
	k.mu.Lock()
	before := k.view.self
	k.observe(&k.view.self)
	if k.view.self != before {
		k.view.self.Sequence++
	}
	due := n%noticeRounds == 0 || differs(before, k.view.self)
	live := k.view.instances(k.now(), false)
	k.mu.Unlock()
	k.onChange(live)
	k.closeIdle()
	if !due {
		return
	}
	peers := append([]carobbend.Instance(nil), live...)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	k.notify(ctx, peers[:min(fanout+1, len(peers))])
}

func (k *Linker) readList(ctx context.Context) {
	k.mu.Lock()
	due := k.list != nil && k.view.listDue(k.now())
	k.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	list, err := k.list(ctx)
	if err != nil {
		k.log.Error(err, "instance list not read")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view.listRead(k.now(), list, rand.Float64())
}

// notify sends the own state and recent changes to peers and learns from their replies.
func (k *Linker) notify(ctx context.Context, peers []carobbend.Instance) {
	frame := &encoder.Frame{Body: &encoder.Frame_Notice{Notice: k.notice()}}
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
			k.learn(reply.GetNotice())
		})
	}
	wg.Wait()
}

func (k *Linker) notice() *encoder.Notice {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := &encoder.Notice{Self: EncodeInstance(k.view.self)}
	for _, in := range k.view.recent(k.now(), passedOn) {
		n.Others = append(n.Others, EncodeInstance(in))
	}
	return n
}

// learn records a notice.
func (k *Linker) learn(n *encoder.Notice) {
	if n == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if n.GetSelf() != nil {
		k.view.noticeReceived(now, DecodeInstance(n.GetSelf()), true)
	}
	for _, in := range n.GetOthers() {
		k.view.noticeReceived(now, DecodeInstance(in), false)
	}
}

// EncodeInstance returns an instance as a message for peers.
func EncodeInstance(in carobbend.Instance) *encoder.Instance {
	return &encoder.Instance{
		Name: in.Name, Incarnation: in.Incarnation, DataCentre: string(in.DataCentre),
		CallerAddress: in.CallerAddress, PeerAddress: in.PeerAddress, Leaving: in.Leaving,
		Load: in.Load, RulesVersion: in.RulesVersion, Ready: in.Ready, Sequence: in.Sequence,
		Capacity: in.Capacity, Busy: in.Busy,
	}
}

// DecodeInstance returns the instance of a message.
func DecodeInstance(in *encoder.Instance) carobbend.Instance {
	return carobbend.Instance{
		Name: in.GetName(), Incarnation: in.GetIncarnation(), DataCentre: carobbend.DataCentre(in.GetDataCentre()),
		CallerAddress: in.GetCallerAddress(), PeerAddress: in.GetPeerAddress(), Leaving: in.GetLeaving(),
		Load: in.GetLoad(), RulesVersion: in.GetRulesVersion(), Ready: in.GetReady(), Sequence: in.GetSequence(),
		Capacity: in.GetCapacity(), Busy: in.GetBusy(),
	}
}
