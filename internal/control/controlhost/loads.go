package controlhost

import (
	"slices"
	"sync"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/staging"
)

// loadTTL is how long an entry host's load counts after its last report.
const loadTTL = 800 * time.Millisecond

// loads holds the work and the cache updates that entry hosts report. It is lost with the
// process; the work is complete again after one report interval.
type loads struct {
	mu    sync.Mutex
	hosts map[string]hostLoad
	total map[string][]int64 // prompt tokens of all hosts, by instance and priority

	expiredAt time.Time // when expire last checked the hosts

	epoch   string // of this control process
	updates updateLog
}

type hostLoad struct {
	report     controlapi.LoadReport
	receivedAt time.Time
}

// exchange stores the report of one host and returns the summed load of all others and
// their cache updates since the host's last report. A running total keeps its cost
// independent of the number of hosts.
func (l *loads) exchange(host string, report controlapi.LoadReport, now time.Time) controlapi.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	l.remove(host)
	answer := controlapi.LoadReport{Tokens: make(map[string][]int64, len(l.total)), UpdatesEpoch: l.epoch}
	for id, tokens := range l.total {
		answer.Tokens[id] = slices.Clone(tokens)
	}
	l.hosts[host] = hostLoad{report, now}
	for id, tokens := range report.Tokens {
		l.total[id] = add(l.total[id], tokens, 1)
	}
	from := report.UpdatesPosition
	if report.UpdatesEpoch != l.epoch {
		from = 0
	}
	answer.Updates = l.updates.since(host, from)
	l.updates.add(host, report.Updates, now)
	answer.UpdatesPosition = l.updates.last
	return answer
}

// expire removes hosts whose last report is older than loadTTL. It checks them at most
// once per quarter of loadTTL. The caller holds l.mu.
func (l *loads) expire(now time.Time) {
	if now.Sub(l.expiredAt) < loadTTL/4 {
		return
	}
	l.expiredAt = now
	for name, other := range l.hosts {
		if now.Sub(other.receivedAt) > loadTTL {
			l.remove(name)
		}
	}
}

// remove deletes a host and subtracts its report from the total. The caller holds l.mu.
func (l *loads) remove(host string) {
	for id, tokens := range l.hosts[host].report.Tokens {
		left := add(l.total[id], tokens, -1)
		if slices.Max(left) <= 0 {
			delete(l.total, id)
		} else {
			l.total[id] = left
		}
	}
	delete(l.hosts, host)
}

// Demand implements stagereconciler.Load: the sum of the demand in the hosts' current
// reports. The second result is false while no caller asks for anything.
func (l *loads) Demand() (map[string]staging.Demand, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := map[string]staging.Demand{}
	loaded := false
	for _, host := range l.hosts {
		if time.Since(host.receivedAt) > loadTTL {
			continue
		}
		for endpoint, d := range host.report.Demand {
			total := sum[endpoint]
			total.PromptTokens += d.PromptTokens
			total.OutputTokens += d.OutputTokens
			sum[endpoint] = total
			loaded = loaded || d.PromptTokens > 0
		}
	}
	if !loaded {
		clear(sum) // the demand is unknown before the first requests
	}
	return sum, loaded
}

// add returns a plus sign times b, element by element; the shorter list is padded with
// zeros. It may overwrite a.
func add(a, b []int64, sign int64) []int64 {
	for len(a) < max(len(b), 1) {
		a = append(a, 0)
	}
	for i, v := range b {
		a[i] += sign * v
	}
	return a
}
