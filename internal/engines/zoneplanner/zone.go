package zoneplanner

import (
	"slices"
	"time"

	"filberthook/internal/control/authority"
	"filberthook/internal/control/directory"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/engines/planner"
)

// zone is a snapshot of what is known about the zone's engines.
type zone struct {
	now     time.Duration
	records map[string]*directory.Record // engines of the zone, by instance
	others  []*directory.Record          // engines of other zones
	refs    []authority.EngineRef        // of the zone, sorted by instance
	views   []authority.View
}

// readZone reads the directory.
func (p *Planner) readZone(now time.Duration) *zone {
	z := &zone{now: now, records: make(map[string]*directory.Record)}
	for _, r := range p.instances.Snapshot().Records {
		a := &r.Announcement
		if a.Kind != engineapi.KindModel {
			continue
		}
		if a.Zone != p.settings.Zone {
			z.others = append(z.others, r)
			continue
		}
		z.records[a.Instance] = r
		z.refs = append(z.refs, authority.EngineRef{
			Instance:    a.Instance,
			Incarnation: a.Incarnation,
			Address:     a.Address,
			ChecksFence: a.ChecksFence,
			Draining:    a.Draining,
		})
	}
	return z
}

// observe returns what is known about one engine; present is false if it is no
// longer in the directory.
func (z *zone) observe(instance string) (o observation, present bool) {
	rec := z.records[instance]
	if rec == nil {
		return o, false
	}
	for _, v := range z.views {
		if v.Ref.Instance == instance {
			o.view = v
			o.known = v.Known
		}
	}
	load := &rec.Announcement.Load
	o.idle = load.Running == 0 && load.Queued == 0
	o.loadAt = rec.LoadAt
	return o, true
}

// engines returns the zone's engines as the planner sees them.
func (z *zone) engines(roleSince map[string]time.Duration) []planner.Engine {
	var out []planner.Engine
	for _, v := range z.views {
		rec := z.records[v.Ref.Instance]
		if rec == nil || !v.Known {
			continue
		}
		out = append(out, planner.Engine{
			Instance:    v.Ref.Instance,
			Incarnation: v.Ref.Incarnation,
			Role:        v.State.Role,
			Models:      v.State.Models,
			KVBlocks:    rec.Announcement.KVBlocks,
			Running:     rec.Announcement.Load.Running,
			Changing:    v.Outstanding != "",
			Draining:    v.Ref.Draining || v.State.Drained,
			RoleSince:   roleSince[v.Ref.Instance],
		})
	}
	return out
}

// reconcile returns the next change that brings an engine closer to its
// declaration.
func reconcile(z *zone, config *fleet.Snapshot) (plannedChange, bool) {
	for _, v := range z.views {
		declaration, ok := config.Declarations[v.Ref.Instance]
		if !ok || !v.Known || v.Outstanding != "" || v.Ref.Draining {
			continue
		}
		change, ok := nextOrder(&v.State, declaration.Models)
		if !ok || !z.servedElsewhere(v.Ref.Instance, &v.State) {
			continue
		}
		return plannedChange{
			instance:    v.Ref.Instance,
			incarnation: v.Ref.Incarnation,
			change:      change,
			reason:      "the declaration differs from the models that the engine has loaded",
		}, true
	}
	return plannedChange{}, false
}

// nextOrder returns the first order needed to reach a declaration. Models are
// loaded before others are unloaded.
func nextOrder(state *engineapi.EngineState, declared []engineapi.Model) (authority.Change, bool) {
	for _, m := range declared {
		if !hasModel(state.Models, m) {
			return authority.Change{Kind: engineapi.OrderLoadModel, Model: m}, true
		}
	}
	for _, m := range state.Models {
		wanted := slices.ContainsFunc(declared, func(d engineapi.Model) bool { return d.Name == m.Name })
		if !wanted {
			return authority.Change{Kind: engineapi.OrderUnloadModel, Model: m}, true
		}
	}
	return authority.Change{}, false
}

// servedElsewhere reports whether each model of the engine is served by another engine,
// in any zone, so that the models stay served during a change.
func (z *zone) servedElsewhere(instance string, state *engineapi.EngineState) bool {
	for _, m := range state.Models {
		if !z.servedWithout(instance, m.Name) {
			return false
		}
	}
	return true
}

func (z *zone) servedWithout(instance, model string) bool {
	serves := func(r *directory.Record) bool {
		a := &r.Announcement
		hasModel := slices.ContainsFunc(a.State.Models, func(m engineapi.Model) bool { return m.Name == model })
		return a.Instance != instance && hasModel && !a.Draining && !a.State.Drained
	}
	for _, r := range z.records {
		if serves(r) {
			return true
		}
	}
	return slices.ContainsFunc(z.others, serves)
}
