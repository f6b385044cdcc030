package controlhost

import (
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/notice"
)

const (
	// noticeLifetime is how long a notice is passed on after a host has reported it. Hosts
	// repeat what holds in each report.
	noticeLifetime = 10 * time.Second
	// leavingLifetime replaces noticeLifetime for instances that leave, which is final: they
	// have ended by then.
	leavingLifetime = 5 * time.Minute
	// maxNotices bounds the notices that are kept: several times the instances of a large
	// deployment.
	maxNotices = 4096
)

// notices holds the newest notice of each instance that hosts have reported. The caller
// serializes access.
type notices struct {
	byInstance map[string]timedNotice
}

type timedNotice struct {
	report     notice.Report
	heardAt    time.Time // when the instance said it
	reportedAt time.Time
	remote     bool // reported by a control host, in a digest
}

// add takes over the reports that are newer than what is known.
func (n *notices) add(reports []notice.Report, remote bool, now time.Time) {
	for _, r := range reports {
		old, known := n.byInstance[r.Instance]
		heardAt := now.Add(-r.Age)
		switch {
		case known && (r.Born < old.report.Born || r.Born == old.report.Born && heardAt.Before(old.heardAt) && r.Limit != old.report.Limit):
			continue
		case !known && len(n.byInstance) >= maxNotices:
			continue
		}
		r.Leaving = r.Leaving || known && r.Born == old.report.Born && old.report.Leaving
		n.byInstance[r.Instance] = timedNotice{r, heardAt, now, remote}
	}
}

// Leaving implements stagereconciler.Load.
func (l *loads) Leaving(in instances.Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, known := l.notices.byInstance[in.ID]
	return known && t.report.Born == in.Born && t.report.Leaving
}

// Hear implements stagereconciler.Load. A limit is left to the hosts that send requests.
func (l *loads) Hear(in instances.Instance, said notice.Notice) {
	if !said.Leaving {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notices.add([]notice.Report{{Instance: in.ID, Born: in.Born, Leaving: true}}, false, time.Now())
}

// expire deletes what no host has reported for its lifetime.
func (n *notices) expire(now time.Time) {
	for id, t := range n.byInstance {
		lifetime := noticeLifetime
		if t.report.Leaving {
			lifetime = leavingLifetime
		}
		if now.Sub(t.reportedAt) > lifetime {
			delete(n.byInstance, id)
		}
	}
}

// list returns the notices; only those that entry hosts have reported here if local is set.
func (n *notices) list(local bool, now time.Time) []notice.Report {
	var out []notice.Report
	for _, t := range n.byInstance {
		if local && t.remote {
			continue
		}
		t.report.Age = now.Sub(t.heardAt)
		out = append(out, t.report)
	}
	return out
}
