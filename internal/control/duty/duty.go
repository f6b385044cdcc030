// Package duty decides which control host makes the calls to the platform's API. Only the
// leader of the control group does. The fencing token is the term of its leadership, which
// is unique to one host.
//
// The platform does not check tokens. A new leader therefore makes no call until the
// previous leader's calls can no longer arrive and its lease is over, a leader confirms its
// leadership with a quorum before each call, and a call that is not sent soon after its
// confirmation is not sent at all.
package duty

import (
	"context"
	"fmt"
	"time"
)

// Bounds of a call, from its confirmation to its end.
const (
	// confirmTimeout bounds the confirmation of leadership by a quorum.
	confirmTimeout = 300 * time.Millisecond
	// sendWindow is how long after the start of its confirmation a call may be sent. It is
	// measured with a clock that counts suspensions of the machine.
	sendWindow = 500 * time.Millisecond
	// CallTimeout bounds the time from the sending of a call to its end; after it nothing of the
	// call may still be sent. It is shorter than the lease of 3 s, and long enough for a slow
	// platform: a call that times out is billed and repeated though it had its effect.
	CallTimeout = 2 * time.Second
	// FlightTime is an upper bound on the time from the start of a confirmation to the
	// arrival of the call. A new holder waits for the lease plus this time.
	FlightTime = sendWindow + CallTimeout
)

// Set names the duties that a deployment asks for.
type Set struct {
	UsageReports bool
	Instances    bool // orders of instances
}

// Call is the right to make one call to the platform.
type Call struct {
	Holder string // host that makes the call
	Fence  uint64 // fencing token: grows when the holder changes
	window *window
}

// window bounds the time in which a call may be sent.
type window struct {
	ends time.Duration // on the clock below
	now  func() time.Duration
}

// Expired reports whether the call may no longer be sent. A Call that no Holder returned
// never expires.
func (c Call) Expired() bool { return c.window != nil && c.window.now() >= c.window.ends }

// Platform makes the calls to the platform's API. Each method sends a call at most once.
type Platform interface {
	// ReportUsage reports the requests that began in a window, by account.
	ReportUsage(ctx context.Context, c Call, window int64, counts map[string]int64) error
	// OrderInstances orders the number of instances of an endpoint in a zone. It returns a
	// *RateError when the platform limits the rate of calls, and an *UnavailableError when no
	// instances are available there.
	OrderInstances(ctx context.Context, c Call, o Order) error
}

// Order is the number of instances that an endpoint is to have in one availability zone.
type Order struct {
	Endpoint, Zone string
	Desired        int
	Preemptible    bool // counts the preemptible instances, which Desired otherwise does not include
}

// RateError reports that the rate of calls is limited; the call had no effect.
type RateError struct {
	RetryAfter time.Duration // 0 if the platform named none
}

// Error implements error.
func (e *RateError) Error() string {
	return fmt.Sprintf("the platform limits the rate of calls: call again after %v", e.RetryAfter)
}

// UnavailableError reports that the platform has no instances to give at the moment.
type UnavailableError struct{ Order Order }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no instances of %s are available in zone %s (%d desired, preemptible %v): order in another zone, or later",
		e.Order.Endpoint, e.Order.Zone, e.Order.Desired, e.Order.Preemptible)
}

// ExpiredError reports that a call was not sent, or not completely, because too much time had
// passed since its confirmation.
type ExpiredError struct{ Call Call }

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the call with fencing token %d was not sent within %v of its confirmation: hold the duty again", e.Call.Fence, sendWindow)
}

// StatusError reports an answer of the platform that is neither success nor one of the above.
type StatusError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform answered with status %d (%q): repeat the call if the status is 500 or higher, else check cloud.address and the release", e.Status, e.Detail)
}
