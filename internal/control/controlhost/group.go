package controlhost

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/replica"
)

// Timing of the group.
const (
	// proposeRetry is the pause before a failed proposal is sent again.
	proposeRetry = 50 * time.Millisecond
	// callTimeout bounds a call to another control host.
	callTimeout = time.Second
)

// propose appends a document to the replicated log. It repeats a failed proposal until
// ctx ends; that is safe because a document that is already in force changes nothing.
func (h *Host) propose(ctx context.Context, p proposal) (uint64, error) {
	for {
		version, err := h.proposeOnce(ctx, p)
		if err == nil {
			return version, nil
		}
		if !pause.For(ctx, proposeRetry) {
			return 0, &UnavailableError{err}
		}
	}
}

func (h *Host) proposeOnce(ctx context.Context, p proposal) (uint64, error) {
	version, err := h.proposeHere(ctx, p)
	leader := h.leaderElsewhere(err)
	if leader == "" {
		return version, err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout+p.transferTime())
	defer cancel()
	method, params := p.call()
	clients := h.rpc
	if p.large != nil {
		clients = h.bulkRPC
	}
	var resp controlapi.ProposeResponse
	err = clients.Get(leader).Call(call, method, params, &resp)
	return resp.Version, err
}

// leaderElsewhere returns the address of the leader to forward a proposal to that failed
// here with err: the leader as this replica names it or, while the replica is closed or
// knows none, as the other control hosts report it. It returns "" when the proposal
// succeeded, failed for another reason, or no other host is known to lead.
func (h *Host) leaderElsewhere(err error) string {
	var notLeader *replica.NotLeaderError
	switch {
	case errors.As(err, &notLeader) && notLeader.Address != "":
		return notLeader.Address
	case notLeader == nil && !errors.Is(err, errClosed) && !errors.Is(err, replica.ErrStopped):
		return ""
	}
	if leader := h.watcher.Leader(); leader != h.settings.Listen.peersAddress() {
		return leader
	}
	return ""
}

// proposeHere proposes a document at this host's replica. A version that already waits
// for a quorum is not appended to the log again: operators repeat their calls, and
// without a quorum each repetition would take the memory of a whole configuration.
func (h *Host) proposeHere(ctx context.Context, p proposal) (uint64, error) {
	opened := h.membership.current.Load()
	if opened == nil {
		return 0, errClosed
	}
	status := opened.replica.Status()
	if status.Role != replica.RoleLeader {
		return appendCommand(ctx, opened, p.command) // fails with a NotLeaderError, which names the leader
	}
	key := fmt.Sprint(status.ID, "/", status.Term, "/", p.version)
	outcome := h.proposing.DoChan(key, func() (any, error) {
		limited, cancel := context.WithTimeout(context.Background(), entryTimeout)
		defer cancel()
		return appendCommand(limited, opened, p.command)
	})
	select {
	case o := <-outcome:
		if o.Err != nil {
			return 0, o.Err
		}
		return o.Val.(uint64), nil
	case <-ctx.Done():
		return 0, context.Cause(ctx)
	}
}

func (h *Host) serveProposal(ctx context.Context, p proposal) (controlapi.ProposeResponse, error) {
	version, err := h.proposeHere(ctx, p)
	return controlapi.ProposeResponse{Version: version}, err
}

func appendCommand(ctx context.Context, opened *openReplica, command []byte) (uint64, error) {
	result, err := opened.replica.Propose(ctx, command)
	if err != nil {
		return 0, err
	}
	switch v := result.(type) {
	case uint64:
		return v, nil
	case error:
		return 0, v
	default:
		return 0, fmt.Errorf("the log returned %T", result)
	}
}
