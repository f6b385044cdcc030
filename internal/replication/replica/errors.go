package replica

import (
	"errors"
	"fmt"
)

// NotLeaderError reports a call that had no effect because this replica does not
// lead. It is safe to repeat the call at the leader.
type NotLeaderError struct {
	Leader  uint64 // 0 when unknown
	Address string // of the leader, empty when unknown
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "no leader is known here: retry with backoff, also at other replicas"
	}
	return fmt.Sprintf("replica %d at %s leads: send the request there", e.Leader, e.Address)
}

// UnknownOutcomeError reports a proposal that may still be applied, or already was.
type UnknownOutcomeError struct{ Err error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the change is unknown (%v): repeat it with the same change id", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// ErrStopped reports a call to a replica that does not run any more.
var ErrStopped = errors.New("replica has stopped: send the request to another one")

var (
	errLeadershipLost = errors.New("leadership was lost before the change was decided")
	errSnapshotPassed = errors.New("the replica received a snapshot beyond the change")
)
