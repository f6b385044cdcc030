package placement

import (
	"time"

	"filberthook/internal/engines/notice"
)

const (
	// peerRequestsTTL is how long the request rate of the other hosts is used after it was
	// reported. Without it all hosts have equal shares of a limit.
	peerRequestsTTL = 3 * time.Second
	// unlistedReportPeriod is how long an instance is reported that is not announced any more:
	// other hosts may still have it in their lists.
	unlistedReportPeriod = 10 * time.Second
	// maxShareFactor bounds a host's share of a limit, in multiples of an equal share: a
	// control host that is cut off from others knows only a part of the load.
	maxShareFactor = 3
)

// Hear records what an answer says about the instance that sent it, to a request that was
// sent at sentAt. It returns what this host did not know before.
func (f *Fleet) Hear(t Target, said notice.Notice, sentAt, now time.Time) notice.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.record(t.ID, t.Born); r != nil {
		return r.Hear(said, sentAt, now, f.random())
	}
	return 0
}

// Limit returns the requests per second that an instance takes from all hosts together, 0
// if it has named no limit.
func (f *Fleet) Limit(t Target) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.notices[t.ID]; r != nil && r.Born == t.Born {
		return r.Limit()
	}
	return 0
}

// RestrictedInstances returns how many announced instances have a limit, have asked this
// host for a pause or have said that they leave.
func (f *Fleet) RestrictedInstances(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, in := range f.byID {
		if in.notices.Restricted(now) {
			n++
		}
	}
	return n
}

// Notices returns what this host has heard that the other hosts should know.
func (f *Fleet) Notices(now time.Time) []notice.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []notice.Report
	for id, r := range f.notices {
		report, ok := r.Report(id, now)
		if ok && (f.byID[id] != nil || report.Age < unlistedReportPeriod) {
			out = append(out, report)
		}
	}
	return out
}

// LearnNotices records what other hosts have heard. It returns the reports that are news
// for this host.
func (f *Fleet) LearnNotices(reports []notice.Report, now time.Time) []notice.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []notice.Report
	for _, report := range reports {
		if r := f.record(report.Instance, report.Born); r != nil && r.Learn(report, now, f.random()) != 0 {
			news = append(news, report)
		}
	}
	return news
}

// Requests returns the rate of callers' requests at this host, by endpoint.
func (f *Fleet) Requests(now time.Time) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]float64, len(f.requests))
	for endpoint, d := range f.requests {
		out[endpoint] = d.value(now) / demandWindow.Seconds()
	}
	return out
}

// SetPeers sets the number of entry hosts, this one included and 0 if unknown.
func (f *Fleet) SetPeers(hosts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = hosts
}

// SetPeerRequests sets the summed request rates of the other hosts, by endpoint.
func (f *Fleet) SetPeerRequests(requests map[string]float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerRequests, f.peerRequestsAt = requests, now
}

// TakePermit reports whether a request that is no caller's, such as one that frees memory,
// may be sent to an instance now, and counts it if so.
func (f *Fleet) TakePermit(t Target, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.byID[t.ID]
	if in == nil || in.Born != t.Born {
		return true
	}
	if in.notices.Wait(f.limitShare(in.Endpoint, now), now) > 0 {
		return false
	}
	in.notices.Send()
	return true
}

// countRequest adds a caller's request to the rate of an endpoint. The caller holds f.mu.
func (f *Fleet) countRequest(endpoint string, now time.Time) {
	d := f.requests[endpoint]
	if d == nil {
		d = &decaying{}
		f.requests[endpoint] = d
	}
	d.add(1, now)
}

// limitShare returns the part of an instance's limit that this host may use: that of the
// endpoint's requests that callers send to this host, as callers spread unevenly. A host
// that does not know the others has none. The caller holds f.mu.
func (f *Fleet) limitShare(endpoint string, now time.Time) float64 {
	if f.hosts == 0 {
		return 0
	}
	equal := 1 / float64(f.hosts)
	own := f.requests[endpoint]
	if own == nil || now.Sub(f.peerRequestsAt) > peerRequestsTTL {
		return equal
	}
	rate := own.value(now) / demandWindow.Seconds()
	all := rate + f.peerRequests[endpoint]
	if all == 0 {
		return equal
	}
	return min(rate/all, maxShareFactor*equal, 1)
}

// record returns the record of one start of an instance, nil if a later start is known. The
// caller holds f.mu.
func (f *Fleet) record(id string, born int64) *notice.Record {
	r := f.notices[id]
	if r != nil && r.Born > born {
		return nil
	}
	if r == nil || r.Born < born {
		r = &notice.Record{Born: born}
		f.notices[id] = r
	}
	return r
}

// recordOf returns the record of an announced instance. The caller holds f.mu.
func (f *Fleet) recordOf(id string, born int64) *notice.Record {
	if r := f.record(id, born); r != nil {
		return r
	}
	return &notice.Record{Born: born}
}

// dropRecords deletes the records of instances that are not announced and have said nothing
// for long. The caller holds f.mu.
func (f *Fleet) dropRecords(now time.Time) {
	for id, r := range f.notices {
		if f.byID[id] == nil && r.Expired(now) {
			delete(f.notices, id)
		}
	}
}
