package controlwatch

import (
	"context"
	"testing"
	"time"

	"filberthook/internal/replication/document"
)

func TestFirstConfigurationDoesNotWaitForAHostThatFreezesAfterItsAnnouncement(t *testing.T) {
	t.Parallel()
	frozen := &playedControl{version: 9}
	frozen.document = func(ctx context.Context) (document.Packed, error) {
		<-ctx.Done()
		return document.Packed{}, ctx.Err()
	}
	config := &fixedConfiguration{}
	begin := time.Now()
	followPlayed(t, config, firstWait, frozen, &playedControl{version: 4})
	within(t, 2*time.Second, "version 4 in force", func() bool { return config.Version() == 4 })
	t.Logf("in force after %v", time.Since(begin))
}

// electionAfter returns control hosts that know version 4 and no leader until an election, which
// ends a time after the test begins, and after which next is in force.
func electionAfter(d time.Duration, next uint64) []*playedControl {
	elected := make(chan struct{})
	time.AfterFunc(d, func() { close(elected) })
	return []*playedControl{{version: 4, elected: elected, next: next}, {version: 4, elected: elected, next: next}}
}

func TestEntryHostThatStartsDuringAnElectionUsesNoOlderConfiguration(t *testing.T) {
	t.Parallel()
	config := &taken{}
	followPlayed(t, config, 20*time.Second, electionAfter(500*time.Millisecond, 9)...)
	within(t, 10*time.Second, "version 9 in force", func() bool { return config.Version() == 9 })
	if config.versions[0] != 9 {
		t.Errorf("versions in force, in order: %v", config.versions)
	}
}

func TestFirstConfigurationIsUsedOnceTheElectionHasConfirmedIt(t *testing.T) {
	t.Parallel()
	config := &fixedConfiguration{}
	followPlayed(t, config, time.Minute, electionAfter(500*time.Millisecond, 4)...)
	within(t, 10*time.Second, "version 4 in force", func() bool { return config.Version() == 4 })
}

func TestFirstConfigurationThatNoControlHostConfirmsIsUsedAtTheBound(t *testing.T) {
	t.Parallel()
	config := &fixedConfiguration{}
	begin := time.Now()
	followPlayed(t, config, firstWait, &playedControl{version: 4}, &playedControl{version: 4})
	within(t, 10*time.Second, "version 4 in force", func() bool { return config.Version() == 4 })
	if waited := time.Since(begin); waited < firstWait {
		t.Errorf("in force after %v, want %v for a confirmation", waited, firstWait)
	}
}
