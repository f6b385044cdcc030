package forward

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/routes"
)

// streamer generates the events after Last-Event-Id, up to last.
func streamer(last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for id := from + 1; id <= last; id++ {
			writeEvent(w, id)
		}
	}
}

// breakingStreamer generates events up to after and a part of the next one, then closes the
// connection.
func breakingStreamer(after int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		streamer(after)(w, r)
		fmt.Fprintf(w, "id: %d\ndata: pie", after+1)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func engine(id string, stage instances.Stage, serve http.HandlerFunc) *instance {
	return &instance{id: id, stage: stage, serve: serve}
}

func events(body string) []string {
	var out []string
	for e := range strings.SplitSeq(body, "\n\n") {
		if id, ok := strings.CutPrefix(strings.SplitN(e, "\n", 2)[0], "id: "); ok {
			out = append(out, id)
		}
	}
	return out
}

func resumable(r *routes.Route) { r.Resumable = true }

func TestStreamsArriveWholeAndInOrder(t *testing.T) {
	tests := []struct {
		name   string
		change func(*routes.Route)
		first  http.HandlerFunc
		want   string // ids of the events
		broken bool   // the answer must not look complete
		runs   int
	}{
		{"whole", nil, streamer(4), "1 2 3 4", false, 1},
		{"resumed at another engine", resumable, breakingStreamer(2), "1 2 3 4", false, 2},
		{"not resumable", nil, breakingStreamer(2), "1 2", true, 1},
		{"broken before the first event", resumable, breakingStreamer(0), "1 2 3 4", false, 2},
		{"one attempt only", func(r *routes.Route) { r.Resumable, r.MaxAttempts = true, 1 }, breakingStreamer(2), "1 2", true, 1},
		{"no room, sent elsewhere", nil, status(503, true), "1 2 3 4", false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := engine("a", instances.Decode, tt.first)
			b := engine("b", instances.Decode, streamer(4))
			h := start(t, route(routes.Stream, tt.change), a, b)
			_, _, body, err := h.do(t, nil)
			if got := strings.Join(events(body), " "); got != tt.want {
				t.Errorf("events %q, want %q", got, tt.want)
			}
			if (err != nil) != tt.broken {
				t.Errorf("ended with %v, broken off should be %v", err, tt.broken)
			}
			if strings.Contains(body, "pie\n") || strings.HasSuffix(body, "pie") {
				t.Error("a partial event was passed on")
			}
			if n := a.runs() + b.runs(); n != tt.runs {
				t.Errorf("sent %d times, want %d", n, tt.runs)
			}
		})
	}
}

func TestEventsArriveAsTheyAreMade(t *testing.T) {
	second := make(chan struct{})
	a := engine("a", instances.Decode, func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, 1)
		<-second
		writeEvent(w, 2)
	})
	h := start(t, route(routes.Stream, nil), a)
	resp, err := http.DefaultClient.Do(h.request(t, nil))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	if line, err := reader.ReadString('\n'); err != nil || line != "id: 1\n" {
		t.Fatalf("got %q, %v before the second event was made", line, err)
	}
	close(second)
	if rest, err := io.ReadAll(reader); err != nil || !strings.Contains(string(rest), "id: 2") {
		t.Errorf("got %q, %v", rest, err)
	}
}

// prefiller answers prefills with a handle.
func prefiller(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		return
	}
	_ = json.NewEncoder(w).Encode(dialect.KVHandle{ID: "h1", Tokens: 8000})
}

func prompted(r *routes.Route) { r.PromptMetadata, r.Resumable = true, true }

func withPrefixBlocks(r *http.Request) { r.Header.Set("X-Parts", "shared,own") }

func TestDisaggregatedPrefill(t *testing.T) {
	p := engine("p", instances.Prefill, prefiller)
	d := engine("d", instances.Decode, streamer(3))
	h := start(t, route(routes.Stream, prompted), p, d)
	_, _, body, err := h.do(t, withPrefixBlocks)
	if err != nil || len(events(body)) != 3 {
		t.Fatalf("got %q, %v", body, err)
	}
	if got, want := d.last().Header.Get("X-Source"), p.server.Listener.Addr().String()+"/h1"; got != want {
		t.Errorf("the decode engine got the KV source %q, want %q", got, want)
	}
}

func TestFailedPrefillIsRepeatedByTheDecodeEngine(t *testing.T) {
	p := engine("p", instances.Prefill, hangUp)
	d := engine("d", instances.Decode, streamer(3))
	h := start(t, route(routes.Stream, prompted), p, d)
	if _, _, body, err := h.do(t, withPrefixBlocks); err != nil || len(events(body)) != 3 {
		t.Errorf("got %q, %v, want the stream of the decode engine, which runs the prefill itself", body, err)
	}
	if n := d.runs(); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

func TestRefusedHandleCountsAsNotRun(t *testing.T) {
	p := engine("p", instances.Prefill, prefiller)
	a := engine("a", instances.Decode, status(503, true))
	b := engine("b", instances.Decode, streamer(2))
	h := start(t, route(routes.Stream, func(r *routes.Route) { r.PromptMetadata = true }), p, a, b)
	if _, _, body, err := h.do(t, withPrefixBlocks); err != nil || len(events(body)) != 2 {
		t.Errorf("got %q, %v, want a run elsewhere: the first engine did not run it", body, err)
	}
}

// A second prefill is charged to the retry budget as one more arrival, and so is the decode
// that follows it. The first prefill and the first decode are not charged.
func TestRepeatedPrefillsAreChargedToTheBudget(t *testing.T) {
	p := engine("p", instances.Prefill, prefiller)
	a := engine("a", instances.Decode, status(503, true))
	b := engine("b", instances.Decode, status(503, true))
	c := engine("c", instances.Decode, streamer(2))
	h := start(t, route(routes.Stream, prompted), p, a, b, c)
	if _, _, body, err := h.do(t, withPrefixBlocks); err != nil || len(events(body)) != 2 {
		t.Fatalf("got %q, %v", body, err)
	}
	p.mu.Lock()
	prefills := 0
	for _, r := range p.requests {
		if r.Header.Get("X-Stage") != "" {
			prefills++
		}
	}
	p.mu.Unlock()
	beyondFirst := prefills - 1 + a.runs() + b.runs() + c.runs() - 1
	budget := h.server.budgets.Of("e")
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if charged := int(sum(budget.retries)); charged != beyondFirst {
		t.Errorf("charged %d arrivals to the budget, %d came beyond the first (%d prefills)", charged, beyondFirst, prefills)
	}
}

// An engine without room does not consume the KV cache handle: another engine gets it, and
// the prefill is not repeated.
func TestFullEngineDoesNotConsumeTheHandle(t *testing.T) {
	p := engine("p", instances.Prefill, prefiller)
	a := engine("a", instances.Decode, status(503, true))
	b := engine("b", instances.Decode, streamer(2))
	h := start(t, route(routes.Stream, prompted), p, a, b)
	for range 6 {
		if _, _, body, err := h.do(t, withPrefixBlocks); err != nil || len(events(body)) != 2 {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	p.mu.Lock()
	prefills := len(p.requests)
	p.mu.Unlock()
	if prefills != 6 {
		t.Errorf("%d prefills of 6 prompts", prefills)
	}
	if got, want := b.last().Header.Get("X-Source"), p.server.Listener.Addr().String()+"/h1"; got != want {
		t.Errorf("the second engine got the KV source %q, want %q", got, want)
	}
}

// When a caller disconnects, its request is cancelled at the engine in every state.
func TestCallerDisconnectEndsTheStream(t *testing.T) {
	tests := []struct {
		name string
		list func(hang http.HandlerFunc) []*instance
	}{
		{"during the prefill", func(hang http.HandlerFunc) []*instance {
			return []*instance{engine("p", instances.Prefill, hang), engine("d", instances.Decode, streamer(1))}
		}},
		{"before the first event", func(hang http.HandlerFunc) []*instance {
			return []*instance{engine("d", instances.Decode, hang)}
		}},
		{"between events", func(hang http.HandlerFunc) []*instance {
			return []*instance{engine("d", instances.Decode, func(w http.ResponseWriter, r *http.Request) {
				writeEvent(w, 1)
				hang(w, r)
			})}
		}},
		{"after it was resumed", func(hang http.HandlerFunc) []*instance {
			return []*instance{engine("a", instances.Decode, breakingStreamer(1)), engine("b", instances.Decode, hang)}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ended := make(chan bool, 4)
			hang := func(_ http.ResponseWriter, r *http.Request) { ended <- closed(r.Context(), 700*time.Millisecond) }
			h := start(t, route(routes.Stream, prompted), tt.list(hang)...)
			client := &http.Client{Timeout: 150 * time.Millisecond}
			resp, err := client.Do(h.request(t, withPrefixBlocks))
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			if err == nil {
				t.Fatal("the stream ended by itself")
			}
			if !<-ended {
				t.Error("the engine still works half a second after the caller disconnected")
			}
		})
	}
}

// A resumable stream moves to another engine when its engine stops sending without closing
// the connection.
func TestSilentEngineIsGivenUp(t *testing.T) {
	hang := func(w http.ResponseWriter, r *http.Request) {
		writeEvent(w, 1)
		closed(r.Context(), 5*time.Second)
	}
	a := engine("a", instances.Decode, hang)
	b := engine("b", instances.Decode, streamer(3))
	h := start(t, route(routes.Stream, resumable), a, b)
	_, _, body, err := h.do(t, nil)
	if got := strings.Join(events(body), " "); err != nil || got != "1 2 3" {
		t.Errorf("events %q, %v, want the rest from another engine", got, err)
	}
}

func TestSilentOnlyEngineIsWaitedFor(t *testing.T) {
	a := engine("a", instances.Decode, func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, 1)
		time.Sleep(minStallTimeout + 400*time.Millisecond)
		writeEvent(w, 2)
	})
	h := start(t, route(routes.Stream, resumable), a)
	_, _, body, err := h.do(t, nil)
	if got := strings.Join(events(body), " "); err != nil || got != "1 2" {
		t.Errorf("events %q, %v: the only engine was given up", got, err)
	}
}

func TestNonResumableStreamIsWaitedFor(t *testing.T) {
	a := engine("a", instances.Decode, func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, 1)
		time.Sleep(minStallTimeout + 300*time.Millisecond)
		writeEvent(w, 2)
	})
	h := start(t, route(routes.Stream, nil), a, engine("b", instances.Decode, streamer(2)))
	_, _, body, err := h.do(t, nil)
	if got := strings.Join(events(body), " "); err != nil || got != "1 2" {
		t.Errorf("events %q, %v: a non-resumable stream was given up for silence", got, err)
	}
}

func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	d := engine("d", instances.Decode, streamer(1))
	h := start(t, route(routes.Stream, prompted), d)
	begin := time.Now()
	code, header, _, err := h.do(t, func(r *http.Request) {
		r.Header.Set("X-Parts", strings.Repeat("p,", 40)+"own") // 164,000 tokens
		r.Header.Set("X-Deadline", "1s")
	})
	if err != nil || code != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("got %d, %v, want 503 with Retry-After", code, err)
	}
	if elapsed := time.Since(begin); elapsed > 300*time.Millisecond {
		t.Errorf("refused after %v, want at once", elapsed)
	}
	if n := d.runs(); n != 0 {
		t.Error("a refused request reached an engine")
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\n\n")
	f.Add("data: torn")
	f.Add("\r\n\r\n: comment\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := newEventReader(strings.NewReader(text), unlimited)
		var passed strings.Builder
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			passed.Write(e.raw)
		}
		if !strings.HasPrefix(text, passed.String()) {
			t.Errorf("passed on %q of %q: bytes were changed or lost", passed.String(), text)
		}
	})
}

func TestStreamThatComesLateInAStopIsRefusedRatherThanCut(t *testing.T) {
	t.Parallel()
	a := engine("a", instances.Decode, streamer(4))
	h := start(t, route(routes.Stream, nil), a)
	h.server.Stop(time.Now().Add(2 * time.Second)) // takes all requests for half of that
	if status, _, _, err := h.do(t, nil); status != http.StatusOK || err != nil {
		t.Errorf("right after the signal: status %d, %v", status, err)
	}
	time.Sleep(1050 * time.Millisecond)
	status, header, _, err := h.do(t, nil)
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || err != nil {
		t.Errorf("late in the stop: status %d, Retry-After %q, %v; want 503 with the time to return", status, header.Get("Retry-After"), err)
	}
	if a.runs() != 1 {
		t.Errorf("%d runs, want 1", a.runs())
	}
}
