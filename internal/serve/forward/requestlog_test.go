package forward

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/placement"
	"filberthook/internal/process/logsink"
	"filberthook/internal/serve/routes"
)

// Under load with one in ten requests failing, the lines of answered requests stay limited
// and each failed request has a line.
func TestLogIsBoundedUnderLoadAndKeepsFailures(t *testing.T) {
	var n atomic.Int64
	i := service("a", func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1)%10 == 0 {
			status(500, false)(w, r)
			return
		}
		ok(w, r)
	})
	h := start(t, route(routes.Unsafe, nil), i)
	const requests = 1200
	begin := time.Now()
	failed := 0
	for k := range requests {
		code, _, _, err := h.do(t, func(r *http.Request) { r.Header.Set("X-Id", fmt.Sprint("id-", k)) })
		if err != nil {
			t.Fatal(err)
		}
		if code == 500 {
			failed++
		}
	}
	seconds := int(time.Since(begin)/time.Second) + 2 // the first and the last second are partial
	if got := h.log.count(`"status":500`); got != failed || failed == 0 {
		t.Errorf("%d lines of failed requests, want %d", got, failed)
	}
	answered := h.log.count(`"status":200`)
	if most := seconds * maxAnsweredLinesPerSecond; answered > most || answered == 0 {
		t.Errorf("%d lines of answered requests in %d s, want at most %d", answered, seconds, most)
	}
	if answered < requests-failed {
		time.Sleep(time.Second)
		if _, _, _, err := h.do(t, nil); err != nil {
			t.Fatal(err)
		}
		if h.log.count("lines of answered requests left out") == 0 {
			t.Error("no line reports how many lines were left out")
		}
	}
}

// BenchmarkRequestLine measures logging a request with two attempts to the log queue of a host.
func BenchmarkRequestLine(b *testing.B) {
	sink := logsink.New(io.Discard)
	defer sink.Close()
	view := instances.NewView(time.Hour)
	c := &call{
		server: &Server{view: view, fleet: placement.New(placement.DefaultSettings(), rand.Float64, nil), logger: slog.New(slog.NewJSONHandler(sink, nil))},
		route:  &routes.Route{Name: "r", Kind: routes.Stream}, endpoint: "lm", outcome: "answered", status: 200,
	}
	plan := placement.Plan{PrefillTokens: 2400, ExpectedTTFT: 300 * time.Millisecond, FetchFrom: "10.1.64.9:8080"}
	c.noteEngine(placement.Target{ID: "i-7f3a91c2"}, "read", placement.Answered, time.Now(), nil, plan)
	c.noteEngine(placement.Target{ID: "i-7f3a91c3"}, "run", placement.Answered, time.Now(), nil, plan)
	b.ReportAllocs()
	for b.Loop() {
		c.log(time.Second)
	}
}
