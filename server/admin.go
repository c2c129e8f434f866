package server

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/replayer"
)

// RulesVersionReply is the body of GET /v1/rules/version.
type RulesVersionReply struct {
	Instance     string `json:"instance"`
	RulesVersion uint64 `json:"rules-version"`
	Ready        bool   `json:"ready"`
}

// StatusReply is the body of GET /v1/status and of POST /v1/drain.
type StatusReply struct {
	Instance    carobbend.Instance `json:"instance"`
	Stage       string             `json:"stage"`
	Ready       bool               `json:"ready"`
	InFlight    int                `json:"in-flight"`
	Connections int                `json:"connections"`
	// UptimeSeconds counts from the start of the instance.
	UptimeSeconds float64 `json:"uptime-seconds"`
	RulesVersion  uint64  `json:"rules-version"`
	// Details holds the values that Config.Status adds.
	Details map[string]any `json:"details,omitempty"`
}

func (s *Server) adminRoutes() http.Handler {
	e := newEcho()
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.getReady)
	if s.cfg.Metrics != nil {
		e.GET("/metrics", echo.WrapHandler(s.cfg.Metrics))
	}
	g := e.Group("/v1", s.authenticateAdmin)
	g.GET("/rules/version", func(c echo.Context) error {
		return c.JSON(http.StatusOK, RulesVersionReply{s.cfg.Members.Self().Name, s.cfg.Rules.Rules().Version(), s.Ready()})
	})
	g.GET("/members", func(c echo.Context) error { return c.JSON(http.StatusOK, s.cfg.Members.Live()) })
	g.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Status()) })
	if s.cfg.Traces != nil {
		g.POST("/traces", s.postTraces)
		g.GET("/traces", func(c echo.Context) error { return c.JSON(http.StatusOK, s.cfg.Traces.Recording()) })
	}
	g.POST("/drain", func(c echo.Context) error {
		s.log.Info("drain requested by the admin API")
		s.Drain()
		return c.JSON(http.StatusAccepted, s.Status())
	})
	return e
}

// postTraces starts a recording of the next queries of an index and drops the traces of the previous one.
func (s *Server) postTraces(c echo.Context) error {
	index, text := c.QueryParam("index"), c.QueryParam("queries")
	if !s.indexes[index] {
		return badRequest("index: %q is not in the settings", index)
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > replayer.MaxTraces {
		return badRequest("queries: expected 1 to %d, got %q", replayer.MaxTraces, text)
	}
	s.cfg.Traces.Start(index, n)
	s.log.Info("recording queries", "index", index, "queries", n)
	return c.JSON(http.StatusAccepted, s.cfg.Traces.Recording())
}

func (s *Server) authenticateAdmin(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if _, err := s.admin.find(c.Request()); err != nil {
			return echo.NewHTTPError(http.StatusUnauthorized, "expected the header Authorization: Bearer TOKEN with the admin token")
		}
		return next(c)
	}
}

func (s *Server) getReady(c echo.Context) error {
	if !s.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready: "+s.notReadyReason()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// notReadyReason says why this instance is not ready for callers.
func (s *Server) notReadyReason() string {
	switch {
	case s.Stage() != StageServing:
		return s.Stage().String()
	case s.cfg.InForce != nil && !s.cfg.InForce():
		return "no rules in force"
	default:
		return "the rules are not confirmed or the layouts of the indexes are not known"
	}
}

// Ready reports whether this instance may be named to callers.
func (s *Server) Ready() bool {
	return s.Stage() == StageServing && (s.cfg.InForce == nil || s.cfg.InForce()) && (s.cfg.Ready == nil || s.cfg.Ready())
}

// Status returns what the admin API reports.
func (s *Server) Status() StatusReply {
	n, _ := s.conns.open()
	r := StatusReply{
		Instance: s.cfg.Members.Self(), Stage: s.Stage().String(), Ready: s.Ready(), InFlight: s.InFlight(), Connections: n,
		UptimeSeconds: time.Since(s.started).Seconds(), RulesVersion: s.cfg.Rules.Rules().Version(),
	}
	if s.cfg.Status != nil {
		r.Details = s.cfg.Status()
	}
	return r
}
