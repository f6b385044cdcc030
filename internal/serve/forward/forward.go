// Package forward serves callers' requests: it finds the route, has package
// placement choose an endpoint instance, sends the request and passes the answer on.
// It keeps the promises on how often a request runs:
//
//   - a request that is not idempotent is sent again only when the instance, or the
//     connection, has proven that it did not run;
//   - 429, 503, 408 and 421 are answered only to requests that did not run and never
//     will; after an unknown outcome the answer is 502 or 504;
//   - an answer that ended early does not look complete.
package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/placement"
	"filberthook/internal/process/logsink"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/routes"
	"filberthook/internal/serve/upstream"
)

// Settings of a Server.
type Settings struct {
	Zone string // its availability zone
	// ReadTimeout bounds the arrival of a request's body.
	ReadTimeout time.Duration
}

const (
	// maxAnswerBytes bounds an answer that is held whole.
	maxAnswerBytes = 32 << 20
	// defaultBodyBytes bounds bodies while the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// unconfiguredRetryAfter is when a caller may return whose host got no configuration in
	// time: at once, as it reaches another host.
	unconfiguredRetryAfter = minRetryAfter
)

// Server serves callers' requests. It implements http.Handler.
type Server struct {
	settings Settings
	dialect  dialect.Dialect
	fleet    *placement.Fleet
	view     *instances.View
	pool     *upstream.Pool
	budgets  *RetryBudgets
	logger   *slog.Logger
	answered *logsink.Sampler // for the lines of requests that went well
	metrics  *metrics.Set

	table        atomic.Pointer[routes.Table]
	configured   chan struct{}             // closed when the first table is in force
	configuredAt atomic.Pointer[time.Time] // when it came into force
	stopping     atomic.Bool
	active       atomic.Int64
}

// New returns a Server without a configuration.
func New(s Settings, d dialect.Dialect, fleet *placement.Fleet, view *instances.View, pool *upstream.Pool,
	budgets *RetryBudgets, logger *slog.Logger, set *metrics.Set) *Server {
	return &Server{
		settings: s, dialect: d, fleet: fleet, view: view, pool: pool, budgets: budgets,
		logger: logger, answered: logsink.NewSampler(maxAnsweredLinesPerSecond), metrics: set,
		configured: make(chan struct{}),
	}
}

// SetTable puts a configuration into force for requests that arrive from now on.
func (s *Server) SetTable(t *routes.Table) {
	s.table.Store(t)
	now := time.Now()
	if s.configuredAt.CompareAndSwap(nil, &now) {
		close(s.configured)
	}
}

// Table returns the configuration in force, nil for none.
func (s *Server) Table() *routes.Table { return s.table.Load() }

// Stop makes the server end connections after their next answer.
func (s *Server) Stop() { s.stopping.Store(true) }

// Active returns the requests under way.
func (s *Server) Active() int64 { return s.active.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	t := s.awaitTable(w, r)
	if t == nil {
		s.refuseEarly(w, r, http.StatusServiceUnavailable, "no_configuration", unconfiguredRetryAfter)
		return
	}
	route := t.Match(r.Host, r.URL.Path)
	if route == nil {
		s.logger.Info("request refused", "id", s.dialect.DecodeRequest(r.Header).ID, "authority", r.Host, "path", r.URL.Path,
			"config", t.Version, "reason", "no_route", "status", http.StatusNotFound)
		s.count("none", "no_route")
		http.Error(w, "no route for this host and path", http.StatusNotFound)
		return
	}
	c := s.newCall(w, r, t, route, arrived)
	defer c.finish()
	if !c.readBody(t.Limits) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	if route.Kind == routes.Stream {
		c.serveStream()
	} else {
		c.serveWhole()
	}
}

// refuseEarly refuses a request before its route is known.
func (s *Server) refuseEarly(w http.ResponseWriter, r *http.Request, status int, reason string, after time.Duration) {
	s.logger.Info("request refused", "id", s.dialect.DecodeRequest(r.Header).ID, "authority", r.Host, "path", r.URL.Path,
		"reason", reason, "status", status)
	s.count("none", reason)
	w.Header().Set("Retry-After", seconds(after))
	http.Error(w, reason, status)
}

func (s *Server) count(kind, outcome string) {
	s.metrics.GetOrCreateCounter(`filberthook_entry_requests_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
}

// seconds formats a time for Retry-After, with a fraction.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(max(0, d.Seconds()), 'f', 3, 64)
}

// call is one caller's request on its way.
type call struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	route    *routes.Route
	version  uint64 // of the configuration that it is served under
	meta     dialect.Meta
	body     []byte
	header   http.Header // of the caller, without what concerns its connection
	start    time.Time
	deadline time.Time // of the route's timeout and the caller's deadline the first

	endpoint      string
	excluded      map[string]bool // instances that were tried
	arrivals      int             // requests that reached an instance of the endpoint
	ran           int             // of them those that may have run
	retryReserved atomic.Bool     // the budget was charged for one more before it was sent
	attempts      []attempt
	outcome       string
	status        int
	reason        string
	detail        string // what the reason was drawn from
	firstMS       int64  // until the first event or the answer
}

func (s *Server) newCall(w http.ResponseWriter, r *http.Request, t *routes.Table, route *routes.Route, now time.Time) *call {
	c := &call{
		server: s, w: w, r: r, ctx: r.Context(), route: route, version: t.Version,
		meta: s.dialect.DecodeRequest(r.Header), header: endToEndHeaders(r.Header),
		start: now, deadline: now.Add(route.Timeout), excluded: map[string]bool{},
		endpoint: route.Pick(rand.Float64()),
	}
	if c.meta.Deadline > 0 {
		c.deadline = earlier(c.deadline, now.Add(c.meta.Deadline))
	}
	s.budgets.Of(c.endpoint).CountRequest(now)
	return c
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// remaining returns the time until the call is given up.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// readBody reads the whole body, within the limits. It answers and returns false
// when it cannot.
func (c *call) readBody(limits routes.Limits) bool {
	if limits.HeaderBytes > 0 && headerBytes(c.r) > limits.HeaderBytes {
		c.fail(http.StatusRequestHeaderFieldsTooLarge, "header_too_large")
		return false
	}
	if c.r.Body == http.NoBody {
		return true
	}
	maxBytes := limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultBodyBytes
	}
	if c.r.ContentLength > maxBytes {
		c.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	body, err := readBodyWithin(c.w, c.r, maxBytes, earlier(c.deadline, time.Now().Add(c.server.settings.ReadTimeout)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		c.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	case err != nil:
		c.outcome, c.reason = "cut", "body_not_read"
		panic(http.ErrAbortHandler)
	}
	c.body = body
	return true
}

// readBodyWithin reads a whole body of at most so many bytes until a time.
func readBodyWithin(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) ([]byte, error) {
	controller := http.NewResponseController(w)
	// A connection without deadlines, as in some tests, reads without one.
	_ = controller.SetReadDeadline(deadline)
	body, err := readAll(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength)
	_ = controller.SetReadDeadline(time.Time{})
	return body, err
}

// readAll reads a body whose length may be known.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4 // colon, space and line end
		}
	}
	return n
}

// request returns what is sent to an instance.
func (c *call) request(send dialect.SendOptions) *upstream.Request {
	send.Deadline = c.remaining()
	return &upstream.Request{
		Method:     c.r.Method,
		Target:     c.r.RequestURI,
		Host:       c.r.Host,
		Header:     c.server.dialect.EncodeRequest(c.header, send),
		Body:       c.body,
		AtMostOnce: !c.route.Idempotent() && !send.PrefillOnly,
		Accept: func(r *http.Response) bool {
			id := c.server.dialect.DecodeAnswer(r.StatusCode, r.Header).RequestID
			return id == c.meta.ID || id == "" && r.StatusCode >= http.StatusBadRequest
		},
	}
}

// mayResend reports whether the request may go to another instance now, and charges
// the budget for it.
func (c *call) mayResend() bool {
	if c.ctx.Err() != nil {
		return false
	}
	if c.arrivals == 0 || c.retryReserved.Swap(false) {
		return true // nothing has reached an instance yet, or it was charged before
	}
	return c.server.budgets.Of(c.endpoint).Take(time.Now())
}

// refuse answers 503 to a request that has not run, with the time after which the
// caller may return.
func (c *call) refuse(reason string, after time.Duration) {
	c.w.Header().Set("Retry-After", seconds(after))
	c.fail(http.StatusServiceUnavailable, reason)
}

// giveUp answers a request that cannot be served: 503 when it certainly did not
// run, otherwise a status that promises nothing.
func (c *call) giveUp(reason string) {
	switch {
	case c.callerGone():
		c.outcome, c.reason = "caller_left", reason
		panic(http.ErrAbortHandler)
	case c.ran == 0:
		c.refuse(reason, c.retryAfter())
	case !time.Now().Before(c.deadline):
		c.fail(http.StatusGatewayTimeout, reason)
	default:
		c.fail(http.StatusBadGateway, reason)
	}
}

// callerGone reports whether the caller has closed its connection.
func (c *call) callerGone() bool { return c.r.Context().Err() != nil }

const (
	// minRetryAfter and maxReturn bound Retry-After. Callers that return at once meet the
	// same queue; they wait no longer than a third of the time that they have left.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// retryAfter returns when a refused caller should come back: spread over a time
// that grows with the route's goal, so that callers refused together do not return
// together.
func (c *call) retryAfter() time.Duration {
	spread := min(max(c.route.Goal/2, minRetryAfter), maxRetryAfter)
	return minRetryAfter + time.Duration(rand.Int64N(int64(spread)))
}

// fail answers with an error of this system.
func (c *call) fail(status int, reason string) {
	c.outcome, c.reason, c.status = "failed", reason, status
	if status == http.StatusServiceUnavailable {
		c.outcome = "refused"
	}
	http.Error(c.w, reason, status)
}
