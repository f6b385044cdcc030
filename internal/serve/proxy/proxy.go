// Package proxy sends a caller's request to endpoint instances and passes the answer on.
// It retries repeatable requests within a budget, resumes broken streams after the last
// token that the caller has, and drops answers that belong to another attempt.
package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/scheduler"
	"filberthook/internal/process/pause"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/limit"
	"filberthook/internal/serve/request"
	"filberthook/internal/serve/retry"
	"filberthook/internal/serve/routing"
)

// Scheduler picks instances and is notified of the progress of attempts.
type Scheduler interface {
	// Place picks an instance, waits until it has capacity, and records the start.
	// After an error nothing has run.
	Place(ctx context.Context, p scheduler.Placement, req *routing.Request) (routing.Decision, error)
	// PrefillDone records that a disaggregated prefill has finished or failed.
	PrefillDone(d *routing.Decision, req *routing.Request)
	Finished(d *routing.Decision, req *routing.Request)
	// AnswerLength records the length of a complete answer in tokens.
	AnswerLength(team, endpoint string, tokens int)
	ObserveLoad(instance string, incarnation uint64, load engineapi.LoadReport)
	Draining(instance string, incarnation uint64)
	// Live reports whether an instance holds its lease.
	Live(instance string, incarnation uint64) bool
}

// Settings are the limits of attempts and answers.
type Settings struct {
	Transport      TransportSettings `toml:"transport"`
	Retry          retry.Settings    `toml:"retry"`
	MaxAnswerBytes int64             `toml:"max_answer_bytes"` // of an answer that is not streamed
	MaxHeldBytes   int64             `toml:"max_held_bytes"`   // of all such answers together
	MaxEventBytes  int               `toml:"max_event_bytes"`  // of one event of a stream
	StreamIdle     tomltime.Duration `toml:"stream_idle"`      // longest gap in an engine's stream before it is resumed elsewhere
	GoneIdle       tomltime.Duration `toml:"gone_idle"`        // the same if the instance's lease has expired, also before the first event
	WatchInterval  tomltime.Duration `toml:"watch_interval"`   // between checks of an attempt's progress
}

// DefaultSettings returns the settings used when none are set.
func DefaultSettings() Settings {
	return Settings{
		Transport:      DefaultTransport(),
		Retry:          retry.DefaultSettings(),
		MaxAnswerBytes: 16 << 20,
		MaxHeldBytes:   512 << 20,
		MaxEventBytes:  256 << 10,
		StreamIdle:     tomltime.Of(10 * time.Second),
		GoneIdle:       tomltime.Of(time.Second),
		WatchInterval:  tomltime.Of(500 * time.Millisecond),
	}
}

// ErrStopped is the cause with which a host cancels the requests that outlast its graceful
// stop. Their refusals tell callers to continue through another host.
var ErrStopped = errors.New("this host stopped")

// stopped reports whether the stop of this host cancelled the request.
func stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopped) }

// Proxy is the last handler in the chain of a caller request.
type Proxy struct {
	settings  Settings
	sched     Scheduler
	pooled    http.RoundTripper // for repeatable requests
	singleUse http.RoundTripper // for non-repeatable requests
	memory    *limit.Memory     // for answers that are not streamed
	set       *metrics.Set
	attempts  *metrics.Counter
	latency   *latencies
	suspects  *suspects

	splitDone   *metrics.Counter // disaggregated prefills that succeeded
	splitFailed *metrics.Counter // disaggregated prefills that failed, so that the picked engine ran them

	mu       sync.RWMutex
	policies map[string]*retry.Policy // by endpoint; guarded by mu
}

// New returns a Proxy.
func New(settings Settings, sched Scheduler, set *metrics.Set) *Proxy {
	return &Proxy{
		settings:  settings,
		sched:     sched,
		pooled:    callerCheck{newPooledTransport(settings.Transport)},
		singleUse: callerCheck{newSingleUseTransport(settings.Transport)},
		memory:    limit.NewMemory(settings.MaxHeldBytes),
		set:       set,
		attempts:  set.GetOrCreateCounter("filberthook_attempts_total"),
		latency:   newLatencies(set),
		suspects:  newSuspects(),
		policies:  make(map[string]*retry.Policy),

		splitDone:   set.GetOrCreateCounter(`filberthook_split_prefills_total{outcome="imported"}`),
		splitFailed: set.GetOrCreateCounter(`filberthook_split_prefills_total{outcome="failed"}`),
	}
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := call.From(r)
	p.policy(c).RecordFirst()
	q := p.suspects.of(c, r)
	defer q.done()
	r = r.WithContext(q.with(r.Context()))
	if c.Stream {
		p.serveStream(w, r, c)
		return
	}
	p.serveWhole(w, r, c)
}

// policy returns the retry policy of the call's endpoint.
func (p *Proxy) policy(c *call.Call) *retry.Policy {
	name := c.Endpoint.Name
	p.mu.RLock()
	policy := p.policies[name]
	p.mu.RUnlock()
	if policy != nil {
		return policy
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.policies[name] == nil {
		p.policies[name] = retry.NewPolicy(p.settings.Retry)
	}
	return p.policies[name]
}

// retryOrRefuse decides whether another attempt follows a failed one. If so it waits for
// the retry delay and returns nil, otherwise it returns the refusal that ends the call.
func (p *Proxy) retryOrRefuse(ctx context.Context, c *call.Call, f *failure, attempts int) *request.Refusal {
	if f.final {
		return correctDisposition(c, f)
	}
	if ctx.Err() != nil || !c.Request.Repeatable() && c.Request.MayHaveRun() {
		return p.finalRefusal(ctx, c, f)
	}
	verdict := p.policy(c).Retry(attempts, c.Left(), rand.Float64())
	if !verdict.Again {
		if verdict.Denied == retry.DeniedBudget {
			c.Counters.Retried(request.RetryDenied)
		}
		return p.finalRefusal(ctx, c, f)
	}
	if !pause.For(ctx, verdict.Delay) {
		return p.finalRefusal(ctx, c, f)
	}
	if f.reason != "" {
		c.Counters.Retried(f.reason)
	}
	return nil
}

// finalRefusal returns the refusal that ends a call after its last attempt failed.
func (p *Proxy) finalRefusal(ctx context.Context, c *call.Call, f *failure) *request.Refusal {
	ran := c.Request.MayHaveRun()
	switch {
	case ran && !c.Request.Repeatable():
		return request.Refuse(request.OutcomeUnknown, "instance %s gave no answer to the call", f.instance).WithCause(f.err)
	case context.Cause(ctx) == context.Canceled:
		return p.callerGone(c)
	case stopped(ctx) && !ran:
		return request.Refuse(request.Stopping, "this host stopped before the request was sent")
	case c.Left() <= 0:
		return p.deadlinePassed(c)
	case ran:
		return request.Refuse(request.InstanceFailed, "instance %s failed: %v", f.instance, f.err).WithCause(f.err)
	case f.refusal != nil:
		return f.refusal
	case f.reason == request.RetryRefused:
		return request.Refuse(request.InstanceRefused, "instance %s takes no request now: %v", f.instance, f.err).WithCause(f.err)
	default:
		return request.Refuse(request.ConnectFailed, "instance %s was not reached", f.instance).WithCause(f.err)
	}
}

// correctDisposition returns the failure's refusal. If that says that the request did not
// run although an earlier attempt may have, it returns InstanceFailed instead.
func correctDisposition(c *call.Call, f *failure) *request.Refusal {
	if f.refusal.Disposition != request.NotRun || !c.Request.MayHaveRun() {
		return f.refusal
	}
	return request.Refuse(request.InstanceFailed, "an earlier attempt may have run: %s", f.refusal.Detail).WithCause(f.refusal)
}

// deadlinePassed returns the refusal of a call whose deadline has passed.
func (p *Proxy) deadlinePassed(c *call.Call) *request.Refusal {
	if c.Request.MayHaveRun() {
		return request.Refuse(request.DeadlineCutRun, "the deadline passed while the request ran")
	}
	return request.Refuse(request.DeadlinePassed, "the deadline passed before the request was sent")
}

// callerGone returns the refusal of a call whose caller has disconnected. It is counted
// but nobody receives it.
func (p *Proxy) callerGone(c *call.Call) *request.Refusal {
	refusal := request.Refuse(request.CallerGone, "the caller closed its connection")
	if !c.Request.MayHaveRun() {
		refusal.Disposition = request.NotRun
	}
	return refusal
}

// undelivered returns the refusal of a call whose answer could not be written to the
// caller.
func (p *Proxy) undelivered(c *call.Call, err error) *request.Refusal {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return request.Refuse(request.SlowReader, "the caller did not take its answer in time").WithCause(err)
	}
	return p.callerGone(c).WithCause(err)
}
