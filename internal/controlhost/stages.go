package controlhost

import (
	"context"
	"net"
	"strconv"

	"golang.org/x/sync/errgroup"

	"filberthook/internal/controlwatch"
	"filberthook/internal/document"
	"filberthook/internal/instances"
	"filberthook/internal/stagekeeper"
	"filberthook/internal/staging"
)

// keepStages runs the orders to engines and the view of instances that they need:
// each control host hears a part of the heartbeats only.
func (h *Host) keepStages(ctx context.Context, tasks *errgroup.Group) {
	view := instances.NewView(h.settings.Heartbeat.Duration)
	watcher := controlwatch.NewObserver(h.rpc, view, ownConfiguration{h}, h.logger)
	keeper := &stagekeeper.Keeper{
		Host:     h.settings.Host,
		Lease:    h.settings.Stages.Lease.Duration,
		Settings: staging.DefaultSettings(),
		Expected: staging.Demand{
			PromptTokens: h.settings.Stages.ExpectedPromptTokens,
			OutputTokens: h.settings.Stages.ExpectedOutputTokens,
		},
		Group:    h.member,
		Engines:  h.engines,
		Load:     &h.loads,
		Instance: view.Snapshot,
		Logger:   h.logger,
		Metrics:  h.metrics,
	}
	tasks.Go(func() error { watcher.Run(ctx, h.peers); return nil })
	tasks.Go(func() error { keeper.Run(ctx); return nil })
}

// peers returns the seeds' hosts at the port for other hosts.
func (h *Host) peers() []string {
	var out []string
	for _, seed := range h.seeds() {
		if ip, _, err := net.SplitHostPort(seed); err == nil { // the settings were checked
			out = append(out, net.JoinHostPort(ip, strconv.Itoa(int(h.peerPort))))
		}
	}
	return out
}

// ownConfiguration tells the watcher of a control host that it needs none: the
// replicated log brings it. It implements controlwatch.Configuration.
type ownConfiguration struct{ host *Host }

// Version implements controlwatch.Configuration.
func (c ownConfiguration) Version() uint64 { return ^uint64(0) }

// Offer implements controlwatch.Configuration.
func (c ownConfiguration) Offer(document.Document, string) error { return nil }

// Leads implements stagekeeper.Group.
func (m *membership) Leads() (uint64, bool) {
	status, ok := m.status()
	return status.Term, ok && status.Role == leaderRole
}

// Confirm implements stagekeeper.Group.
func (m *membership) Confirm(ctx context.Context) error {
	_, err := m.barrier(ctx)
	return err
}

// leader returns the address of the group's leader, empty when unknown.
func (m *membership) leader() string {
	status, _ := m.status()
	return status.LeaderAddress
}
