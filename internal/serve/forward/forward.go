// Package forward is the reverse proxy of an entry host. For each request it matches a
// route, has package placement choose an endpoint instance, sends the request there and
// passes the answer back. It guarantees callers:
//
//   - A request that is not idempotent is retried only if the instance's answer or the
//     connection's failure proves that it did not run.
//   - The statuses 429, 503, 408 and 421 mean that the request did not run and never
//     will. If that is unknown the status is 502 or 504.
//   - A truncated answer does not look complete: its connection is aborted.
package forward

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/placement"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/process/logsink"
	"filberthook/internal/serve/caller"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/membudget"
	"filberthook/internal/serve/routes"
	"filberthook/internal/serve/upstream"
	"filberthook/internal/serve/usage"
)

// Settings configures a Server.
type Settings struct {
	Zone string // the host's availability zone
	// ReadTimeout limits the time to read a body while the host has no configuration; then
	// the deadline of the request does.
	ReadTimeout time.Duration
	Keys        Keys // used if the configuration lists client accounts
	// Usage counts the accounts' requests that began to run, nil for no counts.
	Usage usage.Counter
}

const (
	// maxAnswerBytes is the largest answer that is read into memory.
	maxAnswerBytes = 32 << 20
	// defaultBodyBytes limits request bodies if the configuration does not.
	defaultBodyBytes = 4 << 20
	// unconfiguredRetryAfter is sent by a host that got no configuration in time. It is
	// short, as the retry reaches another host.
	unconfiguredRetryAfter = minRetryAfter
)

// Server serves callers' requests. It implements http.Handler.
type Server struct {
	settings     Settings
	dialect      dialect.Dialect
	fleet        *placement.Fleet
	view         *instances.View
	pool         *upstream.Pool
	budgets      *RetryBudgets
	quarantine   *quarantine.Ledger
	logger       *slog.Logger
	answered     *logsink.Sampler // limits the log lines of requests without failures
	unreadable   *logsink.Sampler // limits the log lines of unreadable notices
	unauthorized *logsink.Sampler // limits the log lines of requests that were refused for their key
	metrics      *metrics.Set

	table        atomic.Pointer[routes.Table]
	configured   chan struct{}             // closed by the first SetTable
	configuredAt atomic.Pointer[time.Time] // time of the first SetTable
	stopPlan     atomic.Pointer[stopPlan]  // nil before a stop
	ended        context.Context           // ends with EndRequests
	endRequests  context.CancelFunc
	active       atomic.Int64
}

// New returns a Server without a configuration.
func New(s Settings, d dialect.Dialect, fleet *placement.Fleet, view *instances.View, pool *upstream.Pool,
	budgets *RetryBudgets, ledger *quarantine.Ledger, logger *slog.Logger, set *metrics.Set) *Server {
	server := &Server{
		settings: s, dialect: d, fleet: fleet, view: view, pool: pool, budgets: budgets, quarantine: ledger,
		logger: logger, answered: logsink.NewSampler(maxAnsweredLinesPerSecond),
		unreadable:   logsink.NewSampler(maxUnreadableLinesPerSecond),
		unauthorized: logsink.NewSampler(maxUnauthorizedLinesPerSecond), metrics: set,
		configured: make(chan struct{}),
	}
	server.ended, server.endRequests = context.WithCancel(context.Background())
	return server
}

// SetTable sets the configuration for requests that arrive from now on.
func (s *Server) SetTable(t *routes.Table) {
	s.table.Store(t)
	now := time.Now()
	if s.configuredAt.CompareAndSwap(nil, &now) {
		close(s.configured)
	}
}

// Table returns the current configuration, nil if there is none yet.
func (s *Server) Table() *routes.Table { return s.table.Load() }

// configVersion returns the version of the current configuration, 0 if there is none yet.
func (s *Server) configVersion() uint64 {
	if t := s.Table(); t != nil {
		return t.Version
	}
	return 0
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.stopping() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	limitWriting(w, arrived.Add(maxRefusalTime))
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
		limitDiscarding(w)
		http.Error(w, "no route for this host and path", http.StatusNotFound)
		return
	}
	meta := s.dialect.DecodeRequest(r.Header)
	account, ok := s.authorize(w, r, t, route, meta, arrived)
	if !ok {
		return
	}
	c := s.newCall(w, r, t, route, meta, arrived)
	c.setAccount(t.Keyed, account)
	defer c.finish()
	defer c.departure.watch(r.Context())()
	limitWriting(w, c.deadline.Add(writeSlack))
	if !c.readBody(t.Limits) {
		return
	}
	if caller.Check(r.Context()) != nil { // callers give up requests that wait long to be read
		c.giveUp("not_read_in_time")
		return
	}
	if !c.reauthorize() {
		return
	}
	c.identity = c.newIdentity()
	c.suspect = c.newSuspect()
	if !s.admitsInStop(time.Now(), c.deadline) {
		c.refuse(reasonStopping, minRetryAfter)
		return
	}
	ctx, cancel := s.untilEnd(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	c.mu.Lock()
	defer c.mu.Unlock()
	if route.Kind == routes.Stream {
		c.serveStream()
	} else {
		c.serveWhole()
	}
}

const (
	// maxRefusalTime bounds a request that is refused before it has a route.
	maxRefusalTime = 10 * time.Second
	// writeSlack is how long after a request's deadline its last bytes may be written.
	writeSlack = time.Second
)

// limitWriting ends the writes of an answer whose caller has stopped reading.
func limitWriting(w http.ResponseWriter, deadline time.Time) {
	// Ignore the error: some tests use connections that do not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline)
}

// limitDiscarding bounds how long net/http discards the body of a request that is refused
// before the body was read.
func limitDiscarding(w http.ResponseWriter) {
	// Ignore the error: some tests use connections that do not support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(writeSlack))
}

// refuseEarly refuses a request that was not matched to a route yet.
func (s *Server) refuseEarly(w http.ResponseWriter, r *http.Request, status int, reason string, after time.Duration) {
	s.logger.Info("request refused", "id", s.dialect.DecodeRequest(r.Header).ID, "authority", r.Host, "path", r.URL.Path,
		"reason", reason, "status", status)
	s.count("none", reason)
	limitDiscarding(w)
	w.Header().Set("Retry-After", seconds(after))
	http.Error(w, reason, status)
}

func (s *Server) count(kind, outcome string) {
	s.metrics.GetOrCreateCounter(`filberthook_entry_requests_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
}

// seconds formats a duration for Retry-After, in seconds with three decimals.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(max(0, d.Seconds()), 'f', 3, 64)
}

// reasonStopping is the reason of a request that a stop of this host refused or ended.
const reasonStopping = "stopping"

// outcomeCallerLeft is the outcome of a request whose caller closed its connection.
const outcomeCallerLeft = "caller_left"

// call is the state of one caller's request.
type call struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	route    *routes.Route
	version  uint64 // of the configuration that the call uses
	meta     dialect.Meta
	keyed    bool            // the configuration lists client accounts
	account  *routes.Account // nil for none
	body     []byte
	header   http.Header // the caller's, without hop-by-hop fields
	start    time.Time
	deadline time.Time // the earlier of the route's timeout and the caller's deadline

	// mu guards what follows, and the answer to the caller, while attempts of the call run side by side.
	mu         sync.Mutex
	counted    bool // among its account's requests
	endpoint   string
	excluded   map[string]bool    // IDs of instances that are not tried again
	arrivals   arrivals           // at instances
	identity   quarantine.Suspect // of a request that is known by its content, empty for others
	suspect    *quarantine.Request
	ran        int  // attempts that may have run the request, prefills excluded
	unwritable bool // the caller does not take the answer
	attempts   []attempt
	outcome    string
	status     int
	reason     string
	detail     string            // the error behind the reason
	notBefore  time.Duration     // until an instance takes a request again, 0 if unknown
	memory     []*membudget.Hold // of answers that are being passed on
	ended      bool              // its memory was released
	firstMS    int64             // from arrival to the first event or the answer
	departure  departure
}

func (s *Server) newCall(w http.ResponseWriter, r *http.Request, t *routes.Table, route *routes.Route, meta dialect.Meta, now time.Time) *call {
	c := &call{
		server: s, w: w, r: r, ctx: r.Context(), route: route, version: t.Version,
		meta: meta, header: endToEndHeaders(r.Header),
		start: now, deadline: now.Add(route.Timeout), excluded: map[string]bool{},
		endpoint: route.Pick(rand.Float64()),
	}
	if c.meta.Deadline > 0 {
		c.deadline = earlier(c.deadline, now.Add(c.meta.Deadline))
	}
	c.arrivals.budget = s.budgets.Of(c.endpoint)
	c.arrivals.budget.CountRequest(now)
	return c
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// remaining returns the time until the call's deadline.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// request returns the request to an instance.
func (c *call) request(send dialect.SendOptions) *upstream.Request {
	send.Deadline = c.remaining()
	send.Keyed, send.Account = c.keyed, accountName(c.account)
	return &upstream.Request{
		Method:     c.r.Method,
		Target:     c.r.RequestURI,
		Host:       c.r.Host,
		Header:     c.server.dialect.EncodeRequest(c.header, send),
		Body:       c.body,
		AtMostOnce: !c.route.Idempotent() && !send.PrefillOnly,
		ID:         c.meta.ID,
		Alone:      c.meta.ID == "",
		Accept: func(r *http.Response, carried bool) bool {
			id := c.server.dialect.DecodeAnswer(r.StatusCode, r.Header).RequestID
			return id == c.meta.ID || id == "" && r.StatusCode >= http.StatusBadRequest && !carried
		},
	}
}

// send sends the request to an instance, counts its arrival there, and records what the
// answer says about the instance.
func (c *call) send(ctx context.Context, target placement.Target, options dialect.SendOptions) (*upstream.Answer, error) {
	c.arrivals.sending()
	sentAt := time.Now()
	request := c.request(options)
	var answer *upstream.Answer
	var err error
	c.unlocked(func() { answer, err = c.server.pool.Send(ctx, target.Address, request) })
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		c.arrivals.notSent()
	}
	if err != nil {
		return nil, err
	}
	if decoded := c.server.dialect.DecodeAnswer(answer.StatusCode, answer.Header); trustworthy(answer.StatusCode, decoded, options.PrefillOnly) {
		c.server.hear(c.meta.ID, target, decoded.Notice, sentAt)
	}
	return answer, nil
}

// mayResend reports whether the request may be sent to an instance once more, and reserves
// the retry budget for it.
func (c *call) mayResend(ctx context.Context) bool {
	return ctx.Err() == nil && c.arrivals.reserve(1, time.Now())
}

// refuse answers 503 and Retry-After to a request that has not run.
func (c *call) refuse(reason string, after time.Duration) {
	c.w.Header().Set("Retry-After", seconds(after))
	c.fail(http.StatusServiceUnavailable, reason)
}

// giveUp answers a request that cannot be served: 503 if it certainly did not run,
// otherwise 504 after the deadline or 502.
func (c *call) giveUp(reason string) {
	if c.server.ended.Err() != nil {
		reason = reasonStopping
	}
	switch {
	case c.callerGone():
		c.outcome, c.reason = outcomeCallerLeft, reason
		c.abort()
	case c.ran == 0:
		c.refuse(reason, c.retryAfter())
	case !time.Now().Before(c.deadline):
		c.fail(http.StatusGatewayTimeout, reason)
	default:
		c.fail(http.StatusBadGateway, reason)
	}
}

// abort ends the connection without a complete answer. Answers to HTTP/1.0 callers may end
// with the connection, so that an orderly end would make the answer look complete: it is reset.
func (c *call) abort() {
	if !c.r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(c.w).Hijack(); err == nil {
			if l, ok := conn.(interface{ SetLinger(sec int) error }); ok {
				_ = l.SetLinger(0) // fails only if the connection has ended
			}
			conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// callerGone reports whether the caller has closed its connection.
func (c *call) callerGone() bool { return c.r.Context().Err() != nil }

const (
	// minRetryAfter and maxRetryAfter bound Retry-After. A caller that retries sooner meets
	// the same queue; a caller waits at most a third of its remaining time.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// retryAfter returns a random Retry-After, not before an instance takes a request again. Its
// range grows with the route's latency goal, so that callers refused together do not return
// together.
func (c *call) retryAfter() time.Duration {
	return max(minRetryAfter, min(c.notBefore, maxRetryAfter)) + retrySpread(c.route)
}

// noteUnplaced records why placement found no instance, and returns the reason for the log.
func (c *call) noteUnplaced(err error) (reason string) {
	c.detail = err.Error()
	var last *placement.LastInstanceError
	if errors.As(err, &last) {
		return "last_instance"
	}
	var none *placement.NoInstanceError
	if errors.As(err, &none) && none.Later > 0 {
		c.notBefore = none.Wait
		return "not_before"
	}
	return "no_instance"
}

// fail answers with an error of this host rather than of an instance.
func (c *call) fail(status int, reason string) {
	c.outcome, c.reason, c.status = "failed", reason, status
	if status == http.StatusServiceUnavailable {
		c.outcome = "refused"
	}
	http.Error(c.w, reason, status)
}
