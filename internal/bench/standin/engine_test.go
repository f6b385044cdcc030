package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
)

const testSpeed = 200

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// startEngine serves an engine on loopback for the length of a test.
func startEngine(t *testing.T, change func(*EngineConfig)) (*Engine, *httptest.Server) {
	t.Helper()
	cfg := EngineConfig{Identity: Identity{Instance: "e1", Zone: "bio", LeaveGrace: time.Nanosecond}, Speed: testSpeed}
	cfg.Model = enginemodel.DefaultConfig()
	cfg.Model.Models = []engineapi.Model{{Name: "m", Version: "1"}}
	server := httptest.NewUnstartedServer(nil)
	cfg.Address = server.Listener.Addr().String()
	if change != nil {
		change(&cfg)
	}
	e, err := NewEngine(cfg, metrics.NewSet(), quiet())
	if err != nil {
		t.Fatalf("NewEngine: %v", err)
	}
	server.Config.Handler = e
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
	})
	return e, server
}

type header struct{ name, value string }

func post(t *testing.T, url string, body any, headers ...header) *http.Response {
	t.Helper()
	resp, err := tryPost(t, url, body, headers...)
	if err != nil {
		t.Fatalf("POST %s: %v", url, err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func tryPost(t *testing.T, url string, body any, headers ...header) (*http.Response, error) {
	t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, url, io.NopCloser(bytes.NewReader(b)))
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range headers {
		req.Header.Set(h.name, h.value)
	}
	return http.DefaultClient.Do(req)
}

func decode[T any](t *testing.T, resp *http.Response) T {
	t.Helper()
	var v T
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		t.Fatalf("answer not decoded: %v", err)
	}
	return v
}

// streamed reads the tokens of a chat stream and reports whether it ended completely.
func streamed(t *testing.T, resp *http.Response) (tokens []string, done bool) {
	t.Helper()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return tokens, true
		}
		var c engineapi.Completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatalf("chunk %q: %v", data, err)
		}
		if c.Choices[0].FinishReason == nil {
			tokens = append(tokens, c.Choices[0].Delta.Content)
		}
	}
	return tokens, false
}

func chat(prompt string, stream bool) engineapi.CompletionRequest {
	return engineapi.CompletionRequest{Model: "m", Stream: stream, Messages: []engineapi.Message{{Role: "user", Content: prompt}}}
}

func TestStreamIsWholeAndEchoesIdentifiers(t *testing.T) {
	_, server := startEngine(t, nil)
	resp := post(t, server.URL+engineapi.PathChatCompletions, chat("hello [out=30]", true),
		header{engineapi.HeaderAttemptID, "a1"}, header{engineapi.HeaderRequestID, "r1"})
	tokens, done := streamed(t, resp)
	if diff := cmp.Diff(enginemodel.Expected("m", "hello [out=30]", 0), tokens); diff != "" || !done {
		t.Errorf("stream done %v, tokens (-want +got):\n%s", done, diff)
	}
	for name, want := range map[string]string{engineapi.HeaderAttemptID: "a1", engineapi.HeaderRequestID: "r1", engineapi.HeaderTokensPrompt: "2"} {
		if got := resp.Header.Get(name); got != want {
			t.Errorf("%s = %q, want %q", name, got, want)
		}
	}
	var load engineapi.LoadReport
	if err := json.Unmarshal([]byte(resp.Header.Get(engineapi.HeaderEngineLoad)), &load); err != nil {
		t.Errorf("load header: %v", err)
	}
}

func TestWholeAnswerAndResume(t *testing.T) {
	_, server := startEngine(t, nil)
	req := engineapi.CompletionRequest{Model: "m", Prompt: "p [out=9]"}
	got := decode[engineapi.Completion](t, post(t, server.URL+engineapi.PathCompletions, req))
	if want := strings.Join(enginemodel.Expected("m", "p [out=9]", 0), ""); got.Choices[0].Text != want || got.Usage.CompletionTokens != 9 {
		t.Errorf("answer = %+v, want text %q with 9 tokens", got, want)
	}
	resp := post(t, server.URL+engineapi.PathChatCompletions, chat("p [out=9]", true), header{engineapi.HeaderResumeFrom, "7"})
	tokens, done := streamed(t, resp)
	if diff := cmp.Diff(enginemodel.Expected("m", "p [out=9]", 0)[7:], tokens); diff != "" || !done {
		t.Errorf("resumed tokens (-want +got):\n%s", diff)
	}
}

func TestRefusalsSayNotRun(t *testing.T) {
	tests := []struct {
		name    string
		req     engineapi.CompletionRequest
		headers []header
		status  int
		code    string
	}{
		{"other model", engineapi.CompletionRequest{Model: "n", Prompt: "p"}, nil, 409, string(enginemodel.RefusedModel)},
		{"no prompt", engineapi.CompletionRequest{Model: "m"}, nil, 400, codeBadRequest},
		{"unknown KV cache", engineapi.CompletionRequest{Model: "m", Prompt: "p"}, []header{{engineapi.HeaderKVHandle, "k"}}, 409, codeUnknownKV},
		{"resume past the end", engineapi.CompletionRequest{Model: "m", Prompt: "p [out=3]"}, []header{{engineapi.HeaderResumeFrom, "4"}}, 400, codeBadRequest},
	}
	_, server := startEngine(t, nil)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := post(t, server.URL+engineapi.PathCompletions, tt.req, tt.headers...)
			body := decode[ErrorBody](t, resp)
			if resp.StatusCode != tt.status || body.Error.Code != tt.code {
				t.Errorf("refusal = %d %s, want %d %s", resp.StatusCode, body.Error.Code, tt.status, tt.code)
			}
			if got := resp.Header.Get(engineapi.HeaderRunDisposition); got != dispositionNotRun {
				t.Errorf("disposition = %q, want %q", got, dispositionNotRun)
			}
		})
	}
}

func TestKVCacheMovesBetweenEngines(t *testing.T) {
	_, first := startEngine(t, func(c *EngineConfig) { c.Model.Role = engineapi.RolePrefill })
	_, second := startEngine(t, func(c *EngineConfig) { c.Model.Role = engineapi.RoleDecode })
	handle := decode[engineapi.KVHandle](t, post(t, first.URL+engineapi.PathChatCompletions, chat("a b c [out=5]", true), header{engineapi.HeaderPrefillOnly, "1"}))
	if handle.Tokens != 4 || handle.Source != first.Listener.Addr().String() {
		t.Fatalf("handle = %+v, want 4 tokens at the first engine", handle)
	}
	if resp := post(t, second.URL+engineapi.PathKVImport, handle); resp.StatusCode != http.StatusNoContent {
		t.Fatalf("import = %s, want 204", resp.Status)
	}
	tokens, done := streamed(t, post(t, second.URL+engineapi.PathChatCompletions, chat("a b c [out=5]", true), header{engineapi.HeaderKVHandle, handle.ID}))
	if diff := cmp.Diff(enginemodel.Expected("m", "a b c [out=5]", 0), tokens); diff != "" || !done {
		t.Errorf("tokens (-want +got):\n%s", diff)
	}
}

func TestCancelEndsAnAttempt(t *testing.T) {
	e, server := startEngine(t, func(c *EngineConfig) { c.Speed = 1 })
	resp := post(t, server.URL+engineapi.PathChatCompletions, chat("p [out=100000]", true), header{engineapi.HeaderAttemptID, "a1"})
	if got := post(t, server.URL+engineapi.PathCancel, engineapi.CancelRequest{AttemptID: "a1"}); got.StatusCode != http.StatusNoContent {
		t.Errorf("cancel = %s, want 204", got.Status)
	}
	if _, done := streamed(t, resp); done {
		t.Error("cancelled stream ended whole")
	}
	if err := e.Leave(t.Context()); err != nil || !e.idle() {
		t.Errorf("engine is not idle after the cancel: %v", err)
	}
}

func TestOrdersOverHTTP(t *testing.T) {
	e, server := startEngine(t, func(c *EngineConfig) { c.Incarnation = 7 })
	order := engineapi.Order{ID: "o", Fence: 3, Kind: engineapi.OrderSetRole, Role: engineapi.RoleDecode, Incarnation: 7}
	if st := decode[engineapi.OrderStatus](t, post(t, server.URL+engineapi.PathOrders, order)); st.Phase != engineapi.OrderRunning {
		t.Fatalf("order = %+v, want it running", st)
	}
	for e.State().Role != engineapi.RoleDecode {
		time.Sleep(time.Millisecond)
	}
	resp, err := http.Get(server.URL + engineapi.PathOrders + "/o")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if st := decode[engineapi.OrderStatus](t, resp); st.Phase != engineapi.OrderDone {
		t.Errorf("order = %+v, want it done", st)
	}
	old := engineapi.Order{ID: "old", Fence: 2, Kind: engineapi.OrderDrain, Incarnation: 7}
	if st := decode[engineapi.OrderStatus](t, post(t, server.URL+engineapi.PathOrders, old)); st.Phase != engineapi.OrderRejected {
		t.Errorf("old order = %+v, want it rejected", st)
	}
	e.IgnoreFence(true)
	old.ID = "old2"
	if st := decode[engineapi.OrderStatus](t, post(t, server.URL+engineapi.PathOrders, old)); st.Phase != engineapi.OrderDone {
		t.Errorf("old order at an engine that ignores fencing numbers = %+v, want it done", st)
	}
}

func TestEngineFaults(t *testing.T) {
	e, server := startEngine(t, nil)
	url := server.URL + engineapi.PathChatCompletions
	e.Faults().CutStreams(1, 4)
	tokens, done := streamed(t, post(t, url, chat("p [out=20]", true)))
	if len(tokens) != 4 || done {
		t.Errorf("cut stream gave %d tokens, done %v; want 4 and not done", len(tokens), done)
	}
	e.Faults().CrossAnswers(1)
	resp := post(t, url, chat("p [out=20]", true), header{engineapi.HeaderAttemptID, "mine"})
	tokens, _ = streamed(t, resp)
	if resp.Header.Get(engineapi.HeaderAttemptID) == "mine" || cmp.Equal(tokens, enginemodel.Expected("m", "p [out=20]", 0)) {
		t.Error("crossed answer has the attempt identifier or the content of its request")
	}
	before := e.Incarnation()
	e.Crash()
	if resp, err := tryPost(t, url, chat("p", true)); err == nil {
		resp.Body.Close()
		t.Errorf("crashed engine answered %s", resp.Status)
	}
	e.Restart()
	if _, done := streamed(t, post(t, url, chat("p", true))); !done || e.Incarnation() <= before {
		t.Errorf("after a restart: stream whole %v, incarnation %d, want it whole and above %d", done, e.Incarnation(), before)
	}
}

func TestPauseHoldsAndResumeContinues(t *testing.T) {
	e, server := startEngine(t, nil)
	e.Faults().Pause()
	answered := make(chan bool)
	go func() {
		resp, err := tryPost(t, server.URL+engineapi.PathChatCompletions, chat("p [out=5]", true))
		if err != nil {
			answered <- false
			return
		}
		defer resp.Body.Close()
		_, done := streamed(t, resp)
		answered <- done
	}()
	select {
	case <-answered:
		t.Error("paused engine answered")
	case <-time.After(20 * time.Millisecond):
	}
	e.Faults().Resume()
	if !<-answered {
		t.Error("stream was cut by a pause")
	}
}

// TestCrossedAnswerDiffers guards against a crossed answer that equals the right one:
// another attempt in progress has the same answer.
func TestCrossedAnswerDiffers(t *testing.T) {
	e, _ := startEngine(t, nil)
	answer := enginemodel.NewAnswer("m", "p", 0)
	s := &stream{attempt: "a", answer: answer, req: chat("p", true)}
	e.mu.Lock()
	e.streams["twin"] = &stream{attempt: "twin", answer: answer}
	e.mu.Unlock()
	if got, id := e.otherAnswer(s); got == answer || id == "twin" {
		t.Errorf("crossed answer is the one of attempt %s, which is right for this request too", id)
	}
}
