package server

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/acceptor"
	"carobbend.example/carobbend/limiter"
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/replayer"
)

// Gate admits queries before they run.
type Gate interface {
	// Enter blocks until the query may start and returns a function to call once with its answer, or returns a sentence
	// with the reason for its refusal. cost is the number of shard requests that the query needs.
	Enter(ctx context.Context, q carobbend.Query, class carobbend.Class, cost int) (release func(carobbend.Answer), refusal string)
}

// Recorder records the outcomes of requests, for metrics. Its methods are called for each request.
type Recorder interface {
	// Query records an answer and the time since its arrival.
	Query(a carobbend.Answer, latency time.Duration)
	// Operation records a result and the time since its arrival.
	Operation(name string, r carobbend.OperationResult, latency time.Duration)
	// NotRun records why a request was refused.
	NotRun(reason string)
}

// RefusalReason says why a request was refused as not-run.
type RefusalReason string

const (
	// ReasonAdmission says that the admission queue refused the query.
	ReasonAdmission RefusalReason = "admission"
	// ReasonDraining says that the instance is shutting down.
	ReasonDraining RefusalReason = "draining"
	// ReasonNotReady says that no rule file is in force.
	ReasonNotReady RefusalReason = "not-ready"
	// ReasonRunner says that the query or operation runner refused.
	ReasonRunner RefusalReason = "runner"
)

// Config holds the dependencies and settings of a server.
type Config struct {
	Callers    []Identity
	AdminToken string
	Queries    carobbend.QueryRunner
	Operations carobbend.OperationRunner
	Rules      carobbend.RulesSource
	Members    carobbend.Members
	Gate       Gate
	Recorder   Recorder
	// Indexes and OperationNames are the names that requests may use.
	Indexes        []string
	OperationNames []string
	// Shards returns the number of shard requests that a query of an index costs; nil counts 1.
	Shards func(index string) int
	// InForce reports whether rules are in force; without them nothing is run. nil means always.
	InForce func() bool
	// Ready reports whether this instance may be named to callers while it is serving; nil means always.
	Ready func() bool
	// Announce tells peers and the instance list that this instance is leaving; nil does nothing.
	Announce func(ctx context.Context) error
	// Metrics serves GET /metrics; nil serves 404.
	Metrics http.Handler
	// Status adds to the reply of GET /v1/status; nil adds nothing.
	Status func() map[string]any
	// Traces records queries for POST and GET /v1/traces; nil serves 404.
	Traces *replayer.Tracer
	Drain  DrainTimes
	// RequestTimeout bounds the time for reading a request with its body; 0 means 30 s.
	RequestTimeout time.Duration
	// Guard bounds the connections of both listeners, whose connections must come from it; nil means no bound.
	Guard *acceptor.Guard
	// Memory bounds the memory that callers' requests hold, Arriving the part of it that is held for bodies which are still
	// arriving; nil means no bound.
	Memory, Arriving *limiter.Bytes
}

// Limits are what a Guard applies to the connections of a server, which has no routing.
func Limits() carobbend.CallerLimits {
	return carobbend.CallerLimits{HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// Server serves callers and administrators until it is drained.
type Server struct {
	cfg            Config
	callers        identities
	admin          identities
	indexes        map[string]bool
	operations     map[string]bool
	conns          connTracker
	inFlight       atomic.Int64
	stage          atomic.Int32
	started        time.Time
	drainRequested chan struct{}
	drainOnce      sync.Once
	callerHTTP     *http.Server
	adminHTTP      *http.Server
	log            logger.Logger
}

const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 30 * time.Second
	// idleTimeout is well above the idle time-out of package requester, so that the caller closes an idle connection first
	// and never sends on one that the server is closing.
	idleTimeout = 5 * time.Minute
	// closeTimeout bounds the closing of the listeners and their connections after the last reply.
	closeTimeout = 2 * time.Second
)

// New checks cfg and returns a server; Serve opens it to requests.
func New(cfg Config) (*Server, error) {
	if cfg.Queries == nil || cfg.Operations == nil || cfg.Rules == nil || cfg.Members == nil || cfg.Gate == nil {
		return nil, &Error{Op: "new", Kind: KindConfig, Err: errors.New("queries, operations, rules, members and gate are required")}
	}
	s := &Server{
		cfg: cfg, callers: newIdentities(cfg.Callers), admin: newIdentities([]Identity{{Token: cfg.AdminToken}}),
		indexes: toSet(cfg.Indexes), operations: toSet(cfg.OperationNames), started: time.Now(),
		drainRequested: make(chan struct{}), log: logger.New("server"),
	}
	s.callerHTTP = newHTTP(s.callerRoutes())
	if cfg.RequestTimeout > 0 {
		s.callerHTTP.ReadTimeout = cfg.RequestTimeout
		s.callerHTTP.ReadHeaderTimeout = min(cfg.RequestTimeout, readHeaderTimeout)
	}
	s.callerHTTP.ConnState = s.conns.connState
	s.adminHTTP = newHTTP(s.adminRoutes())
	if s.cfg.Memory == nil {
		s.cfg.Memory = &limiter.Bytes{}
	}
	if s.cfg.Arriving == nil {
		s.cfg.Arriving = &limiter.Bytes{}
	}
	if s.cfg.Guard != nil {
		s.cfg.Guard.Server(s.callerHTTP)
		s.cfg.Guard.Server(s.adminHTTP)
	}
	return s, nil
}

func newHTTP(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		// Broken connections of callers are no fault of this server, so they are not logged.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = replyError
	return e
}

func toSet(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// Stage returns the stage of the graceful shutdown.
func (s *Server) Stage() Stage { return Stage(s.stage.Load()) }

// InFlight returns the number of requests of callers being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Drain starts the graceful shutdown and returns at once; Serve returns when it is over.
func (s *Server) Drain() { s.drainOnce.Do(func() { close(s.drainRequested) }) }

// Close closes all connections at once, and Serve returns. It is for failures after which a graceful shutdown isn't possible.
func (s *Server) Close() error { return errors.Join(s.callerHTTP.Close(), s.adminHTTP.Close()) }

// Serve serves both listeners until the graceful shutdown is over, and returns nil then.
func (s *Server) Serve(callers, admin net.Listener) error {
	var g run.Group
	for _, x := range []struct {
		srv *http.Server
		ln  net.Listener
	}{{s.callerHTTP, callers}, {s.adminHTTP, admin}} {
		a := acceptor.New(x.ln, x.srv)
		g.Add(func() error { return listenError(a.Serve()) }, func(error) {
			if !a.Close(closeTimeout) {
				s.log.Info("closed the remaining connections at the time limit")
			}
		})
	}
	stop := make(chan struct{})
	g.Add(func() error { s.runDrain(stop); return nil }, func(error) { close(stop) })
	return g.Run()
}

func listenError(err error) error {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &Error{Op: "serve", Kind: KindListen, Err: err}
}

// runDrain waits for Drain and then runs the stages of the shutdown; it returns early if stop is closed.
func (s *Server) runDrain(stop <-chan struct{}) {
	select {
	case <-s.drainRequested:
	case <-stop:
		return
	}
	d := drainState{times: s.cfg.Drain}
	d.begin(time.Now())
	s.setStage(d.stage)
	announced := make(chan struct{})
	go s.announce(announced)
	for {
		next := d.advance(time.Now(), s.drainLoad())
		s.setStage(d.stage)
		if d.stage == StageClosing {
			return
		}
		t := time.NewTimer(time.Until(next))
		select {
		case <-announced:
			announced = nil
			d.announced(time.Now())
		case <-t.C:
		case <-stop:
			t.Stop()
			return
		}
		t.Stop()
	}
}

func (s *Server) announce(done chan<- struct{}) {
	defer close(done)
	if s.cfg.Announce == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Drain.Announce)
	defer cancel()
	if err := s.cfg.Announce(ctx); err != nil {
		s.log.Error(err, "could not announce to all peers and the instance list that this instance is leaving")
	}
}

func (s *Server) setStage(stage Stage) {
	if s.stage.Swap(int32(stage)) == int32(stage) {
		return
	}
	n, _ := s.conns.open()
	s.log.Info("shutdown stage", "stage", stage, "in-flight", s.InFlight(), "connections", n)
}

func (s *Server) drainLoad() DrainLoad {
	_, last := s.conns.open()
	return DrainLoad{InFlight: s.InFlight(), LastUse: last}
}
