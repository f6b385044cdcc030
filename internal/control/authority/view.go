package authority

import (
	"context"
	"slices"
	"strings"

	"filberthook/internal/control/distribution"
	"filberthook/internal/engines/engineapi"
)

// View is one engine as the holder knows it.
type View struct {
	Ref         EngineRef
	State       engineapi.EngineState
	Known       bool   // State was read under the current lease
	Outstanding string // id of the order in progress, of any holder; empty when there is none
}

// Views returns all engines sorted by instance name. Without a valid lease no state
// is known.
func (m *Manager) Views() []View {
	grant, holding := m.holder.Grant()
	var views []View
	for _, rec := range m.all() {
		views = append(views, rec.view(holding, grant.Fence))
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.Ref.Instance, b.Ref.Instance) })
	return views
}

func (r *trackedEngine) view(holding bool, fence uint64) View {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := View{
		Ref:         r.engine.ref,
		State:       r.engine.state,
		Known:       holding && r.engine.stateFence == fence,
		Outstanding: r.engine.outstandingID(),
	}
	if v.Outstanding == "" {
		v.Outstanding = r.engine.state.Outstanding.ID
	}
	return v
}

// Reports returns the engines for the deployment's status, nil without a valid lease.
func (m *Manager) Reports() []distribution.EngineReport {
	if _, holding := m.holder.Grant(); !holding {
		return nil
	}
	reports := []distribution.EngineReport{}
	for _, v := range m.Views() {
		reports = append(reports, distribution.EngineReport{
			Instance:    v.Ref.Instance,
			Zone:        m.holder.settings.Zone,
			ChecksFence: v.Ref.ChecksFence,
			Draining:    v.Ref.Draining,
			State:       v.State,
		})
	}
	return reports
}

// Close releases the lease if no order is outstanding. Otherwise the lease expires,
// and the successor waits until the orders have settled.
func (m *Manager) Close(ctx context.Context) error {
	for _, rec := range m.all() {
		if err := rec.lock(ctx); err != nil {
			return err
		}
		defer rec.unlock()
		rec.mu.Lock()
		outstanding := rec.engine.order != nil
		rec.mu.Unlock()
		if outstanding {
			return nil
		}
	}
	return m.holder.Release(ctx)
}
