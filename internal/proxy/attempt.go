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

	"filberthook/internal/call"
	"filberthook/internal/engineapi"
	"filberthook/internal/ident"
	"filberthook/internal/request"
	"filberthook/internal/routing"
)

// failure tells why an attempt gave no answer.
type failure struct {
	reason   request.RetryReason
	instance string // empty when none was picked
	refusal  *request.Refusal
	final    bool // no other attempt can help
	err      error
}

// attempt is one dispatch of a call to an instance.
type attempt struct {
	id       string
	decision routing.Decision
	target   *routing.Request
	call     *call.Call
	proxy    *Proxy
	resp     *http.Response
	cancel   context.CancelFunc
	ended    sync.Once

	mu   sync.Mutex
	conn net.Conn // guarded by mu; nil until a connection is there
}

// begin picks an instance, sends the call and returns once the head of the
// answer has arrived and belongs to this attempt. The caller must call end.
func (p *Proxy) begin(ctx context.Context, r *http.Request, exclude []string, resumeFrom int) (*attempt, *failure) {
	c := call.From(r)
	if c.Left() <= 0 {
		return nil, &failure{final: true, refusal: p.deadlinePassed(c)}
	}
	a := &attempt{id: ident.New(), call: c, proxy: p, target: p.target(c, exclude)}
	if err := a.pick(); err != nil {
		return nil, pickFailure(err)
	}
	ctx, a.cancel = context.WithCancel(ctx)
	c.Request.Dispatch(a.id)
	p.sched.Started(&a.decision, a.target)
	if f := a.send(ctx, r, resumeFrom); f != nil {
		a.end()
		return nil, f
	}
	if f := a.check(); f != nil {
		a.end()
		return nil, f
	}
	return a, nil
}

// pick chooses the instance. When only instances are left that have failed the
// call, they are tried again.
func (a *attempt) pick() (err error) {
	a.decision, err = a.proxy.sched.Pick(a.target)
	if err != nil && len(a.target.Exclude) > 0 {
		a.target.Exclude = nil
		a.decision, err = a.proxy.sched.Pick(a.target)
	}
	return err
}

// end closes the attempt's connection, unless its answer was read whole, and
// reports its end. It may be called more than once.
func (a *attempt) end() {
	a.ended.Do(func() {
		if a.resp != nil {
			a.resp.Body.Close()
		}
		a.cancel()
		a.proxy.sched.Finished(&a.decision, a.target)
	})
}

// target describes the call to the scheduler.
func (p *Proxy) target(c *call.Call, exclude []string) *routing.Request {
	t := &routing.Request{
		ID:             c.Request.ID(),
		Kind:           c.Endpoint.Kind,
		Class:          routing.Class(c.Class),
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
		refusal := request.Refuse(request.InvalidRequest, "the path cannot be sent on").Because(err)
		return &failure{final: true, refusal: refusal, err: err}
	}
	transport := a.proxy.kept
	if !a.call.Request.Repeatable() {
		transport = a.proxy.once
	}
	resp, err := transport.RoundTrip(out)
	if err != nil {
		return a.failed(err)
	}
	a.resp = resp
	return nil
}

// failed describes an attempt without an answer.
func (a *attempt) failed(err error) *failure {
	reason := request.RetryBroken
	if !a.connected() {
		reason = request.RetryConnect
	}
	return &failure{reason: reason, instance: a.decision.Instance, err: err}
}

// outgoing builds the request to the instance. Its body cannot be sent twice
// by the transport.
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
	copyHeaders(out.Header, r.Header, ownRequestHeaders)
	out.Header.Set(engineapi.HeaderRequestID, c.Request.ID())
	out.Header.Set(engineapi.HeaderAttemptID, a.id)
	out.Header.Set(engineapi.HeaderIdempotencyKey, c.Key)
	out.Header.Set(engineapi.HeaderPriority, strconv.Itoa(int(c.Class)))
	out.Header.Set(engineapi.HeaderDeadline, strconv.FormatInt(max(c.Left().Milliseconds(), 1), 10))
	if resumeFrom > 0 {
		out.Header.Set(engineapi.HeaderResumeFrom, strconv.Itoa(resumeFrom))
	}
	return out, nil
}

// trace notes the moment from which a byte may have left: when the transport
// gets a connection, before it writes.
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

// closeConn closes the connection, so that it is not used again.
func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.Close()
	}
}

// check tells whether the answer belongs to this attempt and is one to pass on.
func (a *attempt) check() *failure {
	a.observe()
	got := a.resp.Header.Get(engineapi.HeaderAttemptID)
	if !a.call.Request.Accepts(got) {
		a.call.Counters.Dropped(request.DropCrossed)
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

func (a *attempt) failure(reason request.RetryReason, err error) *failure {
	return &failure{reason: reason, instance: a.decision.Instance, err: err}
}

// maxRefusalBytes bounds what is read of an instance's refusal.
const maxRefusalBytes = 16 << 10

// refused handles an instance's word that it did not run the attempt. A fault
// of the request itself is final; other instances would find it too.
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
	case status == http.StatusServiceUnavailable && isLeaving(body.Error.Code):
		a.proxy.sched.Draining(a.decision.Instance, a.decision.Incarnation)
	case status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge || status == http.StatusNotFound:
		f.final = true
		f.refusal = request.Refuse(request.InvalidRequest, "the instance refused it: %s: %s", body.Error.Code, body.Error.Message)
	}
	return f
}

// isLeaving reports whether an instance refuses because it takes no new work.
func isLeaving(code string) bool { return code == "leaving" || code == "draining" }

// observe passes the load report on the answer to the scheduler.
func (a *attempt) observe() {
	report := a.resp.Header.Get(engineapi.HeaderEngineLoad)
	if report == "" {
		return
	}
	var load engineapi.LoadReport
	if err := json.Unmarshal([]byte(report), &load); err == nil {
		a.proxy.sched.ObserveLoad(a.decision.Instance, a.decision.Incarnation, load)
	}
}

// pickFailure describes a call for which no instance can be picked.
func pickFailure(err error) *failure {
	refusal := request.Refuse(request.NoInstance, "%v", err).Because(err)
	var none *routing.NoCandidateError
	if errors.As(err, &none) && none.Main() == routing.ReasonDeadline {
		refusal = request.Refuse(request.DeadlineUnreachable, "%v", err).Because(err)
	}
	return &failure{refusal: refusal, err: err}
}
