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
	Cut               // the caller left or the time was over: nothing is known
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "full", "no_contact", "silent", "replaced", "cut"}[o]
}

// judge takes an outcome. The caller holds f.mu.
func (in *instance) judge(o Outcome, now time.Time) {
	switch o {
	case Answered:
		in.strikes = 0
		in.failures.add(0, now)
	case Failed:
		in.failures.add(1, now)
	case Full:
		in.eject(now, fullEjection)
	case Replaced:
		in.eject(now, replacedEjection)
	case NoContact, Silent:
		in.failures.add(1, now)
		in.strikes++
		in.eject(now, min(firstEjection<<(in.strikes-1), maxEjection))
	case Cut:
	}
}

func (in *instance) eject(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(in.ejected) {
		in.ejected = until
	}
}

// available returns the instances that may get a request: neither excluded nor
// ejected. When all are ejected, they all may, as one of them must be tried.
func available(list []*instance, excluded map[string]bool, now time.Time) []*instance {
	var out, ejected []*instance
	for _, in := range list {
		switch {
		case excluded[in.ID]:
		case in.ejected.After(now):
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
	if in := f.known[id]; in != nil {
		in.progress = now
	}
}

// ProgressSince reports whether anything came from an instance after a time.
func (f *Fleet) ProgressSince(id string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.known[id]
	return in != nil && in.progress.After(since)
}
