package consensus_test

import (
	"os"
	"strconv"
	"testing"
)

const (
	progressEvery = 5000 // seeds between two progress messages
	ciSeeds       = 150
	runTicks      = 600
	seedsEnv      = "FILBERTHOOK_SEEDS"
	firstSeedEnv  = "FILBERTHOOK_FIRST_SEED"
)

func envNumber(t *testing.T, name string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s=%q is not a number", name, text)
	}
	return n
}

// TestRandomizedSchedules runs simulations with random faults. It checks the safety
// properties after every step and the client history at the end. FILBERTHOOK_SEEDS sets
// the number of schedules.
func TestRandomizedSchedules(t *testing.T) {
	seeds := envNumber(t, seedsEnv, ciSeeds)
	first := envNumber(t, firstSeedEnv, 1)
	var operations, entries, leaders, repairs, demotions, crashes, installs int
	for seed := first; seed < first+seeds; seed++ {
		s, err := run(settings{seed: seed, ticks: runTicks})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if done := seed - first + 1; done%progressEvery == 0 {
			t.Logf("%d schedules done", done)
		}
		operations += s.completed
		entries += len(s.appliedLog)
		leaders += len(s.leaders)
		repairs += s.operator.repairs
		demotions += s.demotions
		crashes += s.crashes
		installs += s.installs
	}
	t.Logf("%d schedules: %d calls answered, %d entries, %d terms with a leader, %d repairs, %d demotions, %d crashes, %d snapshots installed",
		seeds, operations, entries, leaders, repairs, demotions, crashes, installs)
	if operations == 0 || leaders < int(seeds) || seeds >= ciSeeds && min(repairs, demotions, crashes, installs) == 0 {
		t.Error("the schedules did not exercise the group")
	}
}

func TestRandomizedSchedulesRepeat(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		a, errA := run(settings{seed: seed, ticks: runTicks})
		b, errB := run(settings{seed: seed, ticks: runTicks})
		if errA != nil || errB != nil {
			t.Fatalf("seed %d: %v, %v", seed, errA, errB)
		}
		if a.trace != b.trace {
			t.Errorf("seed %d gave two different runs", seed)
		}
	}
}
