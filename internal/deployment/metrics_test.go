package deployment_test

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"filberthook/internal/loadgen"
)

var documentedMetric = regexp.MustCompile("`(filberthook_[a-z_]+)`")

// documentedMetrics returns the names in docs/METRICS.md.
func documentedMetrics(t *testing.T) map[string]bool {
	t.Helper()
	text, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, m := range documentedMetric.FindAllStringSubmatch(string(text), -1) {
		names[m[1]] = true
	}
	return names
}

// scrape returns the names of a daemon's own metrics.
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
		name, _, _ := strings.Cut(lines.Text(), " ")
		name, _, _ = strings.Cut(name, "{")
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		if strings.HasPrefix(name, "filberthook_") {
			names = append(names, name)
		}
	}
	return names
}

func TestMetricsAreDocumented(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d, key := start(t, ctx, 1)
	caller := loadgen.NewCaller(d.Entries[0].Callers, key)
	defer caller.Close()
	await(t, ctx, "a whole answer", func() bool {
		r := caller.Chat(ctx, loadgen.Chat{Model: endpoint, Engine: model, Prompt: "hello", MaxTokens: 2, Stream: true})
		return r.Outcome == loadgen.Whole
	})
	names := append(scrape(t, d.Entries[0].Status), scrape(t, d.Controls[0].Status)...)
	if len(names) < 30 {
		t.Fatalf("only %d metrics found", len(names))
	}
	documented := documentedMetrics(t)
	for _, name := range names {
		if !documented[name] {
			t.Errorf("%s is missing in docs/METRICS.md", name)
			documented[name] = true // say it once
		}
	}
}
