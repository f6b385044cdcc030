package deployment_test

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"testing"

	"filberthook/internal/bench/loadgen"
	"filberthook/internal/process/metricsdoc"
)

// scrape returns the lines of a daemon's metrics page.
func scrape(t *testing.T, address string) []string {
	t.Helper()
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var names []string
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		names = append(names, lines.Text())
	}
	return names
}

func TestMetricsAreDocumented(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d, key := start(t, ctx, 1)
	caller := loadgen.NewCaller(d.Entries[0].Callers, key)
	defer caller.Close()
	await(t, ctx, "a complete answer", func() bool {
		r := caller.Chat(ctx, loadgen.Chat{Model: endpoint, Engine: model, Prompt: "hello", MaxTokens: 2, Stream: true})
		return r.Outcome == loadgen.Whole
	})
	names := append(scrape(t, d.Entries[0].Status), scrape(t, d.Controls[0].Status)...)
	if len(names) < 100 {
		t.Fatalf("only %d lines of metrics found", len(names))
	}
	page, err := os.ReadFile("../../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range metricsdoc.Undocumented(string(page), names) {
		t.Errorf("%s is missing in docs/METRICS.md", name)
	}
}
