package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/tomltime"
)

const scenarioDir = "../../../scenarios"

// shortScenario loads a shipped scenario and shortens it for tests.
func shortScenario(t *testing.T, name string, length time.Duration) *Scenario {
	t.Helper()
	s, err := LoadScenario(filepath.Join(scenarioDir, name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	s.Duration = tomltime.Of(length)
	s.Warmup = tomltime.Of(5 * time.Second)
	return s
}

func TestShippedScenariosLoad(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(scenarioDir, "*.toml"))
	if err != nil || len(paths) < 16 {
		t.Fatalf("found %d scenarios, %v", len(paths), err)
	}
	sizes := map[string]int{"asociacion": 18, "liggetidsnemnd": 9}
	for _, path := range paths {
		s, err := LoadScenario(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if got := s.engines(); got != sizes[s.Fleet.Name] {
			t.Errorf("%s: %d engines", path, got)
		}
		if s.Name+".toml" != filepath.Base(path) {
			t.Errorf("%s is named %s inside", path, s.Name)
		}
	}
}

func TestRunsAreRepeatable(t *testing.T) {
	for _, name := range allNames {
		t.Run(name, func(t *testing.T) {
			s := shortScenario(t, "liggetidsnemnd-steady", 10*time.Second)
			var tables []string
			for range 2 {
				c, err := Run(context.Background(), s, []string{name}, []uint64{7}, 1)
				if err != nil {
					t.Fatal(err)
				}
				var b bytes.Buffer
				if err := c.writeJSON(&b); err != nil {
					t.Fatal(err)
				}
				tables = append(tables, b.String())
			}
			if diff := cmp.Diff(tables[0], tables[1]); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestBoundHolds runs a normal and an overloaded trace: no policy exceeds the bound, and
// only the overloaded trace has a bound below 90% of the offered requests.
func TestBoundHolds(t *testing.T) {
	for _, load := range []float64{0.6, 8} {
		s := shortScenario(t, "liggetidsnemnd-steady", 30*time.Second)
		s.Load = load
		c, err := Run(context.Background(), s, []string{nameLeastLoad, nameGoodput, nameMixed}, []uint64{1}, 2)
		if err != nil {
			t.Fatal(err)
		}
		for i := range c.Runs {
			r := &c.Runs[i]
			if r.Good > r.Bound {
				t.Errorf("load %v: %s has %d good answers, bound %d", load, r.Policy, r.Good, r.Bound)
			}
			if overloaded := r.Bound < r.Offered*9/10; overloaded != (load > 1) {
				t.Errorf("load %v: bound %d of %d offered", load, r.Bound, r.Offered)
			}
		}
	}
}

// TestPlannedRoleChangesAbortNothing changes the roles of every other engine under load,
// one after another; no attempt may be aborted and no request may fail.
func TestPlannedRoleChangesAbortNothing(t *testing.T) {
	s := shortScenario(t, "asociacion-steady", 30*time.Second)
	p, err := newPolicy(nameGoodput, s)
	if err != nil {
		t.Fatal(err)
	}
	r := runOne(s, newTrace(s, 3), &forcedChanges{Policy: p}, 3)
	if len(r.changes) < 8 {
		t.Fatalf("only %d role changes", len(r.changes))
	}
	if r.cut != 0 || r.failed != 0 || r.unfinished != 0 {
		t.Errorf("%d cut, %d failed, %d unfinished in %d role changes", r.cut, r.failed, r.unfinished, len(r.changes))
	}
}

// forcedChanges changes every other engine to the mixed role, one engine every two seconds.
type forcedChanges struct{ Policy }

func (f *forcedChanges) start(m *sim, end time.Duration) {
	f.Policy.start(m, end)
	for i, w := range m.workers {
		if i%2 == 0 {
			m.clock.at(time.Duration(i+1)*time.Second, func() { w.changeRole(engineapi.RoleMixed, "forced") })
		}
	}
}

// TestEngineLossLosesNoAnswer withdraws one engine and crashes another: every model
// request that was not refused must still get its whole answer.
func TestEngineLossLosesNoAnswer(t *testing.T) {
	s := shortScenario(t, "asociacion-steady", 30*time.Second)
	s.Load = 0.4
	s.Events = []FleetEvent{
		{At: tomltime.Of(10 * time.Second), Kind: EventWithdraw, Zone: "bio", Role: engineapi.RoleDecode},
		{At: tomltime.Of(15 * time.Second), Kind: EventCrash, Zone: "sdr", Role: engineapi.RoleDecode},
	}
	p, err := newPolicy(nameGoodput, s)
	if err != nil {
		t.Fatal(err)
	}
	r := runOne(s, newTrace(s, 5), p, 5)
	if r.retries == 0 {
		t.Fatal("no attempt was retried after the crash")
	}
	for _, j := range r.sim.jobs {
		if j.state != jobRefused && j.workload.Endpoint == "" && j.generated != j.arrival.output {
			t.Errorf("request %d: %d of %d tokens, state %d", j.id, j.generated, j.arrival.output, j.state)
		}
	}
}

// TestRefusingLateRequestsRaisesGoodput overloads the fleet: refusing requests that would
// miss their target must give more good answers than serving everything.
func TestRefusingLateRequestsRaisesGoodput(t *testing.T) {
	good := make(map[float64]int)
	for _, factor := range []float64{0, 1} {
		s := shortScenario(t, "liggetidsnemnd-steady", 40*time.Second)
		s.Load = 1.6
		s.Fleet.Admission.LateFactor = factor
		c, err := Run(context.Background(), s, []string{nameFewChanges}, []uint64{1}, 1)
		if err != nil {
			t.Fatal(err)
		}
		good[factor] = c.Runs[0].Good
	}
	if good[1] <= good[0] {
		t.Errorf("%d good answers with refusals, %d without", good[1], good[0])
	}
}

func TestProfileFactor(t *testing.T) {
	p := Profile{Points: []Point{{tomltime.Of(10 * time.Second), 1}, {tomltime.Of(20 * time.Second), 3}}}
	for at, want := range map[time.Duration]float64{0: 1, 10 * time.Second: 1, 15 * time.Second: 2, 20 * time.Second: 3, time.Hour: 3} {
		if got := p.factor(at); got != want {
			t.Errorf("factor at %v = %v, want %v", at, got, want)
		}
	}
}

func TestClockOrder(t *testing.T) {
	var c clock
	var got []int
	c.at(2, func() { got = append(got, 2) })
	c.at(1, func() {
		got = append(got, 0)
		c.at(0, func() { got = append(got, 1) })
	})
	c.at(2, func() { got = append(got, 3) })
	c.at(9, func() { got = append(got, 9) })
	c.run(5)
	if diff := cmp.Diff([]int{0, 1, 2, 3}, got); diff != "" {
		t.Error(diff)
	}
}

func TestWriteMakesAllFiles(t *testing.T) {
	s := shortScenario(t, "liggetidsnemnd-burst", 10*time.Second)
	c, err := Run(context.Background(), s, []string{nameDeployment}, []uint64{1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := c.Write(dir); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"table.txt", "result.json", "seconds-filberthook-1.csv", "changes-filberthook-1.csv", "goodput.png", "role-changes.png", "first-token.png", "gap.png", "memory.png", "goodput-by-class-filberthook.png"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestUnknownNamesAreRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte("lod = 0.5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadScenario(path); err == nil || !strings.Contains(err.Error(), "correct or remove") {
		t.Errorf("misspelt setting: %v", err)
	}
	s := shortScenario(t, "liggetidsnemnd-burst", 10*time.Second)
	if _, err := newPolicy("best", s); err == nil || !strings.Contains(err.Error(), nameGoodput) {
		t.Errorf("unknown policy: %v", err)
	}
	s.Profiles = append(s.Profiles, Profile{Workload: "none"})
	if err := s.validate(); err == nil || !strings.Contains(err.Error(), "none") {
		t.Errorf("unknown workload: %v", err)
	}
}
