package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"

	"filberthook/internal/bench/history"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/scheduler"
	"filberthook/internal/network/httpanswer"
	"filberthook/internal/network/ident"
	"filberthook/internal/serve/admission"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/request"
	"filberthook/internal/serve/routing"
)

// failure describes why an attempt gave no answer.
type failure struct {
	reason   request.RetryReason
	instance string // empty if none was picked
	refusal  *request.Refusal
	final    bool // another attempt cannot succeed
	err      error
}

type attemptOptions struct {
	exclude    []string     // instances to avoid if there are others
	resumeFrom int          // output tokens that the caller already has
	hedge      bool         // keep the earlier attempt open
	onDispatch func(string) // called with the instance when the attempt is dispatched; may be nil
}

// attempt is one dispatch of a call to an instance.
type attempt struct {
	id         string
	decision   routing.Decision
	routingReq *routing.Request
	call       *call.Call
	proxy      *Proxy
	suspect    *suspect // nil for none
	resp       *http.Response
	cancel     context.CancelFunc
	watch      *watch // nil for a non-repeatable call, which is never abandoned
	cache      string // handle of the imported KV cache; empty if none
	ended      sync.Once

	mu   sync.Mutex
	conn net.Conn // guarded by mu; nil until connected
}

// begin picks an instance, sends the call and returns when the answer's header has arrived
// and belongs to this attempt. If it returns no failure, end must be called.
func (p *Proxy) begin(ctx context.Context, r *http.Request, t attemptOptions) (*attempt, *failure) {
	c := call.From(r)
	p.attempts.Inc()
	if c.Left() <= 0 {
		return nil, &failure{final: true, refusal: p.deadlinePassed(c)}
	}
	q := suspectFrom(ctx)
	if f := q.admit(ctx, c); f != nil {
		return nil, f
	}
	a := &attempt{id: ident.New(), call: c, proxy: p, suspect: q, routingReq: p.routingRequest(c, t.exclude)}
	if err := a.place(ctx, t.resumeFrom); err != nil {
		c.History.AddAttempt(history.Attempt{ResumedFrom: t.resumeFrom, Problem: err.Error()})
		return nil, placeFailure(err)
	}
	c.History.AddAttempt(a.historyEntry(t.resumeFrom))
	ctx, a.cancel = context.WithCancel(ctx)
	if c.Request.Repeatable() {
		a.watch = startWatch(a)
	}
	a.prefill(ctx)
	if !a.dispatch(t) {
		a.end()
		return nil, a.failure(request.RetryHedge, errAnswered)
	}
	if f := a.send(ctx, r, t.resumeFrom); f != nil {
		a.end()
		return nil, f
	}
	if f := a.checkAnswer(); f != nil {
		a.end()
		return nil, f
	}
	return a, nil
}

// errAnswered is the failure of a hedge that was not needed.
var errAnswered = errors.New("another attempt has answered the request")

// dispatch opens the attempt, unless another one has answered the request.
func (a *attempt) dispatch(t attemptOptions) bool {
	if t.hedge {
		return a.call.Request.DispatchHedge(a.id)
	}
	a.call.Request.Dispatch(a.id)
	if t.onDispatch != nil {
		t.onDispatch(a.decision.Instance)
	}
	return true
}

// place picks the instance, and waits until it has capacity.
func (a *attempt) place(ctx context.Context, resumeFrom int) (err error) {
	c := a.call
	a.decision, err = a.proxy.sched.Place(ctx, scheduler.Placement{
		Team:      c.Team,
		Endpoint:  c.Endpoint.Name,
		TimeLeft:  c.Left(),
		MaxTokens: c.MaxTokens,
		Generated: resumeFrom,
	}, a.routingReq)
	return err
}

// historyEntry returns the placement decision as an entry of the call's history.
func (a *attempt) historyEntry(resumeFrom int) history.Attempt {
	d := &a.decision
	return history.Attempt{
		Instance:             d.Instance,
		Prefill:              d.Prefill,
		Predicted:            d.FirstToken,
		Score:                d.Score,
		ExpectedCachedTokens: d.CachedTokens,
		ResumedFrom:          resumeFrom,
	}
}

// end releases the connection, which is closed unless the answer was read completely, and
// reports the end to the scheduler. It may be called more than once.
func (a *attempt) end() {
	a.ended.Do(func() {
		a.watch.stop()
		if a.resp != nil {
			a.resp.Body.Close()
		}
		a.cancel()
		a.proxy.sched.Finished(&a.decision, a.routingReq)
	})
}

// routingRequest describes the call to the scheduler.
func (p *Proxy) routingRequest(c *call.Call, exclude []string) *routing.Request {
	t := &routing.Request{
		ID:             c.Request.ID(),
		Kind:           c.Endpoint.Kind,
		Class:          c.Class,
		PromptTokens:   c.PromptTokens,
		ExpectedOutput: c.ExpectedOutput,
		Deadline:       c.Left(),
		Exclude:        exclude,
	}
	if c.Endpoint.Kind == engineapi.KindService {
		t.Endpoint = c.Endpoint.Name
		return t
	}
	t.Model, t.Adapter, t.Version = c.Endpoint.Model, c.Endpoint.Adapter, c.Endpoint.Version
	t.Prefixes = c.Prefixes
	return t
}

func (a *attempt) send(ctx context.Context, r *http.Request, resumeFrom int) *failure {
	out, err := a.outgoing(ctx, r, resumeFrom)
	if err != nil {
		refusal := request.Refuse(request.InvalidRequest, "the path cannot be sent on").WithCause(err)
		return &failure{final: true, refusal: refusal, err: err}
	}
	transport := a.proxy.pooled
	if !a.call.Request.Repeatable() {
		transport = a.proxy.singleUse
	}
	resp, err := transport.RoundTrip(out)
	if err != nil {
		return a.transportFailure(err)
	}
	a.resp = resp
	return nil
}

// transportFailure returns the failure for an error of the transport.
func (a *attempt) transportFailure(err error) *failure {
	if !a.connected() {
		return a.failure(request.RetryConnect, err)
	}
	a.suspect.lostWith(a, err)
	return a.failure(request.RetryBroken, err)
}

// outgoing builds the request to the instance. It sets no GetBody, so the transport cannot
// send the body twice.
func (a *attempt) outgoing(ctx context.Context, r *http.Request, resumeFrom int) (*http.Request, error) {
	c := a.call
	url := "http://" + a.decision.Address + c.Path
	if c.RawQuery != "" {
		url += "?" + c.RawQuery
	}
	var body io.Reader
	if len(c.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(c.Body))
	}
	out, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, a.trace()), r.Method, url, body)
	if err != nil {
		return nil, err
	}
	out.ContentLength = int64(len(c.Body))
	copyHeaders(out.Header, r.Header, reservedRequestHeaders)
	out.Header.Set(engineapi.HeaderRequestID, c.Request.ID())
	out.Header.Set(engineapi.HeaderAttemptID, a.id)
	out.Header.Set(engineapi.HeaderIdempotencyKey, c.Key)
	out.Header.Set(engineapi.HeaderPriority, strconv.Itoa(int(c.Class)))
	out.Header.Set(engineapi.HeaderDeadline, strconv.FormatInt(max(c.Left().Milliseconds(), 1), 10))
	if a.cache != "" {
		out.Header.Set(engineapi.HeaderKVHandle, a.cache)
	}
	if resumeFrom > 0 {
		out.Header.Set(engineapi.HeaderResumeFrom, strconv.Itoa(resumeFrom))
	}
	return out, nil
}

// trace records the time from which a byte may have been sent: the transport has a
// connection but has not written yet.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.call.Request.Sent(a.id)
		a.mu.Lock()
		a.conn = info.Conn
		a.mu.Unlock()
	}}
}

func (a *attempt) connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil
}

// closeConn closes the connection, so that it is not reused.
func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.Close()
	}
}

// checkAnswer returns a failure unless the answer belongs to this attempt and can be
// passed on.
func (a *attempt) checkAnswer() *failure {
	a.reportLoad()
	got := a.resp.Header.Get(engineapi.HeaderAttemptID)
	if got != a.id || !a.call.Request.Accepts(a.id) {
		a.call.Counters.Dropped(dropReason(got == a.id))
		a.closeConn()
		return a.failure(request.RetryCrossed, fmt.Errorf("answer of attempt %q came to attempt %q", got, a.id))
	}
	if a.resp.Header.Get(engineapi.HeaderRunDisposition) == string(request.NotRun) {
		return a.refused()
	}
	if a.call.Endpoint.Kind == engineapi.KindModel && a.resp.StatusCode >= http.StatusInternalServerError {
		return a.failure(request.RetryStatus, fmt.Errorf("status %d", a.resp.StatusCode))
	}
	return nil
}

// dropReason returns why an answer is dropped. If own, it carries the identifier of the
// attempt that received it, but that attempt or its request has ended; otherwise it belongs
// to another attempt, which may be open too.
func dropReason(own bool) request.DropReason {
	if own {
		return request.DropLate
	}
	return request.DropCrossed
}

func (a *attempt) failure(reason request.RetryReason, err error) *failure {
	httpanswer.Count(a.proxy.set, err)
	a.call.History.SetProblem(string(reason) + ": " + err.Error())
	return &failure{reason: reason, instance: a.decision.Instance, err: err}
}

// maxRefusalBytes limits how much of an instance's refusal is read.
const maxRefusalBytes = 16 << 10

// refused handles an answer that says that the instance did not run the attempt. An
// invalid request is final, as other instances would refuse it too.
func (a *attempt) refused() *failure {
	a.call.Request.ProvenNotRun(a.id)
	f := a.failure(request.RetryRefused, fmt.Errorf("refused with status %d", a.resp.StatusCode))
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.NewDecoder(io.LimitReader(a.resp.Body, maxRefusalBytes)).Decode(&body)
	switch status := a.resp.StatusCode; {
	case status == http.StatusServiceUnavailable && isDraining(body.Error.Code):
		a.proxy.sched.Draining(a.decision.Instance, a.decision.Incarnation)
	case status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge || status == http.StatusNotFound:
		f.final = true
		f.refusal = request.Refuse(request.InvalidRequest, "the instance refused it: %s: %s", body.Error.Code, body.Error.Message)
	}
	return f
}

// isDraining reports whether a refusal means that the instance accepts no new work.
func isDraining(code string) bool { return code == "leaving" || code == "draining" }

// reportLoad passes the load report in the answer's header to the scheduler.
func (a *attempt) reportLoad() {
	report := a.resp.Header.Get(engineapi.HeaderEngineLoad)
	if report == "" {
		return
	}
	var load engineapi.LoadReport
	if err := json.Unmarshal([]byte(report), &load); err == nil {
		a.proxy.sched.ObserveLoad(a.decision.Instance, a.decision.Incarnation, load)
	}
}

// placeFailure returns the failure of a call that could not be placed in time.
func placeFailure(err error) *failure {
	var refused *admission.RefusedError
	var canceled *scheduler.CanceledError
	var none *routing.NoCandidateError
	code := request.NoInstance
	switch {
	case errors.As(err, &refused):
		return admissionFailure(refused)
	case errors.As(err, &canceled):
		return &failure{err: err, refusal: request.Refuse(request.CallerGone, "%v", err).WithCause(err)}
	case errors.As(err, &none) && none.MainReason() == routing.ReasonDeadline:
		code = request.DeadlineUnreachable
	}
	return &failure{refusal: request.Refuse(code, "%v", err).WithCause(err), err: err}
}

// admissionFailure returns the failure of a call that admission refused. It is final: the
// call is answered at once, as another attempt would meet the same queue.
func admissionFailure(err *admission.RefusedError) *failure {
	code := request.QueueFull
	if err.Reason == admission.RefusedDeadline {
		code = request.DeadlineUnreachable
	}
	refusal := request.Refuse(code, "%v", err).WithCause(err)
	if err.RetryAfter > 0 {
		refusal = refusal.WithRetryAfter(err.RetryAfter)
	}
	return &failure{final: true, refusal: refusal, err: err}
}
