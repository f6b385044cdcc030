// Package revocation decides whether the keys of a configuration may still be used at a host
// that may be out of touch with the control group, so that a key that was taken away works
// nowhere after a bound. It reads no clock: times are those of CLOCK_BOOTTIME, which also
// counts while the machine is suspended.
package revocation

import (
	"sync/atomic"
	"time"

	"filberthook/internal/process/saturate"
)

// Shares of the time within which a key that was taken away must stop working.
const (
	// servingShare is the part of the bound for which a confirmation lets a host serve. The rest
	// is a margin for clocks that run at different rates. A confirmation is up to 0.9 s old when
	// a host loses its control hosts, so with a bound of 5 s the host serves for 3.6 s more.
	servingShare = 0.9
	// askShare is the part of the bound after which a host asks for the next confirmation.
	askShare = 0.1
	// maxAskInterval bounds the time between two questions.
	maxAskInterval = 500 * time.Millisecond
	// MinBound is the shortest bound that confirmations can keep up with.
	MinBound = time.Second
	// applyBound is how long after its acknowledgement a configuration is in force at every host
	// in touch with the control group. A host that was confirmed more recently knows every key.
	applyBound = 2 * time.Second
)

// maxKept bounds the confirmations that are kept: of the version in force at this host, and of
// newer ones while they are fetched.
const maxKept = 8

// confirmation says that a quorum knew of no newer version at a moment.
type confirmation struct {
	version uint64
	at      time.Duration
}

// Confirmations are what a host knows of the newest configuration. It is ready for use and
// safe for concurrent use.
type Confirmations struct {
	kept    atomic.Pointer[[]confirmation] // ascending in version and in time
	failing atomic.Bool                    // see State.Failing
}

// Failed records that the control hosts were asked and none confirmed any version.
func (c *Confirmations) Failed() { c.failing.Store(true) }

// Confirm records that a quorum knew of no version newer than this one at a moment.
func (c *Confirmations) Confirm(version uint64, at time.Duration) {
	c.failing.Store(false)
	for {
		before := c.kept.Load()
		var list []confirmation
		if before != nil {
			list = *before
		}
		next := insert(list, confirmation{version, at})
		if c.kept.CompareAndSwap(before, &next) {
			return
		}
	}
}

// insert returns the list with another confirmation. A confirmation of a version holds for
// higher ones too, so those of higher versions that are not later are dropped.
func insert(list []confirmation, added confirmation) []confirmation {
	out := make([]confirmation, 0, len(list)+1)
	for _, k := range list {
		if k.version <= added.version && k.at >= added.at {
			return list
		}
		if k.version < added.version {
			out = append(out, k)
		}
	}
	out = append(out, added)
	for _, k := range list {
		if k.version > added.version && k.at > added.at {
			out = append(out, k)
		}
	}
	return out[max(0, len(out)-maxKept):]
}

// State is what is known of a version in force at this host.
type State struct {
	Confirmed bool          // a quorum has confirmed it, or an older one, as the newest
	Age       time.Duration // since the last moment at which no newer one was in force
	Newest    uint64        // highest version that a quorum has confirmed or a control host announced, 0 for none
	Failing   bool          // the control hosts did not confirm any version when they were asked last
}

// State returns what is known of a version at a moment.
func (c *Confirmations) State(version uint64, now time.Duration) State {
	s := State{Failing: c.failing.Load()}
	list := c.kept.Load()
	if list == nil {
		return s
	}
	s.Newest = (*list)[len(*list)-1].version
	for _, k := range *list {
		if k.version <= version {
			s.Confirmed, s.Age = true, now-k.at
		}
	}
	return s
}

// Verdict is what a host does with a request.
type Verdict uint8

const (
	Serve          Verdict = iota // for its account
	ServeNobody                   // without an account: the route is public
	RejectKey                     // the key is unknown or missing
	RejectForATime                // this host cannot know now; the request may be repeated at another one
)

// Request is what the decision weighs of a request.
type Request struct {
	Known  bool // the configuration in force here holds its key
	Public bool // its route needs no key
}

// Policy is the bound of a deployment.
type Policy struct {
	// Within is the time after which a key that was taken away must not work anywhere, 0 for
	// no bound.
	Within time.Duration
}

// Decide returns what a host does with a request to a keyed configuration.
func (p Policy) Decide(r Request, version uint64, s State) Verdict {
	switch {
	case r.Known && p.fresh(s):
		return Serve
	case r.Public:
		return ServeNobody
	case r.Known:
		return RejectForATime
	case s.Confirmed && s.Age < applyBound && s.Newest <= version:
		return RejectKey
	}
	// The key may be one of a configuration that has not reached this host.
	return RejectForATime
}

// fresh reports whether the keys of a version may be used.
func (p Policy) fresh(s State) bool {
	return p.Within == 0 || s.Confirmed && s.Age < saturate.Nanoseconds(servingShare*float64(p.Within))
}

// AskInterval returns the time between two questions whether there is a newer version.
func (p Policy) AskInterval() time.Duration {
	if p.Within == 0 {
		return maxAskInterval
	}
	return min(maxAskInterval, saturate.Nanoseconds(askShare*float64(p.Within)))
}
