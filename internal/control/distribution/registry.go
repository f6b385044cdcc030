package distribution

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxHosts is the maximum number of hosts whose reports a replica keeps.
const maxHosts = 4096

// HostReport is the newest report of a host that a replica has received.
type HostReport struct {
	Host     string        `json:"host"`
	Zone     string        `json:"zone"`
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"age"`     // since the report, by the replica's clock
	Replica  string        `json:"replica"` // host name of the replica

	Engines    []EngineReport `json:"engines,omitempty"` // last report of engines
	EnginesAge time.Duration  `json:"engines_age,omitempty"`
}

// Live reports whether the host counts as live.
func (r HostReport) Live() bool { return r.Age <= LiveFor }

// Registry keeps the reports that reach one replica. It is safe for concurrent
// use.
type Registry struct {
	clock   Clock
	replica string

	mu    sync.Mutex
	hosts map[string]hostRecord // by host name, at most maxHosts
}

type hostRecord struct {
	report    HostReport
	at        time.Duration
	enginesAt time.Duration // of report.Engines
}

// NewRegistry returns an empty registry; replica is the host name of the replica that keeps
// it.
func NewRegistry(clock Clock, replica string) *Registry {
	return &Registry{clock: clock, replica: replica, hosts: map[string]hostRecord{}}
}

// Report records the revision in force at a host. Nil engines keep the last report of
// engines. Once maxHosts are known, reports of further hosts are dropped.
func (r *Registry) Report(host, zone string, revision uint64, engines []EngineReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.hosts[host]
	if !known && len(r.hosts) >= maxHosts {
		return
	}
	now := r.clock()
	enginesAt := now
	if engines == nil {
		engines, enginesAt = old.report.Engines, old.enginesAt
	}
	r.hosts[host] = hostRecord{
		report:    HostReport{Host: host, Zone: zone, Revision: revision, Replica: r.replica, Engines: engines},
		at:        now,
		enginesAt: enginesAt,
	}
}

// Reports returns the reports of the last ForgetAfter and removes older ones.
func (r *Registry) Reports() []HostReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	maps.DeleteFunc(r.hosts, func(_ string, rec hostRecord) bool { return now-rec.at > ForgetAfter })
	all := make([]HostReport, 0, len(r.hosts))
	for _, rec := range r.hosts {
		report := rec.report
		report.Age = now - rec.at
		report.EnginesAge = now - rec.enginesAt
		all = append(all, report)
	}
	return all
}

// Merge returns the newest report of each host, sorted by host name.
func Merge(lists ...[]HostReport) []HostReport {
	newest := map[string]HostReport{}
	for _, report := range slices.Concat(lists...) {
		if old, ok := newest[report.Host]; !ok || report.Age < old.Age {
			newest[report.Host] = report
		}
	}
	return slices.SortedFunc(maps.Values(newest), func(a, b HostReport) int {
		return strings.Compare(a.Host, b.Host)
	})
}
