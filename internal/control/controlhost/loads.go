package controlhost

import (
	"slices"
	"sync"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/staging"
	"filberthook/internal/engines/quarantine"
)

// A report counts for reportLifetime times the interval that it announces plus
// reportGrace, which allows for one exchange that failed or was slow.
const (
	reportLifetime = 3
	reportGrace    = 400 * time.Millisecond
	// maxReportInterval bounds the interval that a report may announce.
	maxReportInterval = 10 * time.Second
	// expireLoadsInterval is the least time between two checks for expired reports.
	expireLoadsInterval = 200 * time.Millisecond
)

// loads holds the work and the cache updates that entry hosts report to this control host
// or, in digests, to the others. It is lost with the process; the work is complete again
// after one report interval.
type loads struct {
	mu      sync.Mutex
	hosts   reports // of entry hosts
	digests reports // of control hosts

	expiredAt time.Time // when expire last checked the reports

	epoch   string // of this control process
	updates updateLog
	notices notices

	quarantine *quarantine.Ledger
	grants     *quarantine.Grants
}

func newLoads(epoch string) *loads {
	return &loads{hosts: newReports(), digests: newReports(), epoch: epoch, notices: notices{byInstance: map[string]timedNotice{}},
		quarantine: quarantine.NewRelay(), grants: quarantine.NewGrants()}
}

// exchange stores the report of an entry host and returns the summed load of all others
// and their cache updates since the host's last report.
func (l *loads) exchange(host string, report controlapi.LoadReport, now time.Time) controlapi.LoadReport {
	report.Bound()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	l.hosts.remove(host)
	answer := controlapi.LoadReport{
		Tokens: make(map[string][]int64, len(l.hosts.total)), Requests: map[string]float64{}, UpdatesEpoch: l.epoch,
	}
	for _, r := range []*reports{&l.hosts, &l.digests} {
		r.addRequests(answer.Requests)
		for id, tokens := range r.total {
			answer.Tokens[id] = add(answer.Tokens[id], tokens, 1)
		}
	}
	l.hosts.add(host, report, now)
	answer.Updates, answer.UpdatesPosition = l.updates.since(host, l.positionOf(report)), l.updates.last
	l.updates.add(updateSource{host: host}, report.Updates, now)
	answer.Notices = l.notices.list(false, now)
	l.notices.add(report.Notices, false, now)
	l.learnEvidence(report.Evidence, now)
	answer.Evidence = l.evidence(now)
	return answer
}

// positionOf returns the position in the update log that a report's sender has reached.
func (l *loads) positionOf(report controlapi.LoadReport) uint64 {
	if report.UpdatesEpoch != l.epoch {
		return 0
	}
	return report.UpdatesPosition
}

// digest returns what the entry hosts have reported here, with the cache updates after a
// position. The second result is false while none has reported anything.
func (l *loads) digest(position uint64, now time.Time) (controlapi.LoadReport, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	out := controlapi.LoadReport{
		IntervalMS: digestInterval.Milliseconds(), Tokens: make(map[string][]int64, len(l.hosts.total)), Demand: l.hosts.demand(),
		Requests: map[string]float64{}, Notices: l.notices.list(true, now),
		Updates: l.updates.local(position), UpdatesPosition: l.updates.last, Evidence: l.evidence(now),
	}
	for id, tokens := range l.hosts.total {
		out.Tokens[id] = slices.Clone(tokens)
	}
	l.hosts.addRequests(out.Requests)
	return out, len(l.hosts.byName) > 0
}

// receiveDigest stores the digest of another control host.
func (l *loads) receiveDigest(control string, digest controlapi.LoadReport, now time.Time) {
	digest.Bound()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	l.digests.remove(control)
	l.digests.add(control, digest, now)
	l.updates.add(updateSource{host: control, remote: true}, digest.Updates, now)
	l.notices.add(digest.Notices, true, now)
	l.learnEvidence(digest.Evidence, now)
}

// expire removes reports whose lifetime has ended. The caller holds l.mu.
func (l *loads) expire(now time.Time) {
	if now.Sub(l.expiredAt) < expireLoadsInterval {
		return
	}
	l.expiredAt = now
	l.hosts.expire(now)
	l.digests.expire(now)
	l.notices.expire(now)
}

// Demand implements stagereconciler.Load: the sum of the demand in the current reports. The
// second result is false while no caller asks for anything.
func (l *loads) Demand() (map[string]staging.Demand, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(time.Now())
	sum := map[string]staging.Demand{}
	loaded := false
	for _, r := range []*reports{&l.hosts, &l.digests} {
		for endpoint, d := range r.demand() {
			sum[endpoint] = staging.Demand(controlapi.Demand(sum[endpoint]).Add(d))
			loaded = loaded || d.PromptTokens > 0
		}
	}
	if !loaded {
		clear(sum) // the demand is unknown before the first requests
	}
	return sum, loaded
}

// PromptBacklog implements capacityreconciler.Load: the prompt tokens that await prefill at an
// instance by the current reports.
func (l *loads) PromptBacklog(id string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := int64(0)
	for _, r := range []*reports{&l.hosts, &l.digests} {
		for _, tokens := range r.total[id] {
			sum += tokens
		}
	}
	return sum
}

// reports are the current reports of some hosts. A running total keeps the cost of a
// report independent of the number of hosts.
type reports struct {
	byName map[string]timedReport
	total  map[string][]int64 // prompt tokens of all, by instance and priority
}

type timedReport struct {
	report    controlapi.LoadReport // without cache updates, notices and evidence
	expiresAt time.Time
}

func newReports() reports {
	return reports{byName: map[string]timedReport{}, total: map[string][]int64{}}
}

// add stores a report of a host that has none.
func (r *reports) add(name string, report controlapi.LoadReport, now time.Time) {
	interval := min(time.Duration(report.IntervalMS)*time.Millisecond, maxReportInterval)
	report.Updates, report.Notices, report.Evidence = nil, nil, nil
	r.byName[name] = timedReport{report, now.Add(reportLifetime*interval + reportGrace)}
	for id, tokens := range report.Tokens {
		r.total[id] = add(r.total[id], tokens, 1)
	}
}

// remove deletes the report of a host and subtracts it from the total.
func (r *reports) remove(name string) {
	for id, tokens := range r.byName[name].report.Tokens {
		left := add(r.total[id], tokens, -1)
		if slices.Max(left) <= 0 {
			delete(r.total, id)
		} else {
			r.total[id] = left
		}
	}
	delete(r.byName, name)
}

func (r *reports) expire(now time.Time) {
	for name, other := range r.byName {
		if now.After(other.expiresAt) {
			r.remove(name)
		}
	}
}

// demand returns the summed demand by endpoint.
func (r *reports) demand() map[string]controlapi.Demand {
	sum := map[string]controlapi.Demand{}
	for _, other := range r.byName {
		for endpoint, d := range other.report.Demand {
			sum[endpoint] = sum[endpoint].Add(d)
		}
	}
	return sum
}

// addRequests adds the request rates of all reports to sum, by endpoint.
func (r *reports) addRequests(sum map[string]float64) {
	for _, other := range r.byName {
		for endpoint, rate := range other.report.Requests {
			sum[endpoint] += rate
		}
	}
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
