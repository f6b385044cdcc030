package proxy_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/proxy"
	"filberthook/internal/serve/request"
)

const tokens = 40

// atTokens returns a fault that calls act once before each of the given tokens, in order.
func atTokens(act http.HandlerFunc, places ...int) func(http.ResponseWriter, *http.Request, int) {
	var mu sync.Mutex
	due := func(token int) bool {
		mu.Lock()
		defer mu.Unlock()
		if len(places) == 0 || places[0] != token {
			return false
		}
		places = places[1:]
		return true
	}
	return func(w http.ResponseWriter, r *http.Request, token int) {
		if due(token) {
			act(w, r)
		}
	}
}

func always(act http.HandlerFunc) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, r *http.Request, _ int) { act(w, r) }
}

// crossAnswer sets the identifier of another attempt in the answer.
func crossAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(engineapi.HeaderAttemptID, "another")
}

// stall writes nothing until the connection is closed.
func stall(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// failed answers with status 500.
func failed(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

// notRun refuses the request as not run and aborts the connection.
func notRun(w http.ResponseWriter, r *http.Request) {
	refuseNotRun(w, r)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// TestStreamsArriveWhole breaks streams in every way that another attempt can recover
// from. The caller must get each token exactly once.
func TestStreamsArriveWhole(t *testing.T) {
	tests := []struct {
		name    string
		first   func(http.ResponseWriter, *http.Request, int) // faults of the first engine
		counter string                                        // that must not be zero; empty for none
	}{
		{"no fault", nil, ""},
		{"broken before the first token", atTokens(drop, 1), `filberthook_retries_total{reason="answer_broken"}`},
		{"broken in the middle", atTokens(drop, 17), `filberthook_retries_total{reason="stream_resumed"}`},
		{"broken again and again", atTokens(drop, 3, 9, 9, 30), `filberthook_retries_total{reason="stream_resumed"}`},
		{"broken before the last chunk", atTokens(drop, endOfTokens), `filberthook_retries_total{reason="stream_resumed"}`},
		{"broken before the end mark", atTokens(drop, endOfStream), ""},
		{"stalled in the middle", atTokens(stall, 12), `filberthook_retries_total{reason="stream_resumed"}`},
		{"answer of another attempt", atTokens(crossAnswer, 1), `filberthook_answers_dropped_total{reason="other_attempt"}`},
		{"fault of the engine", atTokens(failed, 1), `filberthook_retries_total{reason="instance_error"}`},
		{"refused once", atTokens(notRun, 1), `filberthook_retries_total{reason="instance_refused"}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			instances := []string{newEngine(t, engine{tokens: tokens, fault: tt.first}), newEngine(t, engine{tokens: tokens})}
			e := newEntry(t, newMemoryLog(), instances, func(o *options) {
				o.proxy.StreamIdle = tomltime.Of(50 * time.Millisecond)
				o.proxy.WatchInterval = tomltime.Of(10 * time.Millisecond)
			})
			got, resp := e.stream()
			if got.text != expected(0, tokens) || got.finished != 1 || got.done != 1 || got.lastID != "40" {
				t.Errorf("status %d, got %+v, want %d tokens and one end", resp.StatusCode, got, tokens)
			}
			if tt.counter != "" && e.metric(tt.counter) == 0 {
				t.Errorf("%s is zero", tt.counter)
			}
			if e.sched.underWay != 0 {
				t.Errorf("%d attempts are still reported as under way", e.sched.underWay)
			}
		})
	}
}

// TestStreamOverOneEngineThatKeepsBreaking resumes on the same engine.
func TestStreamOverOneEngineThatKeepsBreaking(t *testing.T) {
	e := newEntry(t, newMemoryLog(), []string{newEngine(t, engine{tokens: tokens, fault: atTokens(drop, 5, 10, 20)})})
	if got, _ := e.stream(); got.text != expected(0, tokens) || got.done != 1 {
		t.Errorf("got %+v", got)
	}
}

func TestReconnectThroughAnotherHostContinues(t *testing.T) {
	instances := []string{newEngine(t, engine{tokens: tokens})}
	a, b := newEntry(t, newMemoryLog(), instances), newEntry(t, newMemoryLog(), instances)
	ctx, leave := context.WithCancel(t.Context())
	resp, err := a.send(ctx, http.MethodPost, engineapi.PathCompletions, streamBody, engineapi.HeaderIdempotencyKey, "k")
	if err != nil {
		t.Fatal(err)
	}
	first := read(t, resp.Body, 15)
	leave()
	resp.Body.Close()
	rest, _ := b.stream(engineapi.HeaderIdempotencyKey, "k", "Last-Event-ID", first.lastID)
	if got := first.text + rest.text; got != expected(0, tokens) || rest.done != 1 {
		t.Errorf("got %q and %+v", first.text, rest)
	}
}

// TestStreamResumesAtAnotherHostAfterAStop cancels a stream with ErrStopped. The caller
// resumes it through another host.
func TestStreamResumesAtAnotherHostAfterAStop(t *testing.T) {
	instances := []string{newEngine(t, engine{tokens: tokens, fault: atTokens(stall, 10)})}
	base, stop := context.WithCancelCause(t.Context())
	a := newEntry(t, newMemoryLog(), instances, func(o *options) { o.base = base })
	b := newEntry(t, newMemoryLog(), instances)
	resp, err := a.send(t.Context(), http.MethodPost, engineapi.PathCompletions, streamBody, engineapi.HeaderIdempotencyKey, "k")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	first := read(t, resp.Body, 9)
	stop(proxy.ErrStopped)
	if end := read(t, resp.Body, 0); end.failure != request.StreamBroken || end.text != "" {
		t.Errorf("the stream ended with %+v, want the reason", end)
	}
	rest, _ := b.stream(engineapi.HeaderIdempotencyKey, "k", "Last-Event-ID", first.lastID)
	if first.text+rest.text != expected(0, tokens) || rest.done != 1 {
		t.Errorf("the rest is %+v", rest)
	}
	unsent := a.do(http.MethodPost, engineapi.PathCompletions, streamBody)
	unsent.want(t, request.Stopping)
}

func TestStreamThatCannotBeResumedEndsWithAnError(t *testing.T) {
	var broken atomic.Int64
	e := newEntry(t, newMemoryLog(), []string{newEngine(t, engine{tokens: tokens, fault: func(w http.ResponseWriter, r *http.Request, token int) {
		if token == 10 {
			broken.Add(1)
			drop(w, r)
		}
	}})})
	got, _ := e.stream()
	if got.failure != request.StreamBroken || got.done != 0 || got.text != expected(0, 9) {
		t.Errorf("got %+v, want 9 tokens and the reason", got)
	}
	if limit := proxy.DefaultSettings().Retry.MaxResumes + 1; broken.Load() > int64(limit) {
		t.Errorf("%d attempts, want at most %d", broken.Load(), limit)
	}
}

func TestRequestsThatCannotBeAnswered(t *testing.T) {
	badRequest := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.HeaderRunDisposition, string(request.NotRun))
		w.WriteHeader(http.StatusBadRequest)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	tests := []struct {
		name string
		act  http.HandlerFunc // nil for no instance
		want request.Code
	}{
		{"no instance", nil, request.NoInstance},
		{"all fail", failed, request.InstanceFailed},
		{"all break", drop, request.InstanceFailed},
		{"all refuse", notRun, request.InstanceRefused},
		{"request is at fault", badRequest, request.InvalidRequest},
		{"answer too late", stall, request.DeadlineCutRun},
	}
	for _, tt := range tests {
		for _, stream := range []string{"true", "false"} {
			t.Run(tt.name+" stream "+stream, func(t *testing.T) {
				var instances []string
				if tt.act != nil {
					instances = []string{newEngine(t, engine{tokens: tokens, fault: always(tt.act)})}
				}
				e := newEntry(t, newMemoryLog(), instances)
				body := `{"model":"chat","prompt":"hello","stream":` + stream + `}`
				e.do(http.MethodPost, engineapi.PathCompletions, body, engineapi.HeaderDeadline, "300").want(t, tt.want)
			})
		}
	}
}

// TestInstanceThatLostItsLeaseIsGivenUp has an instance hang before its first byte. Repeatable
// requests are sent elsewhere; a non-repeatable one waits for the instance.
func TestInstanceThatLostItsLeaseIsGivenUp(t *testing.T) {
	quick := func(o *options) {
		o.proxy.GoneIdle = tomltime.Of(20 * time.Millisecond)
		o.proxy.WatchInterval = tomltime.Of(10 * time.Millisecond)
	}
	instances := []string{newEngine(t, engine{tokens: tokens, fault: atTokens(stall, 1, 1)}), newEngine(t, engine{tokens: tokens})}
	e := newEntry(t, newMemoryLog(), instances, quick)
	e.sched.gone = instances[:1]
	if got, _ := e.stream(); got.text != expected(0, tokens) {
		t.Errorf("got %+v", got)
	}
	whole := e.do(http.MethodPost, engineapi.PathCompletions, `{"model":"chat","prompt":"hello"}`)
	if whole.status != http.StatusOK {
		t.Errorf("got %+v", whole)
	}

	hold := make(chan struct{})
	s := newService(t, func(w http.ResponseWriter, r *http.Request) {
		<-hold
		confirm(w, r)
	})
	e = newEntry(t, newMemoryLog(), []string{s.address()}, quick)
	e.sched.gone = []string{s.address()}
	e.book("k", "chair 7", engineapi.HeaderDeadline, "300").want(t, request.InProgress)
	close(hold)
	awaitOutcomes(t, e)
	check(t, e.book("k", "chair 7"), "")
	if got := s.ran("k"); got != 1 {
		t.Errorf("%d runs, want 1", got)
	}
}

func TestLeavingInstanceIsReported(t *testing.T) {
	instances := []string{newEngine(t, engine{tokens: 1, fault: atTokens(notRun, 1)}), newEngine(t, engine{tokens: 1})}
	e := newEntry(t, newMemoryLog(), instances)
	e.stream()
	if len(e.sched.draining) != 1 || e.sched.draining[0] != instances[0] {
		t.Errorf("reported as draining: %v, want %s", e.sched.draining, instances[0])
	}
}

// TestRetryStorm checks the number of attempts while every instance fails.
func TestRetryStorm(t *testing.T) {
	const requests = 600
	e := newEntry(t, newMemoryLog(), []string{newEngine(t, engine{fault: always(failed)}), newEngine(t, engine{fault: always(failed)})})
	for range requests {
		e.do(http.MethodPost, engineapi.PathCompletions, `{"model":"chat","prompt":"hello"}`)
	}
	attempts := e.metric("filberthook_attempts_total")
	if ratio := float64(attempts) / requests; ratio > 1.1 {
		t.Errorf("%.3f attempts per request, want at most 1.1", ratio)
	}
}
