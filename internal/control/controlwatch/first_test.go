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
