package experiment

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/routing"
)

// sim is one run of one policy on one trace.
type sim struct {
	scenario *Scenario
	clock    clock
	rng      *rand.Rand
	models   []engineapi.Model
	workers  []*worker
	byName   map[string]*worker
	services []*service
	entries  [][]*entry // by zone
	jobs     []*job
	record   *record
}

// drainTime is how long a run continues after its last arrival, so that answers in progress
// can end.
const drainTime = 60 * time.Second

// runOne runs one policy on one trace.
func runOne(s *Scenario, trace []arrival, p Policy, seed uint64) *record {
	m := &sim{
		scenario: s,
		rng:      rand.New(rand.NewPCG(seed, 99)),
		models:   []engineapi.Model{{Name: modelName, Version: "1"}},
		byName:   make(map[string]*worker),
	}
	m.record = newRecord(m)
	m.build(p)
	for i := range trace {
		a := &trace[i]
		m.clock.at(a.at, func() { m.arrive(a) })
	}
	for _, e := range s.Events {
		m.clock.at(e.At.Duration, func() { m.applyEvent(e) })
	}
	end := s.Duration.Duration + drainTime
	m.clock.every(time.Second, end, m.record.sample)
	p.start(m, end)
	m.clock.run(end)
	m.record.close()
	return m.record
}

// build creates the engines, service instances and entry hosts.
func (m *sim) build(p Policy) {
	for zone := range m.scenario.Fleet.Zones {
		z := &m.scenario.Fleet.Zones[zone]
		for i := range z.engines() {
			role := engineapi.RoleDecode
			if i < z.Prefill {
				role = engineapi.RolePrefill
			}
			w := newWorker(m, fmt.Sprintf("%s-engine%d", z.Name, i), zone, p.role(role))
			m.workers = append(m.workers, w)
			m.byName[w.name] = w
		}
		for i := range z.Services {
			m.services = append(m.services, &service{sim: m, name: fmt.Sprintf("%s-service%d", z.Name, i), zone: zone, alive: true})
		}
	}
	for zone := range m.scenario.Fleet.Zones {
		m.entries = append(m.entries, m.buildEntries(p, zone))
	}
}

func (m *sim) buildEntries(p Policy, zone int) []*entry {
	var out []*entry
	fleet := &m.scenario.Fleet
	end := m.scenario.Duration.Duration + drainTime
	for i := range fleet.EntriesPerZone {
		e := &entry{sim: m, zone: zone, alive: true, name: entryName(fleet, zone, i)}
		e.placer = p.newPlacer(e)
		e.refreshView()
		poll := fleet.Lags.Poll.Duration
		first := time.Duration(m.rng.Int64N(int64(poll)))
		m.clock.after(first, func() { m.clock.every(poll, end, e.refreshView) })
		out = append(out, e)
	}
	return out
}

// entryName returns the name of an entry host.
func entryName(fleet *Fleet, zone, i int) string {
	return fmt.Sprintf("%s-entry%02d", fleet.Zones[zone].Name, i)
}

// arrive hands a request to the entry host that the load balancer has chosen or, if that host
// has stopped, to its counterpart in the next zone whose entry hosts run.
func (m *sim) arrive(a *arrival) {
	e := m.entries[a.zone][a.entry]
	for step := 1; !e.alive && step < len(m.entries); step++ {
		e = m.entries[(a.zone+step)%len(m.entries)][a.entry]
	}
	j := &job{id: len(m.jobs), arrival: a, workload: &m.scenario.Fleet.Workloads[a.workload], entry: e}
	m.jobs = append(m.jobs, j)
	e.placer.arrive(j)
}

// applyEvent applies a fleet event. An engine event takes an engine of the event's role or
// a mixed one if possible, otherwise any live engine of the zone that is not withdrawn.
func (m *sim) applyEvent(ev FleetEvent) {
	zone := m.scenario.zone(ev.Zone)
	if ev.Kind == EventZoneLost {
		m.loseZone(zone)
		return
	}
	at := slices.IndexFunc(m.workers, func(w *worker) bool {
		return w.zone == zone && w.alive && !w.withdrawn && !w.changing && (w.role == ev.Role || w.role == engineapi.RoleMixed)
	})
	if at < 0 {
		at = slices.IndexFunc(m.workers, func(w *worker) bool { return w.zone == zone && w.alive && !w.withdrawn })
	}
	if at < 0 {
		return
	}
	if ev.Kind == EventCrash {
		m.workers[at].stop()
		return
	}
	m.workers[at].withdraw()
}

func (m *sim) loseZone(zone int) {
	for _, e := range m.entries[zone] {
		e.alive = false
	}
	for _, w := range m.workers {
		if w.zone == zone {
			w.stop()
		}
	}
	for _, v := range m.services {
		if v.zone == zone {
			v.alive = false
		}
	}
}

// zoneAlive reports whether the entry hosts of a zone run; they only stop together.
func (m *sim) zoneAlive(zone int) bool { return m.entries[zone][0].alive }

func (m *sim) targets(j *job) *routing.Targets {
	return m.scenario.Fleet.Routing.Targets.Of(j.workload.Class)
}

func (m *sim) service(name string) *service {
	for _, v := range m.services {
		if v.name == name {
			return v
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
