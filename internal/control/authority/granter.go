package authority

import (
	"context"
	"sync/atomic"

	"filberthook/internal/control/lease"
)

// MethodLease is the peer call of planners to any control replica. It takes a
// lease.Command and returns a lease.Result.
const MethodLease = "control.lease"

// Caller calls one control replica. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, method string, params, result any) error
}

// PeerGranter requests leases from the replicas of the control group. After an
// error it switches to the next replica. It implements Granter.
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
