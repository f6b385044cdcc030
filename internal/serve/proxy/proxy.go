// Package proxy sends a caller's request to endpoint instances and passes the
// answer on: it retries what may be repeated within a budget, takes broken
// streams up again where they broke, and lets no answer of another attempt
// through.
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

// Scheduler picks instances and is told what becomes of attempts.
type Scheduler interface {
	// Place picks an instance, waits for room there if need be, and notes the
	// start. Nothing has run after an error.
	Place(ctx context.Context, p scheduler.Placement, req *routing.Request) (routing.Decision, error)
	// PrefillDone notes that the prompt of a split request is computed or given up.
	PrefillDone(d *routing.Decision, req *routing.Request)
	Finished(d *routing.Decision, req *routing.Request)
	// AnswerLength notes the length in tokens of a whole answer.
	AnswerLength(team, endpoint string, tokens int)
	ObserveLoad(instance string, incarnation uint64, load engineapi.LoadReport)
	Draining(instance string, incarnation uint64)
	// Live reports whether an instance holds its lease.
	Live(instance string, incarnation uint64) bool
}

// Settings bound attempts and answers.
type Settings struct {
	Transport      TransportSettings `toml:"transport"`
	Retry          retry.Settings    `toml:"retry"`
	MaxAnswerBytes int64             `toml:"max_answer_bytes"` // of a whole answer
	MaxHeldBytes   int64             `toml:"max_held_bytes"`   // of all whole answers together
	MaxEventBytes  int               `toml:"max_event_bytes"`  // of one event of a stream
	StreamIdle     tomltime.Duration `toml:"stream_idle"`      // longest gap in an engine's stream before it is taken up elsewhere
	GoneIdle       tomltime.Duration `toml:"gone_idle"`        // the same when the instance's lease has run out, also before the first event
	WatchInterval  tomltime.Duration `toml:"watch_interval"`   // between looks at the progress of an attempt
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

// ErrStopped is the cause with which a host ends the requests that outlast its
// graceful stop. Their callers are told to go on through another host.
var ErrStopped = errors.New("this host stopped")

// stopped reports whether the request was ended by the stop of this host.
func stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopped) }

// Proxy is the last handler of a caller request.
type Proxy struct {
	settings Settings
	sched    Scheduler
	kept     http.RoundTripper // for repeatable requests
	once     http.RoundTripper // for non-repeatable requests
	memory   *limit.Memory     // of whole answers
	attempts *metrics.Counter
	latency  *latencies

	splitDone   *metrics.Counter // prompts computed on another engine
	splitFailed *metrics.Counter // prompts that the picked engine had to compute after all

	mu       sync.RWMutex
	policies map[string]*retry.Policy // by endpoint; guarded by mu
}

// New returns a Proxy.
func New(settings Settings, sched Scheduler, set *metrics.Set) *Proxy {
	return &Proxy{
		settings: settings,
		sched:    sched,
		kept:     newTransport(settings.Transport),
		once:     newOnceTransport(settings.Transport),
		memory:   limit.NewMemory(settings.MaxHeldBytes),
		attempts: set.GetOrCreateCounter("filberthook_attempts_total"),
		latency:  newLatencies(set),
		policies: make(map[string]*retry.Policy),

		splitDone:   set.GetOrCreateCounter(`filberthook_split_prefills_total{outcome="imported"}`),
		splitFailed: set.GetOrCreateCounter(`filberthook_split_prefills_total{outcome="failed"}`),
	}
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := call.From(r)
	p.policy(c).RecordFirst()
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

// again decides whether another attempt follows a failed one, and waits until
// then. It returns nil when one follows, else the refusal that ends the call.
func (p *Proxy) again(ctx context.Context, c *call.Call, f *failure, made int) *request.Refusal {
	if f.final {
		return truthful(c, f)
	}
	if ctx.Err() != nil || !c.Request.Repeatable() && c.Request.MayHaveRun() {
		return p.ended(ctx, c, f)
	}
	verdict := p.policy(c).Retry(made, c.Left(), rand.Float64())
	if !verdict.Again {
		if verdict.Denied == retry.DeniedBudget {
			c.Counters.Retried(request.RetryDenied)
		}
		return p.ended(ctx, c, f)
	}
	if !pause.For(ctx, verdict.Delay) {
		return p.ended(ctx, c, f)
	}
	if f.reason != "" {
		c.Counters.Retried(f.reason)
	}
	return nil
}

// ended returns the refusal of a call whose last attempt failed.
func (p *Proxy) ended(ctx context.Context, c *call.Call, f *failure) *request.Refusal {
	ran := c.Request.MayHaveRun()
	switch {
	case ran && !c.Request.Repeatable():
		return request.Refuse(request.OutcomeUnknown, "instance %s gave no answer to the call", f.instance).Because(f.err)
	case context.Cause(ctx) == context.Canceled:
		return p.callerGone(c)
	case stopped(ctx) && !ran:
		return request.Refuse(request.Stopping, "this host stopped before the request was sent")
	case c.Left() <= 0:
		return p.deadlinePassed(c)
	case ran:
		return request.Refuse(request.InstanceFailed, "instance %s failed: %v", f.instance, f.err).Because(f.err)
	case f.refusal != nil:
		return f.refusal
	case f.reason == request.RetryRefused:
		return request.Refuse(request.InstanceRefused, "instance %s takes no request now: %v", f.instance, f.err).Because(f.err)
	default:
		return request.Refuse(request.ConnectFailed, "instance %s was not reached", f.instance).Because(f.err)
	}
}

// truthful returns the failure's refusal, unless it says that the request did
// not run and an earlier attempt may have.
func truthful(c *call.Call, f *failure) *request.Refusal {
	if f.refusal.Disposition != request.NotRun || !c.Request.MayHaveRun() {
		return f.refusal
	}
	return request.Refuse(request.InstanceFailed, "an earlier attempt may have run: %s", f.refusal.Detail).Because(f.refusal)
}

// deadlinePassed is the refusal of a call whose time is up.
func (p *Proxy) deadlinePassed(c *call.Call) *request.Refusal {
	if c.Request.MayHaveRun() {
		return request.Refuse(request.DeadlineCutRun, "the deadline passed while the request ran")
	}
	return request.Refuse(request.DeadlinePassed, "the deadline passed before the request was sent")
}

// callerGone is the refusal of a call whose caller left. Nobody reads it; it
// is counted.
func (p *Proxy) callerGone(c *call.Call) *request.Refusal {
	refusal := request.Refuse(request.CallerGone, "the caller closed its connection")
	if !c.Request.MayHaveRun() {
		refusal.Disposition = request.NotRun
	}
	return refusal
}

// notTaken is the refusal of a call whose caller did not take the answer.
func (p *Proxy) notTaken(c *call.Call, err error) *request.Refusal {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return request.Refuse(request.SlowReader, "the caller did not take its answer in time").Because(err)
	}
	return p.callerGone(c).Because(err)
}
