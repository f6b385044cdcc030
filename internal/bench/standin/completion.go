package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
	"filberthook/internal/serve/prefix"
)

// stream is one attempt in progress at the engine.
type stream struct {
	attempt string
	chat    bool
	req     engineapi.CompletionRequest
	run     enginemodel.Request
	answer  enginemodel.Answer
	events  chan enginemodel.Event // room for all events of the attempt, so that sending never blocks

	key        string // idempotency key of the caller
	runCounted bool   // its run is counted; guarded by Engine.mu
}

// nonTokenEvents is the room in a stream for events other than tokens.
const nonTokenEvents = 8

// deliver queues an event for the answer. Pause and resume events are dropped, as a
// client sees only the delay.
func (s *stream) deliver(ev enginemodel.Event) {
	if ev.Kind == enginemodel.EventPaused || ev.Kind == enginemodel.EventResumed {
		return
	}
	select {
	case s.events <- ev:
	default:
	}
}

// attemptCounter numbers the attempts that arrive without an identifier.
var attemptCounter atomic.Uint64

// serveCompletion answers a chat or text completion.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.metrics.requests.Inc()
	attempt := r.Header.Get(engineapi.HeaderAttemptID)
	echo(w, r, attempt)
	var req engineapi.CompletionRequest
	if !e.readJSON(w, r, &req) {
		return
	}
	if attempt == "" {
		attempt = "local-" + strconv.FormatUint(attemptCounter.Add(1), 10)
		echo(w, r, attempt)
	}
	s, err := e.newStream(r, attempt, req)
	if err == nil {
		err = e.submit(s)
	}
	if err != nil {
		e.refuseError(w, err)
		return
	}
	defer e.release(s)
	ctx := r.Context()
	if left, set := deadline(r); set {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	e.answerStream(ctx, w, s)
}

// refusal is a refusal before any work.
type refusal struct {
	status        int
	code, message string
}

// Error implements error.
func (r *refusal) Error() string { return r.code + ": " + r.message }

func (e *Engine) refuseError(w http.ResponseWriter, err error) {
	var own *refusal
	if errors.As(err, &own) {
		e.refuse(w, own.status, own.code, own.message)
		return
	}
	var refused *enginemodel.RefusedError
	if errors.As(err, &refused) {
		e.refuse(w, refusalStatus(refused.Reason), string(refused.Reason), refused.Error())
		return
	}
	e.refuse(w, http.StatusBadRequest, codeBadRequest, err.Error())
}

// refusalStatus returns 503 when the same engine may accept the request later.
func refusalStatus(r enginemodel.RefusalReason) int {
	if r == enginemodel.RefusedDraining || r == enginemodel.RefusedChanging {
		return http.StatusServiceUnavailable
	}
	return http.StatusConflict
}

// newStream builds the stream of an attempt from its request.
func (e *Engine) newStream(r *http.Request, attempt string, req engineapi.CompletionRequest) (*stream, error) {
	prompt := enginemodel.Prompt(req)
	if prompt == "" || req.Model == "" {
		return nil, &refusal{http.StatusBadRequest, codeBadRequest, "prompt or model is missing: send both"}
	}
	model, adapter, _ := strings.Cut(req.Model, ":")
	s := &stream{
		attempt: attempt,
		chat:    r.URL.Path == engineapi.PathChatCompletions,
		req:     req,
		answer:  enginemodel.NewAnswer(req.Model, prompt, req.MaxTokens),
		key:     r.Header.Get(engineapi.HeaderIdempotencyKey),
	}
	s.run = enginemodel.Request{
		ID:           attempt,
		Model:        model,
		Adapter:      adapter,
		Prefixes:     prefix.PrefixHashes(model, adapter, prompt),
		PromptTokens: enginemodel.CountTokens(prompt),
		OutputTokens: s.answer.Len(),
		Priority:     headerInt(r, engineapi.HeaderPriority),
		PrefillOnly:  r.Header.Get(engineapi.HeaderPrefillOnly) == "1",
		ResumeFrom:   headerInt(r, engineapi.HeaderResumeFrom),
	}
	if s.run.ResumeFrom > s.run.OutputTokens {
		return nil, &refusal{http.StatusBadRequest, codeBadRequest, "resume point is past the end of the answer: it was whole"}
	}
	err := e.useImportedKV(r.Header.Get(engineapi.HeaderKVHandle), &s.run)
	s.events = make(chan enginemodel.Event, s.run.OutputTokens-s.run.ResumeFrom+nonTokenEvents)
	return s, err
}

// useImportedKV starts a request from an imported KV cache.
func (e *Engine) useImportedKV(id string, run *enginemodel.Request) error {
	if id == "" {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cache, known := e.caches.imported(id)
	if !known || cache.Model != run.Model {
		return &refusal{http.StatusConflict, codeUnknownKV, "KV cache is not here: import it first, or send the request without it"}
	}
	run.ImportedTokens = cache.Tokens
	return nil
}

func headerInt(r *http.Request, name string) int {
	n, err := strconv.Atoi(r.Header.Get(name))
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// submit gives the attempt to the engine model.
func (e *Engine) submit(s *stream) error {
	if !e.gate.admit() {
		return &refusal{http.StatusServiceUnavailable, codeLeaving, "engine is leaving: send it to another engine"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.MaxQueue > 0 && e.model.Waiting() >= e.cfg.MaxQueue {
		return &refusal{http.StatusServiceUnavailable, codeQueueFull, "queue is full: send it to another engine"}
	}
	if err := e.model.Submit(e.now(), s.run); err != nil {
		return err
	}
	e.streams[s.attempt] = s
	e.wakeUp()
	return nil
}

// release removes an attempt and cancels its remaining work.
func (e *Engine) release(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.attempt] != s {
		return
	}
	e.model.Cancel(e.now(), s.attempt)
	delete(e.streams, s.attempt)
}

// answerStream writes the events of an attempt until it ends.
func (e *Engine) answerStream(ctx context.Context, w http.ResponseWriter, s *stream) {
	out := e.newWriter(w, s)
	crashed := e.faults.crashSignal()
	for {
		select {
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
			out.expire(ctx.Err())
			return
		case ev := <-s.events:
			if !e.faults.waitOrAbort(ctx) {
				return
			}
			if out.handle(ctx, ev) {
				return
			}
		}
	}
}

// loadHeader returns the engine's load report as compact JSON.
func (e *Engine) loadHeader() string {
	e.mu.Lock()
	load := e.model.Load(e.now())
	e.mu.Unlock()
	b, err := json.Marshal(load)
	if err != nil {
		return ""
	}
	return string(b)
}
