package operator

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/control/distribution"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/process/pause"
)

// Limits on reads.
const (
	maxStatusWait  = 20 * time.Second
	statusInterval = 100 * time.Millisecond
	defaultAudit   = 100
)

// GetConfiguration implements the schema's GetConfiguration.
func (s *Service) GetConfiguration(context.Context, *connect.Request[filberthookv1.GetConfigurationRequest]) (*connect.Response[filberthookv1.GetConfigurationResponse], error) {
	return connect.NewResponse(&filberthookv1.GetConfigurationResponse{
		Configuration: configurationOf(s.state.Configuration()),
	}), nil
}

// ListAudit implements the schema's ListAudit.
func (s *Service) ListAudit(_ context.Context, req *connect.Request[filberthookv1.ListAuditRequest]) (*connect.Response[filberthookv1.ListAuditResponse], error) {
	limit := int(req.Msg.Limit)
	if limit <= 0 {
		limit = defaultAudit
	}
	resp := &filberthookv1.ListAuditResponse{}
	for _, e := range s.state.Audit(limit) {
		resp.Entries = append(resp.Entries, &filberthookv1.AuditEntry{
			Revision:     e.Revision,
			ChangeId:     e.ChangeID,
			Operator:     e.Operator,
			AcceptedAtMs: e.AtMillis,
			Summary:      e.Summary,
		})
	}
	return connect.NewResponse(resp), nil
}

// GetStatus implements the schema's GetStatus.
func (s *Service) GetStatus(ctx context.Context, req *connect.Request[filberthookv1.GetStatusRequest]) (*connect.Response[filberthookv1.GetStatusResponse], error) {
	wait := min(time.Duration(req.Msg.WaitMs)*time.Millisecond, maxStatusWait)
	deadline := s.settings.Now().Add(wait)
	for {
		resp := s.status(ctx, req.Msg.WaitRevision)
		if resp.InForce || !s.settings.Now().Before(deadline) || !pause.For(ctx, statusInterval) {
			resp.Stale = callerOf(ctx).stale
			return connect.NewResponse(resp), nil
		}
	}
}

func (s *Service) status(ctx context.Context, wanted uint64) *filberthookv1.GetStatusResponse {
	reports, unreachable := s.hosts.Reports(ctx)
	resp := &filberthookv1.GetStatusResponse{
		Revision:            s.state.Configuration().Revision,
		Leader:              s.group.Leader(),
		UnreachableReplicas: unreachable,
		Replica:             s.settings.Replica,
		InForce:             true,
	}
	if wanted == 0 {
		wanted = resp.Revision
	}
	for _, r := range reports {
		h := hostStatusOf(r, wanted)
		resp.Hosts = append(resp.Hosts, h)
		if h.Live && !h.Applied {
			resp.InForce = false
		}
	}
	resp.Leases = s.leases()
	return resp
}

func hostStatusOf(r distribution.HostReport, wanted uint64) *filberthookv1.HostStatus {
	return &filberthookv1.HostStatus{
		Host:     r.Host,
		Zone:     r.Zone,
		Revision: r.Revision,
		AgeMs:    r.Age.Milliseconds(),
		Replica:  r.Replica,
		Live:     r.Live(),
		Applied:  r.Revision >= wanted,
	}
}

func (s *Service) leases() []*filberthookv1.LeaseStatus {
	var all []*filberthookv1.LeaseStatus
	for _, l := range s.state.Leases() {
		status := &filberthookv1.LeaseStatus{Zone: l.Scope, Fence: l.Fence}
		if !l.Released {
			status.Holder = l.Holder.Host
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b *filberthookv1.LeaseStatus) int { return strings.Compare(a.Zone, b.Zone) })
	return all
}

// ListEngines implements the schema's ListEngines.
func (s *Service) ListEngines(ctx context.Context, _ *connect.Request[filberthookv1.ListEnginesRequest]) (*connect.Response[filberthookv1.ListEnginesResponse], error) {
	reports, _ := s.hosts.Reports(ctx)
	engines := map[string]*filberthookv1.EngineStatus{}
	for _, r := range reports {
		for _, e := range r.Engines {
			known, ok := engines[e.Instance]
			if !ok || r.EnginesAge.Milliseconds() < known.AgeMs {
				engines[e.Instance] = engineStatusOf(e, r.EnginesAge)
			}
		}
	}
	addDeclarations(engines, s.state.Configuration().Declarations)
	resp := &filberthookv1.ListEnginesResponse{Engines: slices.SortedFunc(maps.Values(engines),
		func(a, b *filberthookv1.EngineStatus) int { return strings.Compare(a.Engine, b.Engine) })}
	return connect.NewResponse(resp), nil
}

func engineStatusOf(e distribution.EngineReport, age time.Duration) *filberthookv1.EngineStatus {
	return &filberthookv1.EngineStatus{
		Engine:           e.Instance,
		Zone:             e.Zone,
		Role:             string(e.State.Role),
		Carried:          modelsOf(e.State.Models),
		ChecksFence:      e.ChecksFence,
		Fence:            e.State.Fence,
		OutstandingOrder: e.State.Outstanding.ID,
		LastOrder:        string(e.State.LastOrder.Phase),
		Draining:         e.Draining,
		AgeMs:            age.Milliseconds(),
	}
}

// addDeclarations adds the models that each engine should have loaded. A declared engine
// that no planner has reported gets the age -1.
func addDeclarations(engines map[string]*filberthookv1.EngineStatus, declarations map[string]fleet.Declaration) {
	for name, d := range declarations {
		e, ok := engines[name]
		if !ok {
			e = &filberthookv1.EngineStatus{Engine: name, AgeMs: -1}
			engines[name] = e
		}
		e.Declared = modelsOf(d.Models)
	}
}
