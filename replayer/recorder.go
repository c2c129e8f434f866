package replayer

import (
	"encoding/json"
	"io"
	"reflect"
	"time"

	"github.com/joomcode/errorx"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/planner"
)

// Recorder wraps a planner and writes its events, policy decisions and effects as a trace. It replaces the planner of
// a query to be recorded, and like a planner it is not safe for concurrent use. The trace omits the text of the query
// and the data of items.
type Recorder struct {
	enc     *json.Encoder
	cfg     planner.Config
	planner *planner.Planner
	start   time.Time
	outcome *outcomeLine
	// pendingCatalog and current are the catalog and the decisions of the event in progress.
	pendingCatalog *catalogLine
	current        decisions
	lastLayouts    []layoutValue
	err            error
}

// NewRecorder returns a recorder for one query that writes to w; cfg is the configuration of the wrapped planner.
func NewRecorder(w io.Writer, cfg planner.Config) *Recorder {
	r := &Recorder{enc: json.NewEncoder(w), cfg: cfg}
	inner := cfg
	inner.Catalog, inner.Balancer = recordedCatalog{r}, recordedBalancer{cfg.Balancer, r}
	if cfg.Hedger != nil {
		inner.Hedger = recordedHedger{cfg.Hedger, r}
	}
	if cfg.Budget != nil {
		inner.Budget = recordedBudget{cfg.Budget, r}
	}
	r.planner = planner.New(inner)
	return r
}

// Handle passes an event to the planner and records the event, the decisions and the effects.
func (r *Recorder) Handle(now time.Time, ev planner.Event) *planner.Effects {
	if ev.Kind == planner.EventStart {
		r.start = now
		r.writeHeader()
	}
	r.pendingCatalog, r.current = nil, decisions{}
	fx := r.planner.Handle(now, ev)
	at := lineHeader{At: duration(now.Sub(r.start))}
	if r.pendingCatalog != nil {
		r.pendingCatalog.lineHeader = lineHeader{Kind: kindCatalog, At: at.At}
		r.write(r.pendingCatalog)
	}
	r.writeEvent(at, ev)
	for _, s := range fx.Sends {
		r.write(newSendLine(time.Duration(at.At), s))
	}
	if fx.Answer != nil {
		l := newOutcomeLine(time.Duration(at.At), fx.Answer, r.planner.Stats())
		r.outcome = &l
	}
	return fx
}

// NextTimer returns the planner's next timer.
func (r *Recorder) NextTimer() time.Time { return r.planner.NextTimer() }

// Done reports whether the planner is done.
func (r *Recorder) Done() bool { return r.planner.Done() }

// Stats returns the planner's statistics.
func (r *Recorder) Stats() planner.Stats { return r.planner.Stats() }

// Close writes the outcome line, which counts the late and mismatched replies so far. It returns the first write error
// as an *Error.
func (r *Recorder) Close() error {
	if r.outcome != nil {
		st := r.planner.Stats()
		r.outcome.Late, r.outcome.Crossed = st.Late, st.Mismatched
		r.write(r.outcome)
	}
	if r.err != nil {
		return &Error{Op: "record", Kind: KindWrite, Err: errorx.Decorate(r.err, "cannot write trace")}
	}
	return nil
}

func (r *Recorder) write(v any) {
	if r.err == nil {
		r.err = r.enc.Encode(v)
	}
}

func (r *Recorder) writeHeader() {
	q := r.cfg.Query
	r.write(traceLine{lineHeader: lineHeader{Kind: kindTrace}, Timers: "recorded"})
	if rules := r.cfg.Rules; rules != nil {
		coverage := rules.Coverage(q.Index)
		r.write(rulesLine{
			lineHeader: lineHeader{Kind: kindRules}, Version: rules.Version(), Deadline: duration(rules.Deadline(q.Index)),
			ExtraLoad: rules.ExtraLoad(q.Index), Coverage: &coverage,
		})
	}
	p := policiesLine{lineHeader: lineHeader{Kind: kindPolicies}, Seed: r.cfg.Seed}
	if r.cfg.Hedger != nil {
		p.HedgeDelay = new(duration)
	}
	if r.cfg.Budget != nil {
		p.Tokens = new(float64)
	}
	r.write(p)
	l := queryLine{lineHeader: lineHeader{Kind: kindQuery}, ID: q.ID, Index: q.Index, Limit: q.Limit}
	if !q.Deadline.IsZero() {
		d := duration(q.Deadline.Sub(r.start))
		l.Deadline = &d
	}
	r.write(l)
}

func (r *Recorder) writeEvent(at lineHeader, ev planner.Event) {
	l := eventLine{lineHeader: at, decisions: r.current}
	switch ev.Kind {
	case planner.EventStart:
		l.Kind = kindStart
	case planner.EventTimer:
		l.Kind = kindTimer
	case planner.EventCancel:
		l.Kind = kindCancel
	case planner.EventFailure:
		l.Kind, l.Attempt, l.Failure = kindFailure, &ev.Attempt, ev.Failure
	case planner.EventReply:
		reply := &ev.Reply
		l.Kind, l.Attempt, l.Leaving = kindReply, &ev.Attempt, reply.Leaving
		l.ID, l.Snapshot, l.Shard, l.Shards = &reply.ID, &reply.Ref.Snapshot, &reply.Ref.Shard, &reply.Ref.Shards
		for _, it := range reply.Items {
			l.Items = append(l.Items, itemValue{Key: it.Key, Score: it.Score})
		}
	}
	r.write(l)
}

type recordedCatalog struct{ r *Recorder }

// Layouts implements carobbend.Catalog. It records the catalog if it differs from the one recorded last.
func (c recordedCatalog) Layouts(index string) []carobbend.Layout {
	layouts := c.r.cfg.Catalog.Layouts(index)
	values := make([]layoutValue, 0, len(layouts))
	for _, l := range layouts {
		values = append(values, layoutValue{Snapshot: l.Snapshot, Replicas: l.Replicas})
	}
	if c.r.lastLayouts == nil || !reflect.DeepEqual(values, c.r.lastLayouts) {
		c.r.lastLayouts = values
		c.r.pendingCatalog = &catalogLine{Layouts: values}
	}
	return layouts
}

type recordedBalancer struct {
	carobbend.Balancer
	r *Recorder
}

// Pick implements carobbend.Balancer.
func (b recordedBalancer) Pick(now time.Time, candidates, avoid []carobbend.UpstreamID) (carobbend.UpstreamID, bool) {
	id, ok := b.Balancer.Pick(now, candidates, avoid)
	if !ok {
		id = ""
	}
	b.r.current.Picks = append(b.r.current.Picks, id)
	return id, ok
}

type recordedHedger struct {
	carobbend.Hedger
	r *Recorder
}

// Delay implements carobbend.Hedger.
func (h recordedHedger) Delay(index string) time.Duration {
	d := h.Hedger.Delay(index)
	v := duration(d)
	h.r.current.Delay = &v
	return d
}

type recordedBudget struct {
	carobbend.Budget
	r *Recorder
}

// TryWithdraw implements carobbend.Budget.
func (b recordedBudget) TryWithdraw(index string) bool {
	ok := b.Budget.TryWithdraw(index)
	b.r.current.Spends = append(b.r.current.Spends, ok)
	return ok
}
