package claimlog

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
)

// Caller calls one replica of the control group.
type Caller interface {
	Call(ctx context.Context, method string, params, result any) error
}

// Replicas is a Log that proposes through the replicas of the control group.
type Replicas struct {
	callers    []Caller
	method     string
	notApplied func(error) bool
	preferred  atomic.Uint64 // index of the replica that answered last, modulo their number
}

// NewReplicas returns a Log that calls method on the replicas. notApplied reports
// whether a failed call certainly had no effect.
func NewReplicas(callers []Caller, method string, notApplied func(error) bool) *Replicas {
	return &Replicas{callers: callers, method: method, notApplied: notApplied}
}

// errNoReplica reports that the settings list no replica.
var errNoReplica = errors.New("no replica is set: list control.replicas")

// Propose implements Log. It tries the next replica only if the failed call
// certainly had no effect.
func (r *Replicas) Propose(ctx context.Context, batch json.RawMessage) (json.RawMessage, error) {
	err := errNoReplica
	for range r.callers {
		index := r.preferred.Load()
		var result json.RawMessage
		err = r.callers[index%uint64(len(r.callers))].Call(ctx, r.method, batch, &result)
		if err == nil {
			return result, nil
		}
		r.preferred.CompareAndSwap(index, index+1)
		if !r.notApplied(err) {
			return nil, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, &NotAppliedError{Err: err}
}
