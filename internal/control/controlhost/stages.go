package controlhost

import (
	"context"

	"filberthook/internal/control/stagereconciler"
	"filberthook/internal/control/staging"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/replica"
)

// reconcileStages orders engines to switch stages while this host leads.
func (h *Host) reconcileStages(ctx context.Context) {
	reconciler := &stagereconciler.Reconciler{
		Host:     h.settings.Host,
		Lease:    h.settings.Stages.Lease.Duration,
		Settings: staging.DefaultSettings(),
		Expected: staging.Demand{
			PromptTokens: h.settings.Stages.ExpectedPromptTokens,
			OutputTokens: h.settings.Stages.ExpectedOutputTokens,
		},
		Ordered:   h.ordersInstances,
		Group:     h.membership,
		Engines:   h.engines,
		Load:      h.loads,
		Instances: h.view.Snapshot,
		Logger:    h.logger,
		Metrics:   h.metrics,
	}
	reconciler.Run(ctx)
}

// replicatedConfiguration keeps the watcher of a control host from fetching the
// configuration, which the host gets from the replicated log. It implements
// controlwatch.Configuration.
type replicatedConfiguration struct{}

// Version implements controlwatch.Configuration. No control host offers a higher version
// than this one, so the watcher never fetches.
func (c replicatedConfiguration) Version() uint64 { return ^uint64(0) }

// Offer implements controlwatch.Configuration.
func (c replicatedConfiguration) Offer(document.Document, string) error { return nil }

// Leads implements stagereconciler.Group.
func (m *membership) Leads() (uint64, bool) {
	status, ok := m.status()
	return status.Term, ok && status.Role == replica.RoleLeader
}

// Confirm implements stagereconciler.Group.
func (m *membership) Confirm(ctx context.Context) error {
	_, err := m.linearizableRead(ctx)
	return err
}

// leader returns the address of the group's leader, empty when unknown.
func (m *membership) leader() string {
	status, _ := m.status()
	return status.LeaderAddress
}
