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
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/replayer"
)

// Gate admits queries before they run.
type Gate interface {
	// Enter blocks until the query may start and returns a function to call once with its answer, or returns a sentence
	// that says why it was refused. cost is the number of shard requests that the query needs.
	Enter(ctx context.Context, q carobbend.Query, class carobbend.Class, cost int) (release func(carobbend.Answer), refusal string)
}

// Recorder counts what callers were answered. Its methods are called for each request.
type Recorder interface {
	// Query records an answer and the time since its arrival.
	Query(a carobbend.Answer, latency time.Duration)
	// Operation records a result and the time since its arrival.
	Operation(name string, r carobbend.OperationResult, latency time.Duration)
	// NotRun records why a request was refused.
	NotRun(reason string)
}

// Reason says why a request was refused as not-run.
type Reason string

const (
	// ReasonAdmission says that the queue refused the query.
	ReasonAdmission Reason = "admission"
	// ReasonDraining says that the instance is shutting down.
	ReasonDraining Reason = "draining"
	// ReasonNotReady says that no rule file is in force.
	ReasonNotReady Reason = "not-ready"
	// ReasonRunner says that the query or operation runner refused.
	ReasonRunner Reason = "runner"
)

// Config holds what the server depends on.
type Config struct {
	Callers    []Identity
	AdminToken string
	Queries    carobbend.QueryRunner
	Operations carobbend.OperationRunner
	Rules      carobbend.RulesSource
	Members    carobbend.Members
	Gate       Gate
	Recorder   Recorder
	// Indexes and OperationNames are those that requests may name.
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
}

// Server serves callers and administrators until it is drained.
type Server struct {
	cfg        Config
	callers    identities
	admin      identities
	indexes    map[string]bool
	operations map[string]bool
	conns      connTracker
	inFlight   atomic.Int64
	stage      atomic.Int32
	started    time.Time
	begin      chan struct{}
	beginOnce  sync.Once
	callerHTTP *http.Server
	adminHTTP  *http.Server
	log        logger.Logger
}

const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 30 * time.Second
	// idleTimeout is well above the idle time-out of the requester, so that the caller's side closes first and never
	// sends on a connection that is being closed here.
	idleTimeout = 5 * time.Minute
	// closeLimit bounds the close of the listeners after the last reply.
	closeLimit = 2 * time.Second
)

// New checks cfg and returns a server; Serve opens it to requests.
func New(cfg Config) (*Server, error) {
	if cfg.Queries == nil || cfg.Operations == nil || cfg.Rules == nil || cfg.Members == nil || cfg.Gate == nil {
		return nil, &Error{Op: "new", Kind: KindConfig, Err: errors.New("queries, operations, rules, members and gate are required")}
	}
	s := &Server{
		cfg: cfg, callers: newIdentities(cfg.Callers), admin: newIdentities([]Identity{{Token: cfg.AdminToken}}),
		indexes: set(cfg.Indexes), operations: set(cfg.OperationNames), started: time.Now(),
		begin: make(chan struct{}), log: logger.New("server"),
	}
	s.callerHTTP = newHTTP(s.callerRoutes())
	if cfg.RequestTimeout > 0 {
		s.callerHTTP.ReadTimeout = cfg.RequestTimeout
		s.callerHTTP.ReadHeaderTimeout = min(cfg.RequestTimeout, readHeaderTimeout)
	}
	s.callerHTTP.ConnState = s.conns.connState
	s.adminHTTP = newHTTP(s.adminRoutes())
	return s, nil
}

func newHTTP(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		// Broken connections of callers are no events of this server.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = replyError
	return e
}

func set(names []string) map[string]bool {
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
func (s *Server) Drain() { s.beginOnce.Do(func() { close(s.begin) }) }

// Close ends all connections at once; Serve returns then. It is for failures, after which a drain makes no sense.
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
			if !a.Close(closeLimit) {
				s.log.Info("connections closed at the limit")
			}
		})
	}
	stop := make(chan struct{})
	g.Add(func() error { s.drain(stop); return nil }, func(error) { close(stop) })
	return g.Run()
}

func listenError(err error) error {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &Error{Op: "serve", Kind: KindListen, Err: err}
}

// drain waits for Drain and then runs the stages; it returns early when stop closes.
func (s *Server) drain(stop <-chan struct{}) {
	select {
	case <-s.begin:
	case <-stop:
		return
	}
	d := drain{times: s.cfg.Drain}
	d.begin(time.Now())
	s.enter(d.stage)
	announced := make(chan struct{})
	go s.announce(announced)
	for {
		next := d.step(time.Now(), s.drainLoad())
		s.enter(d.stage)
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
		s.log.Error(err, "leaving was not announced everywhere")
	}
}

func (s *Server) enter(stage Stage) {
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
