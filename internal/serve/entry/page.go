package entry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"filberthook/internal/control/directory"
	"filberthook/internal/control/statuspage"
)

// page collects the contents of the status page.
func (n *Node) page() statuspage.Page {
	config := n.config.Status()
	p := statuspage.Page{
		Host:      n.settings.Host,
		Zone:      n.settings.Zone,
		Ready:     "ready",
		Uptime:    time.Since(n.started),
		Revision:  config.Revision,
		ConfigAge: config.Age,
		InFlight:  n.callers.Stop.InFlight(),
		Waiting:   n.sched.Waiting(),
	}
	if reason := n.notReady(); reason != "" {
		p.Ready = reason
	}
	for _, m := range n.gossip.Members() {
		p.Hosts = append(p.Hosts, statuspage.Host{Name: m.Name, Zone: m.Zone, State: m.State.String()})
	}
	for _, r := range n.dir.Snapshot().Records {
		p.Instances = append(p.Instances, n.pageInstance(r))
	}
	p.Endpoints = n.pageEndpoints()
	planner := n.zonePlanner.planner.Status()
	p.Planner = statuspage.Planner{
		Holding: planner.Holding,
		Outcome: string(planner.Plan.Outcome),
		Change:  planner.Change,
		Step:    planner.Step,
	}
	for _, t := range n.counters.Refusals() {
		p.Refusals = append(p.Refusals, statuspage.Count(t))
	}
	for _, t := range n.counters.Retries() {
		p.Retries = append(p.Retries, statuspage.Count(t))
	}
	return p
}

func (n *Node) pageInstance(r *directory.Record) statuspage.Instance {
	a := &r.Announcement
	state := "ready"
	switch {
	case a.Draining || a.State.Drained:
		state = "draining"
	case a.State.Outstanding.ID != "":
		state = "changing"
	}
	var models []string
	for _, m := range a.State.Models {
		models = append(models, m.Name+" "+m.Version)
	}
	return statuspage.Instance{
		Name:       a.Instance,
		Zone:       a.Zone,
		Kind:       string(a.Kind),
		Role:       string(a.State.Role),
		Models:     strings.Join(models, ", "),
		Address:    a.Address,
		Running:    a.Load.Running,
		Queued:     a.Load.Queued,
		UsedPieces: a.Load.UsedKVBlocks,
		Pieces:     a.KVBlocks,
		LoadAge:    n.now() - r.LoadAt,
		State:      state,
	}
}

func (n *Node) pageEndpoints() []statuspage.Endpoint {
	endpoints := n.config.Snapshot().Endpoints
	var out []statuspage.Endpoint
	for _, name := range slices.Sorted(maps.Keys(endpoints)) {
		e := endpoints[name]
		out = append(out, statuspage.Endpoint{
			Name:       name,
			Owner:      e.Owner,
			Kind:       string(e.Kind),
			Model:      strings.Trim(e.Model+" "+e.Version, " "),
			Repeatable: e.Repeatable,
			Teams:      e.Teams(),
		})
	}
	return out
}
