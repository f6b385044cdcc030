package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/bench/history"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/claimlog"
	"filberthook/internal/serve/middleware"
	"filberthook/internal/serve/request"
)

// BenchmarkHandlers measures the handlers in front of the proxy, including claims, with an
// in-memory log and a last handler that only answers.
func BenchmarkHandlers(b *testing.B) {
	benches := []struct{ name, method, path, body string }{
		{"status read", http.MethodGet, pathBook, ""},
		{"booking", http.MethodPost, pathBook, "chair 7"},
		{"short prompt", http.MethodPost, engineapi.PathCompletions, streamBody},
		{"prompt of 8000 tokens", http.MethodPost, engineapi.PathCompletions, `{"model":"chat","prompt":"` + strings.Repeat("word ", 8000) + `"}`},
	}
	for _, bench := range benches {
		b.Run(bench.name, func(b *testing.B) {
			set := metrics.NewSet()
			counters := request.NewCounters(set)
			claims := claimlog.New(newMemoryLog(), claimlog.DefaultSettings(), counters, set)
			defer claims.Close()
			last := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c := call.From(r)
				c.Request.Dispatch("a")
				_, _ = w.Write([]byte("answer"))
				c.Answered()
			})
			settings := middleware.DefaultSettings()
			settings.Team.TokensPerSecond = 1e12
			h := middleware.NewChain(settings, newConfig(), claims, counters, history.NewLog(), last)
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(bench.method, bench.path, strings.NewReader(bench.body))
				r.Header.Set("Authorization", "Bearer "+teamKey)
				w := httptest.NewRecorder()
				h.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatal(w.Body)
				}
			}
		})
	}
}

// BenchmarkStreamTokens passes streamed tokens through one entry host over
// loopback, the instance and the caller in the same process.
func BenchmarkStreamTokens(b *testing.B) {
	instance := httptest.NewServer(engine{tokens: b.N})
	defer instance.Close()
	set := metrics.NewSet()
	counters := request.NewCounters(set)
	claims := claimlog.New(newMemoryLog(), claimlog.DefaultSettings(), counters, set)
	defer claims.Close()
	entry := httptest.NewServer(benchChain(claims, counters, set, strings.TrimPrefix(instance.URL, "http://")))
	defer entry.Close()
	req, err := http.NewRequest(http.MethodPost, entry.URL+engineapi.PathCompletions, strings.NewReader(streamBody))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set(engineapi.HeaderDeadline, "600000")
	b.ReportAllocs()
	b.ResetTimer()
	resp, err := entry.Client().Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if n := countTokens(resp.Body); n != b.N {
		b.Fatalf("%d tokens, want %d", n, b.N)
	}
}
