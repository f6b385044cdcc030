//go:build !race

// Excluded from race builds: a run has one goroutine and takes minutes under the race
// detector. The package's other tests run the policies under it.

package experiment

import (
	"context"
	"testing"
)

// Targets required for every trace that the fleet has the capacity for.
const (
	minShareOfBound   = 0.95
	maxGoodputChanges = 0.25 // of the reactive planner's role changes
	maxFewChanges     = 0.10
	maxFewChangesLoss = 0.02
)

// TestTargets runs the trace with a shifting token mix for both deployments and compares
// filberthook with the trace's best fixed baseline and the reactive planner. The design note
// has all traces and policies.
func TestTargets(t *testing.T) {
	tests := []struct {
		fleet    string
		policies []string
	}{
		{"asociacion", []string{nameRoundRobin, nameReactive, nameGoodput, nameFewChanges}},
		{"liggetidsnemnd", []string{nameLeastLoad, nameReactive, nameGoodput, nameFewChanges, nameMixed}},
	}
	for _, tt := range tests {
		t.Run(tt.fleet, func(t *testing.T) {
			s, err := LoadScenario(scenarioDir + "/" + tt.fleet + "-shift.toml")
			if err != nil {
				t.Fatal(err)
			}
			c, err := Run(context.Background(), s, tt.policies, []uint64{1}, 2)
			if err != nil {
				t.Fatal(err)
			}
			runs := make(map[string]Result)
			for _, r := range c.Runs {
				runs[r.Policy] = r
			}
			checkTargets(t, runs)
		})
	}
}

func checkTargets(t *testing.T, runs map[string]Result) {
	t.Helper()
	best := 0
	for _, name := range baselineNames {
		best = max(best, runs[name].Good)
	}
	for _, name := range []string{nameGoodput, nameFewChanges, nameMixed} {
		r, ran := runs[name]
		if !ran {
			continue
		}
		if r.OfBound < minShareOfBound {
			t.Errorf("%s: %.3f of the bound, want %v", name, r.OfBound, minShareOfBound)
		}
		if r.Good <= best {
			t.Errorf("%s: %d good answers, best baseline %d", name, r.Good, best)
		}
		if r.Cut != 0 {
			t.Errorf("%s: role changes cut %d attempts", name, r.Cut)
		}
	}
	reactive, goodput, few := runs[nameReactive], runs[nameGoodput], runs[nameFewChanges]
	if limit := maxGoodputChanges * float64(reactive.RoleChanges); float64(goodput.RoleChanges) > limit {
		t.Errorf("goodput weights: %d role changes, limit %.1f", goodput.RoleChanges, limit)
	}
	if limit := maxFewChanges * float64(reactive.RoleChanges); float64(few.RoleChanges) > limit {
		t.Errorf("few-changes weights: %d role changes, limit %.1f", few.RoleChanges, limit)
	}
	if loss := goodput.OfOffered - few.OfOffered; loss > maxFewChangesLoss {
		t.Errorf("few-changes weights lose %.3f of the answers, limit %v", loss, maxFewChangesLoss)
	}
}
