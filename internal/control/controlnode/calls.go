package controlnode

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"filberthook/internal/control/authority"
	"filberthook/internal/control/distribution"
	"filberthook/internal/control/lease"
	"filberthook/internal/control/operator"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/raftnet"
	"filberthook/internal/replication/statemachine"
)

// proposalTimeout bounds a proposal on behalf of another host.
const proposalTimeout = 5 * time.Second

// buildCalls registers the calls of other hosts.
func (n *Node) buildCalls() {
	n.mux = peer.NewMux()
	distribution.Register(n.mux, n.hub, n.registry, n.memberAddresses, n.metrics)
	n.registerHostCalls()
	n.registerReplicaCalls()
}

// registerHostCalls registers the calls of planners and entry hosts.
func (n *Node) registerHostCalls() {
	peer.Handle(n.mux, authority.MethodLease, func(ctx context.Context, from peer.Identity, cmd lease.Command) (lease.Result, error) {
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		// A host may lease its own zone only, and only for itself.
		cmd.Holder.Host = from.Host
		cmd.Scope = from.Zone
		if refusal := n.leaseRefusal(ctx, cmd); refusal != nil {
			n.countLease(cmd.Kind, "waiting")
			return lease.Result{Err: refusal}, nil
		}
		result, err := n.group.proposeLease(ctx, cmd)
		n.countLease(cmd.Kind, leaseOutcome(result, err))
		return result, err
	})
	peer.Handle(n.mux, MethodClaims, func(ctx context.Context, _ peer.Identity, batch json.RawMessage) (json.RawMessage, error) {
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		return n.group.proposeClaims(ctx, batch)
	})
}

// leaseRefusal returns the error for a lease command that cannot succeed yet, nil when it must be
// proposed. A host that is refused asks again only when the lease may have expired, so this
// replica must not answer by a state that the group has left.
func (n *Node) leaseRefusal(ctx context.Context, cmd lease.Command) *lease.Error {
	refusal := n.gate.Refusal(n.group.clock.elapsed(), cmd)
	if refusal == nil || n.group.ReadBarrier(ctx) != nil {
		return refusal
	}
	return n.gate.Refusal(n.group.clock.elapsed(), cmd)
}

// registerReplicaCalls registers the calls of other replicas.
func (n *Node) registerReplicaCalls() {
	handleReplica(n.mux, methodPropose, func(ctx context.Context, req proposeRequest) (statemachine.Response, error) {
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		return n.group.serveProposal(ctx, req)
	})
	handleReplica(n.mux, methodReports, func(context.Context, reportsRequest) (reportsResponse, error) {
		return reportsResponse{Reports: n.registry.Reports()}, nil
	})
	handleReplica(n.mux, methodMembers, func(context.Context, membersRequest) (membersResponse, error) {
		return membersOf(n.replica.Status()), nil
	})
	handleReplica(n.mux, methodChangeMember, func(ctx context.Context, change operator.MemberChange) (changeMemberResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		return changeMemberResponse{}, wireOutcome(n.group.changeMemberHere(ctx, change))
	})
	handleReplica(n.mux, raftnet.Method, func(_ context.Context, batch raftnet.Batch) (struct{}, error) {
		for _, msg := range batch.Messages {
			if err := n.replica.Receive(msg); err != nil {
				return struct{}{}, err
			}
		}
		return struct{}{}, nil
	})
}

// handleReplica registers a call that only other control replicas may make.
func handleReplica[Req, Resp any](mux *peer.Mux, method string, fn func(context.Context, Req) (Resp, error)) {
	peer.Handle(mux, method, func(ctx context.Context, from peer.Identity, req Req) (Resp, error) {
		if err := from.Require(peer.RoleControl); err != nil {
			var none Resp
			return none, err
		}
		return fn(ctx, req)
	})
}

// countLease counts a planner's lease command by its outcome.
func (n *Node) countLease(kind lease.Kind, outcome string) {
	if !kind.Known() {
		kind = "unknown"
	}
	name := fmt.Sprintf(`filberthook_control_leases_total{kind=%q,outcome=%q}`, kind, outcome)
	n.metrics.GetOrCreateCounter(name).Inc()
}

func leaseOutcome(result lease.Result, err error) string {
	switch {
	case err != nil:
		return "no_outcome"
	case result.Err != nil:
		return string(result.Err.Code)
	default:
		return "ok"
	}
}
