package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
)

// Values of the object field of answers.
const (
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	objectText      = "text_completion"
)

// tokenPlaceholder marks the place of the token in a chunk template.
const tokenPlaceholder = "@token@"

const finishStop = "stop"

// answerWriter turns the events of one attempt into its HTTP answer.
type answerWriter struct {
	engine    *Engine
	w         http.ResponseWriter
	s         *stream
	answer    enginemodel.Answer
	attemptID string // attempt identifier sent with the answer

	headersSent bool
	head        []byte
	tail        []byte
	text        strings.Builder
	tokenCount  int // tokens handled
	cut         bool
	cutAfter    int
}

func (e *Engine) newWriter(w http.ResponseWriter, s *stream) *answerWriter {
	a := &answerWriter{engine: e, w: w, s: s, answer: s.answer, attemptID: s.attempt}
	if e.faults.takeCross() {
		a.answer, a.attemptID = e.otherAnswer(s)
		a.w.Header().Set(engineapi.HeaderAttemptID, a.attemptID)
	}
	if s.req.Stream {
		a.cutAfter, a.cut = e.faults.takeCut()
		a.head, a.tail = a.chunkTemplate()
	}
	return a
}

// otherAnswer returns the answer and identifier of an attempt with a different answer.
func (e *Engine) otherAnswer(s *stream) (enginemodel.Answer, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, o := range e.streams {
		if o.answer != s.answer {
			return o.answer, id
		}
	}
	return enginemodel.NewAnswer(s.req.Model, "crossed "+s.attempt, s.req.MaxTokens), "crossed-" + s.attempt
}

// handle writes one event and reports whether the answer is complete.
func (a *answerWriter) handle(ctx context.Context, ev enginemodel.Event) (done bool) {
	switch ev.Kind {
	case enginemodel.EventPrefillDone:
		a.engine.faults.delayAnswer(ctx)
		a.begin(ev)
	case enginemodel.EventToken:
		a.token(ev.Token)
	case enginemodel.EventFinished:
		a.finish()
		return true
	case enginemodel.EventNotRun:
		a.engine.refuse(a.w, http.StatusServiceUnavailable, string(enginemodel.RefusedChanging), "engine changed before the request ran: send it to another engine")
		return true
	case enginemodel.EventAborted:
		a.abort(codeAborted, "the request was cut while it ran: resume it on another engine")
		return true
	}
	return false
}

// begin sets the headers of the answer. A stream sends them at once.
func (a *answerWriter) begin(ev enginemodel.Event) {
	if a.headersSent {
		return
	}
	h := a.w.Header()
	h.Set(engineapi.HeaderEngineLoad, a.engine.loadHeader())
	h.Set(engineapi.HeaderTokensPrompt, strconv.Itoa(a.s.run.PromptTokens))
	h.Set(engineapi.HeaderTokensCached, strconv.Itoa(ev.CachedTokens))
	if !a.s.req.Stream || a.s.run.PrefillOnly {
		return
	}
	a.headersSent = true
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
}

func (a *answerWriter) token(i int) {
	a.engine.metrics.tokens.Inc()
	a.tokenCount++
	if !a.s.req.Stream {
		a.text.WriteString(a.answer.Token(i))
		return
	}
	buf := make([]byte, 0, len(a.head)+len(a.tail)+16)
	buf = append(buf, a.head...)
	buf = append(buf, a.answer.Token(i)...)
	buf = append(buf, a.tail...)
	_, _ = a.w.Write(buf)
	if len(a.s.events) == 0 || a.cut {
		a.flush()
	}
	if a.cut && a.tokenCount >= a.cutAfter {
		panic(http.ErrAbortHandler)
	}
}

func (a *answerWriter) finish() {
	switch {
	case a.s.run.PrefillOnly:
		writeJSON(a.w, http.StatusOK, a.engine.exportPrompt(a.s))
	case a.s.req.Stream:
		_, _ = a.w.Write(a.lastChunk())
		a.flush()
	default:
		writeJSON(a.w, http.StatusOK, a.wholeAnswer())
	}
}

// abort ends an answer whose attempt was cut while it ran.
func (a *answerWriter) abort(code, message string) {
	if a.headersSent {
		panic(http.ErrAbortHandler)
	}
	a.engine.metrics.refusals.inc(code)
	writeJSON(a.w, http.StatusServiceUnavailable, ErrorBody{Error: ErrorDetail{Code: code, Message: message}})
}

// expire ends an answer whose deadline passed or whose caller disconnected.
func (a *answerWriter) expire(err error) {
	if a.headersSent || !errors.Is(err, context.DeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	a.engine.metrics.refusals.inc(codeDeadline)
	writeJSON(a.w, http.StatusGatewayTimeout, ErrorBody{Error: ErrorDetail{Code: codeDeadline, Message: "deadline passed: allow more time"}})
}

func (a *answerWriter) flush() {
	_ = http.NewResponseController(a.w).Flush()
}

// completion returns an answer or chunk without its choices.
func (a *answerWriter) completion(object string) engineapi.Completion {
	return engineapi.Completion{
		ID:      "cmpl-" + a.attemptID,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   a.s.req.Model,
	}
}

func (a *answerWriter) chunk(text string) engineapi.Completion {
	if !a.s.chat {
		c := a.completion(objectText)
		c.Choices = []engineapi.Choice{{Text: text}}
		return c
	}
	c := a.completion(objectChatChunk)
	c.Choices = []engineapi.Choice{{Delta: &engineapi.Message{Role: "assistant", Content: text}}}
	return c
}

// chunkTemplate returns the bytes of a chunk before and after its token.
func (a *answerWriter) chunkTemplate() (head, tail []byte) {
	b, err := json.Marshal(a.chunk(tokenPlaceholder))
	if err != nil {
		return nil, nil
	}
	head, tail, _ = bytes.Cut(b, []byte(tokenPlaceholder))
	return append([]byte("data: "), head...), append(bytes.Clone(tail), "\n\n"...)
}

func (a *answerWriter) usage() *engineapi.Usage {
	out := a.answer.Len()
	return &engineapi.Usage{
		PromptTokens:     a.s.run.PromptTokens,
		CompletionTokens: out,
		TotalTokens:      a.s.run.PromptTokens + out,
	}
}

// lastChunk returns the chunk with the finish reason and the end of the stream.
func (a *answerWriter) lastChunk() []byte {
	c := a.chunk("")
	reason := finishStop
	c.Choices[0].FinishReason = &reason
	c.Usage = a.usage()
	b, err := json.Marshal(c)
	if err != nil {
		return nil
	}
	return append(append([]byte("data: "), b...), "\n\ndata: [DONE]\n\n"...)
}

func (a *answerWriter) wholeAnswer() engineapi.Completion {
	reason := finishStop
	c := a.completion(objectText)
	choice := engineapi.Choice{FinishReason: &reason, Text: a.text.String()}
	if a.s.chat {
		c.Object = objectChat
		choice.Text = ""
		choice.Message = &engineapi.Message{Role: "assistant", Content: a.text.String()}
	}
	c.Choices = []engineapi.Choice{choice}
	c.Usage = a.usage()
	return c
}
