package placement

import (
	"time"

	"filberthook/internal/engines/notice"
)

// Ejection times: a failed instance gets no requests for this long.
const (
	// firstEjection outlasts a dropped packet but not a crash.
	firstEjection = 400 * time.Millisecond
	// maxEjection bounds the doubling, so that a recovered instance is soon used again.
	maxEjection = 4 * time.Second
	// fullEjection lets an instance without free slots work off part of its queue.
	fullEjection = 150 * time.Millisecond
	// maxDoublings bounds the growth of an ejection after consecutive refusals or failures:
	// an engine that changes its stage refuses requests for seconds.
	maxDoublings = 4
	// replacedEjection lasts until the next heartbeat reports the instance's new state.
	replacedEjection = 800 * time.Millisecond
	// failureHalfLife is the half-life of an instance's failure rate.
	failureHalfLife = 5 * time.Second
)

// Outcome is the result of sending a request to an instance.
type Outcome uint8

const (
	Answered  Outcome = iota
	Failed            // error response or invalid answer
	Full              // refused: no free slot, the request was not run
	NoContact         // connection failed or broke
	Silent            // no data from the instance, for this request or any other
	Replaced          // address now belongs to another instance, or the stage changed
	Canceled          // caller left or deadline passed: says nothing about the instance
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "full", "no_contact", "silent", "replaced", "cut"}[o]
}

// recordOutcome updates the instance's health with an outcome. The caller holds f.mu.
func (in *instance) recordOutcome(o Outcome, now time.Time) {
	switch o {
	case Answered:
		in.contactFailures, in.fullResponses = 0, 0
		in.failureRate.add(0, now)
	case Failed:
		in.failureRate.add(1, now)
	case Full:
		in.fullResponses++
		in.eject(now, min(fullEjection<<min(in.fullResponses-1, maxDoublings), maxEjection))
	case Replaced:
		in.eject(now, replacedEjection)
	case NoContact, Silent:
		in.failureRate.add(1, now)
		in.contactFailures++
		in.eject(now, min(firstEjection<<min(in.contactFailures-1, maxDoublings), maxEjection))
	case Canceled:
	}
}

func (in *instance) eject(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(in.ejectedUntil) {
		in.ejectedUntil = until
	}
}

// NoteSilent records that an instance has a request and is silent. Its request may go on.
func (f *Fleet) NoteSilent(id string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if in := f.byID[id]; in != nil {
		in.recordOutcome(Silent, now)
		f.recordZoneOutcome(in.Zone, Silent, now)
	}
}

// zoneHealth is the state of this host's network path to an availability zone.
type zoneHealth struct {
	failures     int       // consecutive contact failures, of any instance of the zone
	avoidedUntil time.Time // no requests to the zone before this time
}

const (
	// zoneFailureThreshold is the number of consecutive contact failures after which the
	// path to the zone is taken to be down, rather than single instances.
	zoneFailureThreshold = 3
	// zoneAvoidance is how long an unreachable zone is avoided before the next attempt.
	zoneAvoidance = time.Second
)

// recordZoneOutcome updates the health of the path to a zone with an outcome. The caller
// holds f.mu.
func (f *Fleet) recordZoneOutcome(zone string, o Outcome, now time.Time) {
	z := f.zones[zone]
	if z == nil {
		z = &zoneHealth{}
		f.zones[zone] = z
	}
	switch o {
	case Answered, Failed, Full, Replaced:
		*z = zoneHealth{}
	case NoContact, Silent:
		z.failures++
		if z.failures >= zoneFailureThreshold {
			z.avoidedUntil = now.Add(zoneAvoidance)
		}
	case Canceled:
	}
}

func (f *Fleet) avoidsZone(zone string, now time.Time) bool {
	z := f.zones[zone]
	return z != nil && z.avoidedUntil.After(now)
}

// available returns the instances that may get a request: neither excluded nor ejected
// nor in an avoided zone, and not leaving, paused or beyond the limit that it has named. If
// there are none, it returns the ejected and avoided ones that take requests by their notices.
func (f *Fleet) available(list []*instance, excluded map[string]bool, now time.Time) []*instance {
	var out, ejected []*instance
	for _, in := range list {
		switch {
		case excluded[in.ID], f.wait(in, now) > 0:
		case in.ejectedUntil.After(now), f.avoidsZone(in.Zone, now):
			ejected = append(ejected, in)
		default:
			out = append(out, in)
		}
	}
	if len(out) == 0 {
		return ejected
	}
	return out
}

// wait returns how long an instance takes no request of this host by what it has said, or
// notice.Never. The caller holds f.mu.
func (f *Fleet) wait(in *instance, now time.Time) time.Duration {
	if !in.notices.Restricted(now) {
		return 0
	}
	return in.notices.Wait(f.limitShare(in.Endpoint, now), now)
}

// noInstance explains why no instance of an endpoint can take a request. The caller holds
// f.mu.
func (f *Fleet) noInstance(endpoint string, excluded map[string]bool, now time.Time) error {
	e := &NoInstanceError{Endpoint: endpoint, Known: len(f.byEndpoint[endpoint]), Excluded: len(excluded)}
	for _, in := range f.byEndpoint[endpoint] {
		wait := f.wait(in, now)
		if wait == 0 || wait == notice.Never || excluded[in.ID] {
			continue
		}
		if e.Later == 0 || wait < e.Wait {
			e.Wait = wait
		}
		e.Later++
	}
	return e
}

// Progress records that data arrived from an instance.
func (f *Fleet) Progress(id string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if in := f.byID[id]; in != nil {
		in.lastProgress = now
	}
}

// ProgressSince reports whether data arrived from an instance after a time.
func (f *Fleet) ProgressSince(id string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.byID[id]
	return in != nil && in.lastProgress.After(since)
}
