package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/bench/standin"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
)

const testTimeout = 20 * time.Second

// startEngine serves a fast stand-in engine until the test ends.
func startEngine(t *testing.T) (*standin.Engine, string) {
	t.Helper()
	cfg := standin.EngineConfig{Identity: standin.Identity{Instance: "e", Zone: "bio"}, Speed: 500, Model: enginemodel.DefaultConfig()}
	cfg.Model.Models = []engineapi.Model{{Name: "m", Version: "1"}}
	e, err := standin.NewEngine(cfg, metrics.NewSet(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return e, serve(t, e)
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestChatVerifiesStreams(t *testing.T) {
	e, address := startEngine(t)
	c := NewCaller(address, "")
	defer c.Close()
	tests := []struct {
		name   string
		fault  func()
		stream bool
		model  string
		want   Outcome
	}{
		{"stream", func() {}, true, "m", Whole},
		{"whole", func() {}, false, "m", Whole},
		{"crossed stream", func() { e.Faults().CrossAnswers(1) }, true, "m", Wrong},
		{"crossed whole", func() { e.Faults().CrossAnswers(1) }, false, "m", Wrong},
		{"cut", func() { e.Faults().CutStreams(1, 3) }, true, "m", Broken},
		{"refused", func() {}, true, "other", NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.fault()
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			got := c.Chat(ctx, Chat{Model: tt.model, Prompt: "p [out=20]", Stream: tt.stream})
			if got.Outcome != tt.want {
				t.Errorf("outcome = %s (%v), want %s", got.Outcome, got.Err, tt.want)
			}
		})
	}
}

// TestReadStreamDetectsFaults reads streams that a correct engine never sends.
func TestReadStreamDetectsFaults(t *testing.T) {
	answer := enginemodel.NewAnswer("m", "p [out=3]", 0)
	chunk := func(token string, reason *string) string {
		b, _ := json.Marshal(engineapi.Completion{Choices: []engineapi.Choice{{Delta: &engineapi.Message{Content: token}, FinishReason: reason}}})
		return "data: " + string(b) + "\n\n"
	}
	stop := "stop"
	end := chunk("", &stop) + "data: [DONE]\n\n"
	tests := []struct {
		name   string
		tokens []int
		end    string
		wrong  bool
		whole  bool
	}{
		{"whole", []int{0, 1, 2}, end, false, true},
		{"lost token", []int{0, 2}, end, true, false},
		{"doubled token", []int{0, 1, 1, 2}, end, true, false},
		{"too long", []int{0, 1, 2, 3}, end, true, false},
		{"ends early as if whole", []int{0, 1}, end, true, false},
		{"cut", []int{0, 1, 2}, "", false, false},
		{"another event id", []int{0, 1}, "id: 9\n" + chunk(answer.Token(2), nil) + end, true, false},
		{"ended by an error", []int{0, 1}, "event: error\ndata: {\"error\":{\"code\":\"stream_broken\",\"disposition\":\"ran\"}}\n\n", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var body bytes.Buffer
			for _, i := range tt.tokens {
				body.WriteString(chunk(answer.Token(i), nil))
			}
			body.WriteString(tt.end)
			var r Result
			err := readStream(&r, &body, answer, time.Now())
			var wrong *WrongAnswerError
			if (err == nil) != tt.whole || errors.As(err, &wrong) != tt.wrong {
				t.Errorf("readStream = %v, want whole %v, wrong %v", err, tt.whole, tt.wrong)
			}
		})
	}
}

func TestResumedStreamContinuesAtNextToken(t *testing.T) {
	answer := enginemodel.NewAnswer("m", "p [out=3]", 0)
	var body bytes.Buffer
	fmt.Fprintf(&body, "id: 3\ndata: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", answer.Token(2))
	body.WriteString("data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	r := Result{Tokens: 2, Resumed: 2}
	if err := readStream(&r, &body, answer, time.Now()); err != nil || r.Tokens != 3 {
		t.Errorf("readStream = %v with %d tokens, want the whole answer with 3", err, r.Tokens)
	}
}

func TestOverheadPairsCalls(t *testing.T) {
	_, address := startEngine(t)
	cfg := OverheadConfig{Direct: address, Entry: address, Model: "m", Pairs: 30, Warmup: 2, Rate: 1000, Prompt: 20, Output: 5, Timeout: testTimeout, EntryPID: os.Getpid()}
	report, err := Overhead(t.Context(), cfg)
	if err != nil || report.Failed != 0 || report.AddedFirstToken.Count != 30 || report.EntryTokens != 150 {
		t.Errorf("report = %+v, %v; want 30 whole pairs and 150 tokens", report, err)
	}
	cfg.Model = "other"
	if report, _ := Overhead(t.Context(), cfg); report.Failed != 30 || report.FirstFailure == "" {
		t.Errorf("report = %+v, want 30 failed pairs", report)
	}
}

func TestRunCountsOutcomesPerClass(t *testing.T) {
	engine, _ := startEngine(t)
	service, err := standin.NewService(standin.ServiceConfig{}, metrics.NewSet(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", engine)
	mux.Handle("/services/b/", http.StripPrefix("/services/b", service))
	report := Run(t.Context(), RunConfig{
		Entries: []string{serve(t, mux)}, Model: "m", Service: "/services/b", Rate: 1000, Calls: 60, SharedPrefixes: 3,
		Mix: Mix{Summary: 1, Check: 2, Lookup: 1, Booking: 1, Status: 1}, Timeout: testTimeout, Seed: 1,
	})
	if got := report.Count(Whole); got != 60 {
		t.Errorf("%d calls whole, want 60: %v", got, report.Examples)
	}
	for key, n := range service.Runs() {
		if n != 1 {
			t.Errorf("key %s ran %d times, want 1", key, n)
		}
	}
}

func TestPromptsShareTheirPrefix(t *testing.T) {
	a, b := NewPrompts(1).Prompt(7, 500, 9), NewPrompts(2).Prompt(7, 500, 9)
	if a == b || a[:400*wordBytes] != b[:400*wordBytes] {
		t.Error("prompts with the same prefix are identical or start differently")
	}
	if got := enginemodel.CountTokens(a); got != 500 {
		t.Errorf("prompt has %d tokens, want 500", got)
	}
	if got := enginemodel.OutputLength("m", a, 0); got != 9 {
		t.Errorf("answer has %d tokens, want 9", got)
	}
}

func TestProcessCPU(t *testing.T) {
	if _, err := ProcessCPU(os.Getpid()); err != nil {
		t.Errorf("own process: %v", err)
	}
	if _, err := ProcessCPU(-1); err == nil || !strings.Contains(err.Error(), "running") {
		t.Errorf("no process: error = %v, want one that asks for a running process", err)
	}
}

func TestExactQuantilesOfNegatives(t *testing.T) {
	got := exactQuantiles([]time.Duration{3, -1, 2, 1, 0})
	if fmt.Sprint(got.Median.Nanoseconds(), got.Max.Nanoseconds()) != "1 3" {
		t.Errorf("quantiles = %+v, want median 1 and max 3", got)
	}
}

func TestCostCountsCallsAndTokens(t *testing.T) {
	_, address := startEngine(t)
	cfg := CostConfig{
		Direct: address, Entry: address, Model: "m", Calls: 10, Blocks: 2, Workers: 4,
		Prompt: 20, Short: 1, Long: 20, Timeout: testTimeout, EntryPID: os.Getpid(),
	}
	report, err := Cost(t.Context(), cfg)
	if err != nil || report.Failed != 0 || report.Calls != 40 || report.TokenRate <= 0 {
		t.Errorf("report = %+v, %v; want 40 whole calls", report, err)
	}
	cfg.Model = "other"
	report, err = Cost(t.Context(), cfg)
	if err != nil || report.Failed != 80 || report.Failures[string(enginemodel.RefusedModel)] != 120 {
		t.Errorf("report = %+v, %v; want all calls refused, including the warm-up", report, err)
	}
}

func TestClaimsMeasuresCallsAndReads(t *testing.T) {
	service, err := standin.NewService(standin.ServiceConfig{}, metrics.NewSet(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	address := serve(t, http.StripPrefix("/services/b", service))
	reports := Claims(t.Context(), ClaimsConfig{Entries: []string{address}, Service: "/services/b", Rates: []float64{100, 200}, Duration: 200 * time.Millisecond, Timeout: testTimeout, Seed: 1})
	if len(reports) != 2 {
		t.Fatalf("%d reports, want 2", len(reports))
	}
	for _, r := range reports {
		if r.Outcomes[Whole] != int(r.Claimed.Count) || r.Claimed.Count+r.Reads.Count != int64(2*r.Rate*0.2) {
			t.Errorf("report = %+v, want all calls whole", r)
		}
	}
}
