package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/request"
)

// hedge is an attempt and, if that is slow, a second concurrent one.
type hedge struct {
	proxy   *Proxy
	r       *http.Request
	results chan hedgeResult // buffered for both attempts, so that neither blocks
	started int              // number of attempts
	ended   int

	mu       sync.Mutex
	instance string // of the first attempt, empty until it is dispatched; guarded by mu
}

type hedgeResult struct {
	answer  *answer
	failure *failure
}

// hedged makes an attempt. A repeatable call of a plain service that is slow gets a second
// attempt at another instance, within the retry budget. The first complete answer is used.
func (p *Proxy) hedged(r *http.Request, c *call.Call, exclude []string) (*answer, *failure) {
	after := p.policy(c).HedgeAfter()
	if after <= 0 || !c.Request.Repeatable() || c.Endpoint.Kind != engineapi.KindService {
		return p.wholeAttempt(r, attemptOptions{exclude: exclude})
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	h := &hedge{proxy: p, r: r.WithContext(ctx), results: make(chan hedgeResult, 2)}
	h.start(attemptOptions{exclude: exclude, onDispatch: h.setInstance})
	timer := time.NewTimer(after)
	defer timer.Stop()
	for {
		select {
		case res := <-h.results:
			h.ended++
			if res.failure == nil || h.ended == h.started {
				h.releaseLateAnswer()
				return res.answer, res.failure
			}
		case <-timer.C:
			h.startHedge(c, exclude, after)
		}
	}
}

func (h *hedge) start(t attemptOptions) {
	h.started++
	go func() {
		got, f := h.proxy.wholeAttempt(h.r, t)
		h.results <- hedgeResult{got, f}
	}()
}

// setInstance records the instance of the first attempt.
func (h *hedge) setInstance(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.instance = instance
}

// startHedge starts the second attempt, unless the first is still waiting for placement.
func (h *hedge) startHedge(c *call.Call, exclude []string, waited time.Duration) {
	h.mu.Lock()
	first := h.instance
	h.mu.Unlock()
	if first == "" || !h.proxy.policy(c).Hedge(waited) {
		return
	}
	c.Counters.Retried(request.RetryHedge)
	h.start(attemptOptions{exclude: append([]string{first}, exclude...), hedge: true})
}

// releaseLateAnswer returns the memory of an answer that arrives too late.
func (h *hedge) releaseLateAnswer() {
	if h.ended == h.started {
		return
	}
	go func() {
		if late := <-h.results; late.answer != nil {
			h.proxy.memory.Return(late.answer.reserved)
		}
	}()
}
