package dispatcher_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/claimer"
	"carobbend.example/carobbend/dispatcher"
	"carobbend.example/carobbend/emulator"
	"carobbend.example/carobbend/sender"
)

const (
	// longDeadline is never reached; shortDeadline ends operations whose reply never comes.
	longDeadline  = time.Minute
	shortDeadline = 2 * time.Second
	// repeatDeadline ends the wait for an operation that another request holds.
	repeatDeadline = time.Second
)

// inOrder picks the first upstream that wasn't tried.
type inOrder struct{}

func (inOrder) Pick(_ time.Time, ids, avoid []carobbend.UpstreamID) (carobbend.UpstreamID, bool) {
	for _, id := range ids {
		if !slices.Contains(avoid, id) {
			return id, true
		}
	}
	return "", false
}
func (inOrder) Sent(time.Time, carobbend.UpstreamID) {}
func (inOrder) Finished(time.Time, carobbend.UpstreamID, time.Duration, carobbend.FailureKind, float64) {
}
func (inOrder) Leaving(time.Time, carobbend.UpstreamID, bool) {}

type rulesSource struct{}

type onceRules struct{ carobbend.Rules }

func (rulesSource) Rules() carobbend.Rules { return onceRules{} }
func (onceRules) Version() uint64          { return 1 }
func (onceRules) AtMostOnce(string) bool   { return true }

// upstream is an emulated upstream behind HTTP on the loopback interface.
type upstream struct {
	*emulator.Upstream
	listener *emulator.Listener
	server   *httptest.Server
	// fault serves instead of the emulator where it is set.
	fault http.HandlerFunc
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.fault != nil {
		u.fault(w, r)
		return
	}
	u.Upstream.ServeHTTP(w, r)
}

// world is two upstreams and two dispatchers that share a store; each has its own connections.
type world struct {
	t           *testing.T
	ups         [2]*upstream
	dispatchers [2]*dispatcher.Dispatcher
}

func newWorld(t *testing.T) *world {
	w := &world{t: t}
	addresses := map[carobbend.UpstreamID]string{}
	ids := []carobbend.UpstreamID{"u0", "u1"}
	for i, id := range ids {
		u := &upstream{Upstream: emulator.NewUpstream(emulator.UpstreamConfig{
			ID: id, Slots: 1, Queue: -1, ServiceTime: emulator.ServiceTime{Median: time.Microsecond},
		})}
		u.server = httptest.NewUnstartedServer(u)
		u.listener = &emulator.Listener{Listener: u.server.Listener}
		u.server.Listener = u.listener
		u.server.Start()
		t.Cleanup(func() { u.server.CloseClientConnections(); u.server.Close() })
		w.ups[i], addresses[id] = u, u.server.Listener.Addr().String()
	}
	store := emulator.NewStore()
	for i := range w.dispatchers {
		s := sender.New(addresses, sender.WithMaxConns(1), sender.WithIdleTimeout(longDeadline))
		t.Cleanup(s.Close)
		w.dispatchers[i] = dispatcher.New(dispatcher.Config{
			Claims: claimer.New(store, nil), Sender: s, Balancer: inOrder{}, Rules: rulesSource{},
			Upstreams: map[string][]carobbend.UpstreamID{"book-crew": ids},
		})
	}
	return w
}

func newOp() carobbend.Operation {
	return carobbend.Operation{Key: ulid.Make().String(), Name: "book-crew", House: "aarhus", Body: json.RawMessage(`{"statue":7}`)}
}

// run runs op through dispatcher i and waits until its result is recorded.
func (w *world) run(i int, op carobbend.Operation, limit time.Duration) carobbend.OperationResult {
	w.t.Helper()
	op.Deadline = time.Now().Add(limit)
	r := w.dispatchers[i].Run(w.t.Context(), op)
	if err := w.dispatchers[i].Drain(w.t.Context()); err != nil {
		w.t.Fatal(err)
	}
	return r
}

// warm opens a connection to the first upstream, which the next operation reuses.
func (w *world) warm() {
	w.t.Helper()
	if r := w.run(0, newOp(), longDeadline); r.Outcome != carobbend.OutcomeDone {
		w.t.Fatalf("first operation: got %+v, want done", r)
	}
}

// execute runs the request at the emulator and drops its reply.
func (u *upstream) execute(r *http.Request) { u.Upstream.ServeHTTP(httptest.NewRecorder(), r) }

func cut(w http.ResponseWriter) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = c.Close()
	}
}

// occupy takes the only slot of an upstream until the returned function is called.
func (u *upstream) occupy(t *testing.T) (release func()) {
	t.Helper()
	u.SetSlow(1e9) // A service time of about 17 minutes, which only the end of the context cuts short.
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			// The probe below may hold the slot for a moment.
			if _, err := u.Execute(ctx, carobbend.Operation{Key: "occupies"}); carobbend.KindOf(err) != carobbend.FailureShed {
				return
			}
		}
	}()
	// A canceled probe is shed as soon as the slot is taken.
	probe, stop := context.WithCancel(t.Context())
	stop()
	for {
		if _, err := u.Execute(probe, carobbend.Operation{Key: "probe"}); carobbend.KindOf(err) == carobbend.FailureShed {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return func() { cancel(); <-done; u.SetSlow(1) }
}

// Guards against operations that run twice, or whose outcome isn't what happened, when the HTTP connection to the
// upstream fails at any point; every operation is repeated under its key through another instance.
func TestFaultsOverHTTP(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name  string
		limit time.Duration
		fault func(t *testing.T, w *world) (release func())
		// want and executions are those of the first request, wantRepeat and executionsAfter those of the repeat.
		want, wantRepeat            carobbend.Outcome
		executions, executionsAfter int
	}{
		{
			"cut after the request ran", longDeadline, func(_ *testing.T, w *world) func() {
				u := w.ups[0]
				u.fault = func(rw http.ResponseWriter, r *http.Request) { u.execute(r); cut(rw) }
				return nil
			}, carobbend.OutcomeUnknown, carobbend.OutcomeUnknown, 1, 1,
		},
		{
			"cut after the request ran on a reused connection", longDeadline, func(_ *testing.T, w *world) func() {
				w.warm()
				u := w.ups[0]
				u.fault = func(rw http.ResponseWriter, r *http.Request) { u.execute(r); cut(rw) }
				return nil
			}, carobbend.OutcomeUnknown, carobbend.OutcomeUnknown, 1, 1,
		},
		{
			"cut after the request was read", longDeadline, func(_ *testing.T, w *world) func() {
				w.ups[0].fault = func(rw http.ResponseWriter, _ *http.Request) { cut(rw) }
				return nil
			}, carobbend.OutcomeUnknown, carobbend.OutcomeUnknown, 0, 0,
		},
		{
			"connection silent before the request", shortDeadline, func(_ *testing.T, w *world) func() {
				w.warm()
				w.ups[0].listener.Silence()
				return nil
			}, carobbend.OutcomeUnknown, carobbend.OutcomeUnknown, 0, 0,
		},
		{
			"connection silent after the request ran", shortDeadline, func(_ *testing.T, w *world) func() {
				u := w.ups[0]
				u.fault = func(_ http.ResponseWriter, r *http.Request) {
					u.execute(r)
					u.listener.Silence()
				}
				return nil
			}, carobbend.OutcomeUnknown, carobbend.OutcomeUnknown, 1, 1,
		},
		{
			"shed by one", longDeadline, func(t *testing.T, w *world) func() { return w.ups[0].occupy(t) },
			carobbend.OutcomeDone, carobbend.OutcomeDone, 1, 1,
		},
		{
			"shed by all", longDeadline, func(t *testing.T, w *world) func() {
				first, second := w.ups[0].occupy(t), w.ups[1].occupy(t)
				return func() { first(); second() }
			}, carobbend.OutcomeNotRun, carobbend.OutcomeDone, 0, 1,
		},
		{
			"one stopped before the write", longDeadline, func(_ *testing.T, w *world) func() {
				w.ups[0].server.Close()
				return nil
			}, carobbend.OutcomeDone, carobbend.OutcomeDone, 1, 1,
		},
		{
			"all stopped before the write", longDeadline, func(_ *testing.T, w *world) func() {
				w.ups[0].server.Close()
				w.ups[1].server.Close()
				return nil
			}, carobbend.OutcomeNotRun, carobbend.OutcomeNotRun, 0, 0,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			release := tt.fault(t, w)
			op := newOp()
			first := w.run(0, op, tt.limit)
			w.want("first", op, first, tt.want, tt.executions)
			if release != nil {
				release()
			}
			limit := longDeadline
			if tt.wantRepeat == carobbend.OutcomeUnknown {
				limit = repeatDeadline
			}
			repeat := w.run(1, op, limit)
			w.want("repeat through another instance", op, repeat, tt.wantRepeat, tt.executionsAfter)
			if first.Outcome == carobbend.OutcomeDone && string(repeat.Body) != string(first.Body) {
				t.Errorf("repeat: got %s, want the first answer %s", repeat.Body, first.Body)
			}
		})
	}
}

func (w *world) want(what string, op carobbend.Operation, r carobbend.OperationResult, outcome carobbend.Outcome, executions int) {
	w.t.Helper()
	if r.Outcome != outcome {
		w.t.Errorf("%s: got %q (%s), want %q", what, r.Outcome, r.Detail, outcome)
	}
	if got := w.ups[0].Executions()[op.Key] + w.ups[1].Executions()[op.Key]; got != executions {
		w.t.Errorf("%s: got %d executions, want %d", what, got, executions)
	}
}

// Guards against a false not-run, or a second run, when the upstream stops while a connection to it is idle: whether
// the sender notices before it writes is open, so the outcome is compared with what ran.
func TestUpstreamStopsWhileConnectionIsIdle(t *testing.T) {
	t.Parallel()
	outcomes := map[carobbend.Outcome]int{}
	for range 20 {
		w := newWorld(t)
		w.warm()
		go w.ups[0].server.CloseClientConnections()
		op := newOp()
		r := w.run(0, op, longDeadline)
		outcomes[r.Outcome]++
		got := w.ups[0].Executions()[op.Key] + w.ups[1].Executions()[op.Key]
		if got > 1 || r.Outcome == carobbend.OutcomeDone && got != 1 || r.Outcome == carobbend.OutcomeNotRun && got != 0 {
			t.Errorf("got %d executions with outcome %q (%s)", got, r.Outcome, r.Detail)
		}
	}
	t.Logf("outcomes %v", outcomes)
}
