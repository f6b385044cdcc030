package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func exampleEntry(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../../examples/entry.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// callersTables returns the [callers] tables of the example, uncommented.
func callersTables(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	in := false
	for line := range strings.Lines(exampleEntry(t)) {
		text, comment := strings.CutPrefix(line, "# ")
		if comment && strings.HasPrefix(text, "[") {
			in = strings.HasPrefix(text, "[callers")
		}
		if comment && in {
			out.WriteString(text)
		}
		in = in && comment
	}
	return out.String()
}

func TestExampleShowsTheDefaultLimitsOfCallers(t *testing.T) {
	plain, shown := DefaultEntry(), DefaultEntry()
	shown.Callers = EntryCallers{}
	shown.Callers.Claiming = plain.Callers.Claiming
	shown.Callers.Proxy = plain.Callers.Proxy
	shown.Callers.Proxy.Retry.Budget = plain.Callers.Proxy.Retry.Budget
	if err := Decode("entry.toml", []byte(exampleEntry(t)+"\n"+callersTables(t)), &shown); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(plain.Callers, shown.Callers); diff != "" {
		t.Errorf("the example differs from the defaults (-default +example):\n%s", diff)
	}
}

func TestLimitsOfCallersAreChecked(t *testing.T) {
	tests := []struct{ name, table, key string }{
		{"zero slots", "[callers.gate]\nslots = 0", "callers.gate.slots"},
		{"queue of one class", "[callers.gate]\nqueue = [1, 0, 1, 1]", "callers.gate.queue[1]"},
		{"share above one", "[callers.gate]\nteam_share = 2.0", "callers.gate.team_share"},
		{"duration without unit", "[callers.pace]\nread_timeout = \"10\"", "callers.pace.read_timeout"},
		{"negative duration", "[callers.proxy]\nstream_idle = \"-1s\"", "callers.proxy.stream_idle"},
		{"no room for one body", "[callers.body]\nmax_held = 1", "callers.body.max_held"},
		{"unknown key", "[callers.team]\nconcurency = 1", "callers.team.concurency"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := DefaultEntry()
			err := Decode("entry.toml", []byte(exampleEntry(t)+"\n"+tt.table), &s)
			var wrong *Error
			if !errors.As(err, &wrong) || len(wrong.Problems) != 1 || wrong.Problems[0].Key != tt.key {
				t.Errorf("got %v, want one problem of %s", err, tt.key)
			}
		})
	}
}

func TestLimitsOfCallersAreRead(t *testing.T) {
	s := DefaultEntry()
	text := exampleEntry(t) + "\n[callers.proxy]\nstream_idle = \"3s\"\n[callers.team]\nconcurrency = 7\n"
	if err := Decode("entry.toml", []byte(text), &s); err != nil {
		t.Fatal(err)
	}
	if s.Callers.Proxy.StreamIdle.Duration != 3*time.Second || s.Callers.Team.Concurrency != 7 {
		t.Errorf("decoded %+v", s.Callers)
	}
}
