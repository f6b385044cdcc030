package authority

import (
	"context"
	"sync/atomic"

	"filberthook/internal/control/lease"
)

// MethodLease is the peer call of planners at any control replica:
// lease.Command to lease.Result.
const MethodLease = "control.lease"

// Caller calls one control replica. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, method string, params, result any) error
}

// PeerGranter asks the replicas of the control group for leases. It moves on to
// the next replica after an error. It implements Granter.
type PeerGranter struct {
	replicas []Caller
	next     atomic.Uint64
}

// NewPeerGranter returns a granter over the replicas.
func NewPeerGranter(replicas []Caller) *PeerGranter { return &PeerGranter{replicas: replicas} }

// Lease implements Granter.
func (g *PeerGranter) Lease(ctx context.Context, cmd lease.Command) (lease.Result, error) {
	var result lease.Result
	at := g.next.Load()
	err := g.replicas[at%uint64(len(g.replicas))].Call(ctx, MethodLease, cmd, &result)
	if err != nil {
		g.next.CompareAndSwap(at, at+1)
	}
	return result, err
}
