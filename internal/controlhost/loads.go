package controlhost

import (
	"sync"
	"time"

	"filberthook/internal/controlapi"
)

// loadKept is how long the load of an entry host that reports no more counts.
const loadKept = 800 * time.Millisecond

// loads holds the work that entry hosts reported. It is lost with the process and
// complete again after one interval of reports.
type loads struct {
	mu    sync.Mutex
	hosts map[string]hostLoad
}

type hostLoad struct {
	report controlapi.LoadReport
	at     time.Time
}

// exchange takes the report of one host and returns the sum of all others.
func (l *loads) exchange(host string, report controlapi.LoadReport, now time.Time) controlapi.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[host] = hostLoad{report, now}
	sum := map[string][]int64{}
	for name, other := range l.hosts {
		if now.Sub(other.at) > loadKept {
			delete(l.hosts, name)
			continue
		}
		if name == host {
			continue
		}
		for id, tokens := range other.report.Tokens {
			sum[id] = add(sum[id], tokens)
		}
	}
	return controlapi.LoadReport{Tokens: sum}
}

// add returns the sums of two lists, of which the shorter one ends in zeros.
func add(a, b []int64) []int64 {
	for len(a) < len(b) {
		a = append(a, 0)
	}
	for i, v := range b {
		a[i] += v
	}
	return a
}
