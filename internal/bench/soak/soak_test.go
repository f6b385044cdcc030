package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/bench/loadgen"
)

// growingSamples returns n samples of a process whose memory grows by perSample bytes.
func growingSamples(n int, perSample int64) []Sample {
	var out []Sample
	for i := range n {
		out = append(out, Sample{PID: 7, Resident: 100<<20 + int64(i)*perSample, Files: 50, Goroutines: 100})
	}
	return out
}

func TestAssessGrowth(t *testing.T) {
	tests := []struct {
		name     string
		samples  []Sample
		assessed int
		growing  string
	}{
		{"flat", growingSamples(40, 0), 3, ""},
		{"small growth", growingSamples(40, 100<<10), 3, ""},
		{"leak", growingSamples(40, 4<<20), 3, "resident"},
		{"too short", growingSamples(minSamples-1, 4<<20), 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			growth := AssessGrowth("p", tt.samples)
			if len(growth) != tt.assessed {
				t.Errorf("%d metrics assessed, want %d", len(growth), tt.assessed)
			}
			err := Report{Growth: growth, Outcomes: map[loadgen.Outcome]int{loadgen.Whole: 1}}.Err()
			if (err == nil) != (tt.growing == "") || (err != nil && !strings.Contains(err.Error(), tt.growing)) {
				t.Errorf("verdict = %v, want one about %q", err, tt.growing)
			}
		})
	}
}

func TestReportErrOnOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		report Report
		ok     bool
	}{
		{"whole", Report{Outcomes: map[loadgen.Outcome]int{loadgen.Whole: 5}}, true},
		{"none", Report{Outcomes: map[loadgen.Outcome]int{loadgen.NotRun: 5}, Kills: 1}, false},
		{"wrong", Report{Outcomes: map[loadgen.Outcome]int{loadgen.Whole: 5, loadgen.Wrong: 1}, Kills: 3}, false},
		{"refused without faults", Report{Outcomes: map[loadgen.Outcome]int{loadgen.Whole: 5, loadgen.NotRun: 1}}, false},
		{"broken with faults", Report{Outcomes: map[loadgen.Outcome]int{loadgen.Whole: 5, loadgen.Broken: 1}, Kills: 1}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := tt.report.Err(); (err == nil) != tt.ok {
				t.Errorf("verdict = %v, want ok %v", err, tt.ok)
			}
		})
	}
}

func TestParseProcess(t *testing.T) {
	got, err := ParseProcess("entry-1=/run/e.pid@127.0.0.1:7403")
	if diff := cmp.Diff(Process{Name: "entry-1", PIDFile: "/run/e.pid", Status: "127.0.0.1:7403"}, got); diff != "" || err != nil {
		t.Errorf("process (-want +got), %v:\n%s", err, diff)
	}
	if _, err := ParseProcess("entry-1"); err == nil {
		t.Error("process without a file was accepted")
	}
}

func TestSampleOfThisProcess(t *testing.T) {
	status := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "go_goroutines_other 1\ngo_goroutines 42\n")
	}))
	defer status.Close()
	file := filepath.Join(t.TempDir(), "pid")
	if err := os.WriteFile(file, fmt.Appendln(nil, os.Getpid()), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Process{Name: "self", PIDFile: file, Status: status.Listener.Addr().String()}.Sample(t.Context())
	if err != nil || got.PID != os.Getpid() || got.Resident <= 0 || got.Files <= 0 || got.Goroutines != 42 {
		t.Errorf("sample = %+v, %v", got, err)
	}
	if err := os.WriteFile(file, []byte("1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := (Process{Name: "self", PIDFile: file}).PID(); err == nil {
		t.Error("process ID 1 was accepted")
	}
}
