package notice

import (
	"math"
	"time"

	"filberthook/internal/process/saturate"
)

// A permit can be used for minPermitLifetime and the time in which the instance takes
// permitBurst requests. Longer, and hosts that have sent nothing for a while could send too
// many requests at once.
const (
	minPermitLifetime = 1200 * time.Millisecond
	permitBurst       = 3
	maxPermitLifetime = 10 * time.Second
)

// permitLifetime returns how long a permit can be used under a limit in requests per second.
func permitLifetime(limit float64) time.Duration {
	return min(minPermitLifetime+saturate.Seconds(min(permitBurst/limit, maxPermitLifetime.Seconds())), maxPermitLifetime)
}

const (
	// maxPermits bounds the valid permits, and with them the requests that a host sends at once
	// after a pause.
	maxPermits = 4096
	// maxPermitRate is the highest rate in permits per second that differs from no limit.
	maxPermitRate = 1e6
)

// allowance hands out this host's part of the requests that an instance takes. Permits
// become valid one after the other at even intervals and expire unused. Hosts begin at
// random phases, so that those which may send one request in a minute do not do so together.
type allowance struct {
	rate     float64       // permits per second
	lifetime time.Duration // of a permit
	counted  float64       // permits since the beginning, with the fraction of the next one
	at       time.Time     // when counted was computed
	valid    []time.Time
}

// newAllowance returns an allowance whose first permit is due after the rest of a phase
// from [0, 1).
func newAllowance(phase float64, now time.Time) *allowance {
	return &allowance{counted: phase, at: now}
}

// advance adds the permits that have become valid and drops those that have expired, then
// sets the rate and the lifetime of permits from now on.
func (a *allowance) advance(rate float64, lifetime time.Duration, now time.Time) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		counted := a.counted + a.rate*elapsed.Seconds()
		oldest := max(math.Floor(a.counted), math.Floor(counted-min(a.rate*a.lifetime.Seconds(), maxPermits))) + 1
		for n := oldest; n <= counted; n++ {
			a.valid = append(a.valid, a.at.Add(saturate.Seconds((n-a.counted)/a.rate)))
		}
		_, a.counted = math.Modf(counted)
		a.at = now
	}
	for len(a.valid) > 0 && (len(a.valid) > maxPermits || now.Sub(a.valid[0]) >= a.lifetime) {
		a.valid = a.valid[1:]
	}
	a.rate, a.lifetime = min(rate, maxPermitRate), lifetime
}

// use takes a permit. The caller has checked that there is one.
func (a *allowance) use() {
	if len(a.valid) > 0 {
		a.valid = a.valid[1:]
	}
}

// wait returns the time until a permit is valid, at the current rate.
func (a *allowance) wait() time.Duration {
	switch {
	case len(a.valid) > 0:
		return 0
	case a.rate <= 0:
		return Never
	}
	return saturate.Seconds(min((1-a.counted)/a.rate, math.MaxInt64/float64(time.Second)-1))
}
