package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/asserter"
	"carobbend.example/carobbend/limiter"
)

const (
	// maxQueryBytes and maxOperationBytes bound request bodies in bytes.
	maxQueryBytes     = 64 << 10
	maxOperationBytes = 1 << 20
	// maxLimit bounds the number of items of an answer.
	maxLimit = 1000
	// defaultOperationDeadline applies to operations that name no deadline, and to reads of an operation's status.
	defaultOperationDeadline = 5 * time.Second
	// maxDeadline bounds the deadlines that callers name.
	maxDeadline = time.Minute

	identityKey = "identity"

	// requestBytes is the memory in bytes that is reserved for a request beside its body: goroutines, buffers, shard requests.
	requestBytes = 64 << 10
	// decodeFactor is the memory of a body while it is decoded, as a multiple of its length: the buffer of the decoder, which
	// doubles, and the decoded value.
	decodeFactor = 4
	// retryAfter is the Retry-After, in seconds, of requests that don't fit into the memory.
	retryAfter = "0.100"
)

var errNoMemory = errors.New("the requests in flight hold all memory")

func (s *Server) callerRoutes() http.Handler {
	e := newEcho()
	e.Use(s.countInFlight, s.closeWhenRefusing, s.echoRequestID, s.authenticate, s.reserve)
	e.POST(carobbend.PathQuery, s.postQuery)
	e.POST(carobbend.PathOperations, s.postOperation)
	e.GET(carobbend.PathOperations+"/:key", s.getOperation)
	e.GET(carobbend.PathAddresses, s.getAddresses)
	return e
}

// countInFlight counts a request before its handler reads the stage, so that the refusing stage waits for all accepted work.
func (s *Server) countInFlight(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		return next(c)
	}
}

// closeWhenRefusing sets Connection: close on replies from the refusing stage on, so that each connection ends after a
// reply and never while its caller may be sending.
func (s *Server) closeWhenRefusing(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			if s.Stage() >= StageRefusing {
				c.Response().Header().Set("Connection", "close")
			}
		})
		return next(c)
	}
}

func (s *Server) echoRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := c.Request().Header.Get(carobbend.HeaderRequestID)
		if len(id) > carobbend.MaxRequestID || strings.ContainsFunc(id, func(r rune) bool { return r < ' ' || r > '~' }) {
			return badRequest("%s: expected at most %d printable ASCII characters", carobbend.HeaderRequestID, carobbend.MaxRequestID)
		}
		if id != "" {
			c.Response().Header().Set(carobbend.HeaderRequestID, id)
		}
		return next(c)
	}
}

func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id, err := s.callers.find(c.Request())
		if err != nil {
			return echo.NewHTTPError(http.StatusUnauthorized, err.Error())
		}
		c.Set(identityKey, id)
		return next(c)
	}
}

// reserve reserves memory for a request, and bodies grow the reservation while they are decoded.
func (s *Server) reserve(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r, ok := s.cfg.Memory.Reserve(requestBytes)
		if !ok {
			return noMemory(c)
		}
		defer r.Release()
		req := c.Request()
		if req.ContentLength == 0 {
			return next(c)
		}
		part, ok := s.cfg.Arriving.Reserve(requestBytes)
		if !ok {
			return noMemory(c)
		}
		defer part.Release()
		req.Body = reservedBody{req.Body, r, part}
		return next(c)
	}
}

// reservedBody fails with errNoMemory where what was read and decoded can't be reserved.
type reservedBody struct {
	io.ReadCloser
	memory, arriving *limiter.Reservation
}

// Read implements io.Reader.
func (b reservedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if held := decodeFactor * int64(n); !b.memory.Grow(held) || !b.arriving.Grow(held) {
		return 0, errNoMemory
	}
	if err != nil {
		b.arriving.Release()
	}
	return n, err
}

// noMemory refuses a request that doesn't fit beside those in flight and didn't run.
func noMemory(c echo.Context) error {
	c.Response().Header().Set("Retry-After", retryAfter)
	return echo.NewHTTPError(http.StatusServiceUnavailable, errNoMemory.Error())
}

func identityOf(c echo.Context) Identity {
	id, ok := c.Get(identityKey).(Identity)
	asserter.Check(ok, asserter.Identity, "path", c.Path())
	return id
}

func requestID(c echo.Context) string { return c.Response().Header().Get(carobbend.HeaderRequestID) }

func badRequest(format string, args ...any) error {
	return echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf(format, args...))
}

// replyError writes the body of a reply that has no outcome.
func replyError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	code, text := http.StatusInternalServerError, "internal error"
	var he *echo.HTTPError
	if errors.As(err, &he) {
		code, text = he.Code, fmt.Sprint(he.Message)
	}
	// A failed write means that the caller has disconnected.
	_ = c.JSON(code, carobbend.ErrorReply{Error: text, RequestID: requestID(c)})
}

// decode reads one JSON object of at most limit bytes; unknown keys and trailing data are refused.
func decode(c echo.Context, limit int64, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, err = d.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("data after the JSON object")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, fmt.Sprintf("body: expected at most %d bytes", limit))
	}
	if errors.Is(err, errNoMemory) {
		return noMemory(c)
	}
	var ne net.Error
	switch {
	case errors.As(err, &ne):
		// Don't pass the error on: its text contains the addresses of the connection.
		return echo.NewHTTPError(http.StatusRequestTimeout, "body: expected a JSON object, which didn't arrive in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return badRequest("body: expected a JSON object, got one that is empty or ends early")
	default:
		return badRequest("body: %v", err)
	}
}

func deadlineOf(ms float64) (time.Duration, error) {
	d := time.Duration(ms * float64(time.Millisecond))
	if ms < 0 || ms > float64(maxDeadline/time.Millisecond) {
		return 0, badRequest("deadline-ms: expected 0 to %d, got %v", maxDeadline/time.Millisecond, ms)
	}
	return d, nil
}

func (s *Server) postQuery(c echo.Context) error {
	arrived := time.Now()
	var req carobbend.QueryRequest
	if err := decode(c, maxQueryBytes, &req); err != nil {
		return err
	}
	if !s.indexes[req.Index] {
		return badRequest("index: %q is not in the settings", req.Index)
	}
	if req.Limit < 0 || req.Limit > maxLimit {
		return badRequest("limit: expected 0 to %d, got %d", maxLimit, req.Limit)
	}
	limit, err := deadlineOf(req.DeadlineMs)
	if err != nil {
		return err
	}
	rules, id := s.cfg.Rules.Rules(), identityOf(c)
	if d := rules.Deadline(req.Index); limit == 0 || d < limit {
		limit = d
	}
	q := carobbend.Query{
		ID: ulid.Make().String(), Index: req.Index, Text: req.Text, Limit: req.Limit,
		Caller: id.Name, House: id.House, Arrived: arrived, Deadline: arrived.Add(limit),
	}
	if q.Limit == 0 {
		q.Limit = carobbend.DefaultLimit
	}
	a, reason := s.runQuery(c.Request().Context(), q, rules)
	if s.cfg.Recorder != nil {
		s.cfg.Recorder.Query(a, time.Since(arrived))
		if reason != "" {
			s.cfg.Recorder.NotRun(string(reason))
		}
	}
	reply := carobbend.QueryReply{Answer: a, RequestID: requestID(c), ItemCount: len(a.Items)}
	if a.Outcome == carobbend.OutcomeNotRun {
		reply.OtherAddresses = s.otherAddresses(c)
	}
	return c.JSON(httpStatus(a.Outcome, false), reply)
}

// runQuery returns the answer, and the reason if the query was refused.
func (s *Server) runQuery(ctx context.Context, q carobbend.Query, rules carobbend.Rules) (carobbend.Answer, RefusalReason) {
	refuse := func(reason RefusalReason, detail string) (carobbend.Answer, RefusalReason) {
		return carobbend.Answer{
			QueryID: q.ID, Index: q.Index, Outcome: carobbend.OutcomeNotRun, Items: []carobbend.Item{},
			RulesVersion: rules.Version(), Detail: detail,
		}, reason
	}
	if reason, detail := s.refusalReason(); reason != "" {
		return refuse(reason, detail)
	}
	cost := 1
	if s.cfg.Shards != nil {
		cost = max(s.cfg.Shards(q.Index), 1)
	}
	release, detail := s.cfg.Gate.Enter(ctx, q, rules.Class(q.Caller, q.Index), cost)
	if detail != "" {
		return refuse(ReasonAdmission, detail)
	}
	var a carobbend.Answer
	defer func() { release(a) }()
	a = s.cfg.Queries.Run(ctx, q)
	asserter.Check(a.QueryID == q.ID && a.Index == q.Index, asserter.Identity, "query", q.ID, "answer", a.QueryID)
	asserter.Check(a.Covered <= a.Total && a.Covered >= 0, asserter.Coverage, "query", q.ID, "covered", a.Covered, "total", a.Total)
	if a.Items == nil {
		a.Items = []carobbend.Item{}
	}
	if a.Outcome == carobbend.OutcomeNotRun {
		return a, ReasonRunner
	}
	return a, ""
}

// refusalReason returns why new work is refused now, and an explanation; the reason is empty if work is accepted.
func (s *Server) refusalReason() (RefusalReason, string) {
	if s.Stage() >= StageRefusing {
		return ReasonDraining, "this instance is shutting down"
	}
	if s.cfg.InForce != nil && !s.cfg.InForce() {
		return ReasonNotReady, "this instance has no rules in force yet"
	}
	return "", ""
}

// httpStatus returns the HTTP status of an outcome.
func httpStatus(o carobbend.Outcome, conflict bool) int {
	switch {
	case conflict:
		return http.StatusConflict
	case o == carobbend.OutcomeNotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusOK
	}
}

func (s *Server) postOperation(c echo.Context) error {
	arrived := time.Now()
	var req carobbend.OperationRequest
	if err := decode(c, maxOperationBytes, &req); err != nil {
		return err
	}
	if !s.operations[req.Operation] {
		return badRequest("operation: %q is not in the settings", req.Operation)
	}
	if err := checkKey(req.Key); err != nil {
		return err
	}
	limit, err := deadlineOf(req.DeadlineMs)
	if err != nil {
		return err
	}
	if limit == 0 {
		limit = defaultOperationDeadline
	}
	id := identityOf(c)
	op := carobbend.Operation{
		Key: req.Key, Name: req.Operation, Caller: id.Name, House: id.House, Body: req.Body, Deadline: arrived.Add(limit),
	}
	r := s.runOperation(c.Request().Context(), op)
	if s.cfg.Recorder != nil {
		s.cfg.Recorder.Operation(op.Name, r, time.Since(arrived))
	}
	return s.replyOperation(c, r)
}

func (s *Server) runOperation(ctx context.Context, op carobbend.Operation) carobbend.OperationResult {
	if reason, detail := s.refusalReason(); reason != "" {
		if s.cfg.Recorder != nil {
			s.cfg.Recorder.NotRun(string(reason))
		}
		return carobbend.OperationResult{Key: op.Key, Outcome: carobbend.OutcomeNotRun, Detail: detail}
	}
	// A started operation continues until its deadline even if the caller disconnects, so that its result is stored for the key.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), op.Deadline)
	defer cancel()
	return s.cfg.Operations.Run(ctx, op)
}

func (s *Server) getOperation(c echo.Context) error {
	if err := checkKey(c.Param("key")); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), defaultOperationDeadline)
	defer cancel()
	return s.replyOperation(c, s.cfg.Operations.Status(ctx, c.Param("key")))
}

func (s *Server) replyOperation(c echo.Context, r carobbend.OperationResult) error {
	reply := carobbend.OperationReply{OperationResult: r, RequestID: requestID(c)}
	if r.Outcome == carobbend.OutcomeNotRun {
		reply.OtherAddresses = s.otherAddresses(c)
	}
	return c.JSON(httpStatus(r.Outcome, r.Conflict), reply)
}

func checkKey(key string) error {
	if _, err := ulid.ParseStrict(key); err != nil {
		return badRequest("key: expected a ULID (26 characters), got %q", key)
	}
	return nil
}

func (s *Server) getAddresses(c echo.Context) error {
	return c.JSON(http.StatusOK, carobbend.AddressesReply{Addresses: s.addresses(c), RequestID: requestID(c)})
}

// addresses returns the addresses for the caller of a request. The query parameter client distinguishes several processes
// of one caller, and data-centre names the data centre to prefer instead of this instance's.
func (s *Server) addresses(c echo.Context) carobbend.Addresses {
	self := s.cfg.Members.Self()
	req := AddressRequest{
		Caller: identityOf(c).Name, DataCentre: self.DataCentre, Validity: s.cfg.Drain.AddressValidity, Jitter: rand.Float64(),
	}
	if client := c.QueryParam("client"); client != "" {
		req.Caller += "/" + client
	}
	if dc := c.QueryParam("data-centre"); dc != "" {
		req.DataCentre = carobbend.DataCentre(dc)
	}
	live := slices.Clone(s.cfg.Members.Live())
	for i := range live {
		if live[i].Name == self.Name && s.Stage() > StageServing {
			live[i].Leaving = true
		}
	}
	return ChooseAddresses(req, live)
}

func (s *Server) otherAddresses(c echo.Context) []string {
	own := s.cfg.Members.Self().CallerAddress
	var out []string
	for _, a := range s.addresses(c).Addresses {
		if a != own {
			out = append(out, a)
		}
	}
	return out
}
