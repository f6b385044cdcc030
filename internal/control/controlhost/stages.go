package controlhost

import (
	"context"

	"filberthook/internal/control/stagereconciler"
	"filberthook/internal/control/staging"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/replica"
)

// keepStages gives the orders to engines while this host leads.
func (h *Host) keepStages(ctx context.Context) {
	keeper := &stagereconciler.Reconciler{
		Host:     h.settings.Host,
		Lease:    h.settings.Stages.Lease.Duration,
		Settings: staging.DefaultSettings(),
		Expected: staging.Demand{
			PromptTokens: h.settings.Stages.ExpectedPromptTokens,
			OutputTokens: h.settings.Stages.ExpectedOutputTokens,
		},
		Group:     h.member,
		Engines:   h.engines,
		Load:      &h.loads,
		Instances: h.view.Snapshot,
		Logger:    h.logger,
		Metrics:   h.metrics,
	}
	keeper.Run(ctx)
}

// ownConfiguration tells the watcher of a control host that it needs none: the
// replicated log brings it. It implements controlwatch.Configuration.
type ownConfiguration struct{}

// Version implements controlwatch.Configuration.
func (c ownConfiguration) Version() uint64 { return ^uint64(0) }

// Offer implements controlwatch.Configuration.
func (c ownConfiguration) Offer(document.Document, string) error { return nil }

// Leads implements stagereconciler.Group.
func (m *membership) Leads() (uint64, bool) {
	status, ok := m.status()
	return status.Term, ok && status.Role == replica.RoleLeader
}

// Confirm implements stagereconciler.Group.
func (m *membership) Confirm(ctx context.Context) error {
	_, err := m.barrier(ctx)
	return err
}

// leader returns the address of the group's leader, empty when unknown.
func (m *membership) leader() string {
	status, _ := m.status()
	return status.LeaderAddress
}
