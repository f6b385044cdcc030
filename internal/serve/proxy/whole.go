package proxy

import (
	"encoding/json"
	"errors"
	"net/http"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/network/httpanswer"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/request"
)

// answer is an instance's complete answer.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	reserved int64 // bytes charged to Proxy.memory
}

// serveWhole fetches an answer and writes it. The answer is buffered until it is complete,
// so that a broken one can be requested again.
func (p *Proxy) serveWhole(w http.ResponseWriter, r *http.Request, c *call.Call) {
	got, refusal := p.fetchWhole(r, c)
	if refusal != nil {
		c.Refuse(w, refusal)
		return
	}
	defer p.memory.Return(got.reserved)
	copyHeaders(w.Header(), got.header, reservedAnswerHeaders)
	p.recordLength(c, got)
	w.WriteHeader(got.status)
	if _, err := w.Write(got.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		c.End(p.undelivered(c, err))
		return
	}
	p.latency.observeAnswer(c)
	c.Answered()
}

// recordLength records the number of output tokens of a model's answer.
func (p *Proxy) recordLength(c *call.Call, got *answer) {
	if c.Endpoint.Kind != engineapi.KindModel || got.status != http.StatusOK {
		return
	}
	var completion engineapi.Completion
	if err := json.Unmarshal(got.body, &completion); err != nil || completion.Usage == nil {
		c.OutputTokens.Add(int64(c.ExpectedOutput))
		return
	}
	tokens := completion.Usage.CompletionTokens
	c.OutputTokens.Add(int64(tokens))
	p.sched.AnswerLength(c.Team, c.Endpoint.Name, tokens)
}

// fetchWhole makes attempts until one gives a complete answer.
func (p *Proxy) fetchWhole(r *http.Request, c *call.Call) (*answer, *request.Refusal) {
	var exclude []string
	for attempts := 1; ; attempts++ {
		got, f := p.hedged(r, c, exclude)
		if f == nil {
			return got, nil
		}
		if refusal := p.retryOrRefuse(r.Context(), c, f, attempts); refusal != nil {
			return nil, refusal
		}
		exclude = excluded(exclude, f)
	}
}

// excluded returns the instances that the next attempt avoids.
func excluded(exclude []string, f *failure) []string {
	if f.instance == "" {
		return exclude
	}
	return append(exclude, f.instance)
}

func (p *Proxy) wholeAttempt(r *http.Request, t attemptOptions) (*answer, *failure) {
	a, f := p.begin(r.Context(), r, t)
	if f != nil {
		return nil, f
	}
	defer a.end()
	return a.readWhole()
}

// errAnswerMemory is the failure when buffered answers use up Settings.MaxHeldBytes.
var errAnswerMemory = errors.New("buffered answers have reached the memory limit")

// readWhole reads the body within the limits of answer size and memory.
func (a *attempt) readWhole() (*answer, *failure) {
	p, reserved := a.proxy, int64(0)
	body, err := httpanswer.ReadBody(a.resp.Body, a.resp.ContentLength, p.settings.MaxAnswerBytes, func(n int64) error {
		if !p.takeMemory(n, a.call.Request.Repeatable()) {
			return errAnswerMemory
		}
		reserved += n
		return nil
	})
	if err == nil && a.call.Request.Accepts(a.id) {
		if a.resp.StatusCode < http.StatusInternalServerError {
			a.suspect.begun()
		}
		return &answer{status: a.resp.StatusCode, header: a.resp.Header, body: body, reserved: reserved}, nil
	}
	p.memory.Return(reserved)
	var large *httpanswer.TooLargeError
	switch {
	case err == nil, errors.As(err, &large):
		return nil, a.tooLarge()
	case errors.Is(err, errAnswerMemory) && a.call.Request.Repeatable():
		refusal := request.Refuse(request.AnswerMemoryFull, "the answer has no room at this host")
		return nil, &failure{final: true, refusal: refusal, instance: a.decision.Instance, err: err}
	case !errors.Is(err, errAnswerMemory):
		a.suspect.lostWith(a, err)
	}
	return nil, a.failure(request.RetryBroken, err)
}

// nonRepeatableShare is the part of Settings.MaxHeldBytes that is left to answers of non-repeatable calls,
// which cannot be requested again.
const nonRepeatableShare = 8

// takeMemory reserves n bytes for an answer and reports whether they fit.
func (p *Proxy) takeMemory(n int64, repeatable bool) bool {
	limit := p.settings.MaxHeldBytes
	if repeatable && p.memory.Used()+n > limit-limit/nonRepeatableShare {
		return false
	}
	return p.memory.Take(n)
}

func (a *attempt) tooLarge() *failure {
	refusal := request.Refuse(request.AnswerTooLarge, "the answer has more than %d bytes", a.proxy.settings.MaxAnswerBytes)
	return &failure{final: true, refusal: refusal, instance: a.decision.Instance}
}
