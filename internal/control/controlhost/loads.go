package controlhost

import (
	"slices"
	"sync"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/staging"
)

// loadKept is how long the load of an entry host that reports no more counts.
const loadKept = 800 * time.Millisecond

// loads holds the work that entry hosts reported. It is lost with the process and
// complete again after one interval of reports.
type loads struct {
	mu    sync.Mutex
	hosts map[string]hostLoad
	total map[string][]int64 // of all hosts, by instance and priority

	expired time.Time // when hosts were last looked over

	epoch string // of this control process
	news  board
}

type hostLoad struct {
	report controlapi.LoadReport
	at     time.Time
}

// exchange takes the report of one host and returns the sum of all others. Its cost
// does not grow with the number of hosts: a running total is kept.
func (l *loads) exchange(host string, report controlapi.LoadReport, now time.Time) controlapi.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	l.forget(host)
	answer := controlapi.LoadReport{Tokens: make(map[string][]int64, len(l.total)), NewsEpoch: l.epoch}
	for id, tokens := range l.total {
		answer.Tokens[id] = slices.Clone(tokens)
	}
	l.hosts[host] = hostLoad{report, now}
	for id, tokens := range report.Tokens {
		l.total[id] = add(l.total[id], tokens, 1)
	}
	from := report.NewsPosition
	if report.NewsEpoch != l.epoch {
		from = 0
	}
	answer.Held = l.news.since(host, from)
	l.news.add(host, report.Held, now)
	answer.NewsPosition = l.news.last
	return answer
}

// expire forgets the hosts that report no more, from time to time. The caller holds l.mu.
func (l *loads) expire(now time.Time) {
	if now.Sub(l.expired) < loadKept/4 {
		return
	}
	l.expired = now
	for name, other := range l.hosts {
		if now.Sub(other.at) > loadKept {
			l.forget(name)
		}
	}
}

// forget takes a host's report out of the total. The caller holds l.mu.
func (l *loads) forget(host string) {
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

// Demand implements stagereconciler.Load: the sum of what the hosts reported lately. It is
// loaded once callers ask for anything.
func (l *loads) Demand() (map[string]staging.Demand, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := map[string]staging.Demand{}
	loaded := false
	for _, host := range l.hosts {
		if time.Since(host.at) > loadKept {
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
		clear(sum) // nothing is known before the first requests
	}
	return sum, loaded
}

// add adds a list to another, each value times sign. The shorter one ends in zeros.
func add(a, b []int64, sign int64) []int64 {
	for len(a) < max(len(b), 1) {
		a = append(a, 0)
	}
	for i, v := range b {
		a[i] += sign * v
	}
	return a
}
