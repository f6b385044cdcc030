package controlhost

import (
	"context"

	"golang.org/x/sync/errgroup"

	"filberthook/internal/control/duty"
)

// duties are the calls to the platform's API that this host makes while it leads. The zero value
// makes none.
type duties struct {
	set      duty.Set
	platform duty.Platform
	holder   *duty.Holder // nil without duties
}

// UseDuties has this host make the calls of a set of duties while it leads. It must be called
// before Run.
func (h *Host) UseDuties(platform duty.Platform, set duty.Set) {
	h.duties = duties{set: set, platform: platform, holder: duty.NewHolder(duty.Options{
		Host: h.settings.Host, Lease: h.settings.Stages.Lease.Duration, Group: h.membership, Logger: h.logger, Metrics: h.metrics,
	})}
}

// runDuties starts the tasks of the duties.
func (h *Host) runDuties(ctx context.Context, tasks *errgroup.Group) {
	if h.duties.holder == nil {
		return
	}
	tasks.Go(func() error { h.duties.holder.Run(ctx); return nil })
	if h.reportsUsage() {
		reporter := h.newUsageReporter()
		tasks.Go(func() error { reporter.Run(ctx); return nil })
	}
}
