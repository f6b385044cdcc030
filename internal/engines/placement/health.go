package placement

import "time"

// Times without requests for an instance that failed.
const (
	// firstEjection is longer than a dropped packet and shorter than a crash.
	firstEjection = 400 * time.Millisecond
	// maxEjection bounds the doubling, so that an instance that is back is found soon.
	maxEjection = 4 * time.Second
	// fullEjection lets an instance that had no room work off a part of its queue.
	fullEjection = 150 * time.Millisecond
	// maxDoublings bounds the growth of the pause after refusals in a row: an engine
	// that changes its stage refuses for seconds.
	maxDoublings = 4
	// replacedEjection lasts until the next heartbeat tells what the instance is now.
	replacedEjection = 800 * time.Millisecond
	// failureHalfLife is how fast failures are forgotten.
	failureHalfLife = 5 * time.Second
)

// Outcome is how an instance treated a request.
type Outcome uint8

const (
	Answered  Outcome = iota
	Failed            // it answered that it failed, or its answer was no good
	Full              // it had no room and did not run the request
	NoContact         // no connection, or it broke
	Silent            // nothing came from it, for this request or any other
	Replaced          // another instance answers at its address, or it changed its stage
	Canceled          // the caller left or the time was over: nothing is known
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "full", "no_contact", "silent", "replaced", "cut"}[o]
}

// recordOutcome takes an outcome. The caller holds f.mu.
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
		in.eject(now, min(firstEjection<<(in.contactFailures-1), maxEjection))
	case Canceled:
	}
}

func (in *instance) eject(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(in.ejectedUntil) {
		in.ejectedUntil = until
	}
}

// zoneHealth is what this host knows of its path to an availability zone.
type zoneHealth struct {
	failures     int       // in a row, of any instance of the zone
	avoidedUntil time.Time // the zone gets no request before
}

const (
	// zoneFailureThreshold is how many failed contacts in a row speak for a cut path to a
	// zone rather than for single instances that are down.
	zoneFailureThreshold = 3
	// zoneAvoidance is how long a zone without contact is left out before the next try.
	zoneAvoidance = time.Second
)

// recordZoneOutcome takes an outcome as a sign of the path to a zone. The caller holds f.mu.
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

// available returns the instances that may get a request: neither excluded nor
// ejected, in zones that are not avoided. When there is none, one of the ejected must
// be tried.
func (f *Fleet) available(list []*instance, excluded map[string]bool, now time.Time) []*instance {
	var out, ejected []*instance
	for _, in := range list {
		switch {
		case excluded[in.ID]:
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

// Progress notes that something came from an instance.
func (f *Fleet) Progress(id string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if in := f.byID[id]; in != nil {
		in.lastProgress = now
	}
}

// ProgressSince reports whether anything came from an instance after a time.
func (f *Fleet) ProgressSince(id string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.byID[id]
	return in != nil && in.lastProgress.After(since)
}
