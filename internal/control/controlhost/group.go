package controlhost

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/formation"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/replica"
)

// Timing of the group.
const (
	// adjustInterval is how often the leader checks the members.
	adjustInterval = 250 * time.Millisecond
	// changeTimeout bounds one change of membership.
	changeTimeout = 2 * time.Second
	// proposeRetry is the pause before a failed proposal is sent again.
	proposeRetry = 50 * time.Millisecond
	// callTimeout bounds a call to another control host.
	callTimeout = time.Second
)

// adjustMembership admits joining hosts and applies the steps that package formation
// decides on, while this host leads.
func (h *Host) adjustMembership(ctx context.Context) {
	inactiveSince := map[uint64]time.Time{} // by member id
	for pause.For(ctx, adjustInterval) {
		opened := h.membership.current.Load()
		if opened == nil || opened.replica.Status().Role != replica.RoleLeader {
			clear(inactiveSince)
			continue
		}
		for _, req := range h.joins.take() {
			h.admit(ctx, opened, req)
		}
		status := opened.replica.Status()
		h.applyStep(ctx, opened, formation.NextStep(healthOf(status, inactiveSince, time.Now()), status.ID,
			formation.Tolerance{Hosts: h.settings.Tolerate.Hosts, Zones: h.settings.Tolerate.Zones},
			h.settings.ReplaceAfter.Duration))
	}
}

// healthOf returns the health of the members from the replica's status. It keeps
// inactiveSince up to date, which holds when each inactive member was first seen inactive.
func healthOf(status replica.Status, inactiveSince map[uint64]time.Time, now time.Time) []formation.Health {
	out := make([]formation.Health, 0, len(status.Members))
	for _, m := range status.Members {
		active := m.Active || m.ID == status.ID
		if active {
			delete(inactiveSince, m.ID)
		} else if _, ok := inactiveSince[m.ID]; !ok {
			inactiveSince[m.ID] = now
		}
		health := formation.Health{Member: m.Member, Active: active, CaughtUp: m.Match >= status.Commit}
		if !active {
			health.InactiveFor = now.Sub(inactiveSince[m.ID])
		}
		out = append(out, health)
	}
	return out
}

// admit adds a host as a learner. A member with the same address and another id is the
// same host before it lost its disk. It is removed first: its vote must not count
// without its log.
func (h *Host) admit(ctx context.Context, opened *openReplica, req controlapi.JoinRequest) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for _, m := range opened.replica.Status().Members {
		if m.Address == req.Address && m.ID != req.ID {
			step := formation.Step{Kind: formation.Remove, ID: m.ID, Reason: "its host came back without its disk"}
			err := opened.replica.RemoveMember(ctx, m.ID)
			logMembershipChange(h.logger, step, err)
			if err != nil {
				return // the host repeats its request
			}
		}
	}
	err := opened.replica.AddLearner(ctx, replica.Member{ID: req.ID, Address: req.Address, Zone: req.Zone})
	h.logger.Info("host joins the control group", "member", req.ID, "address", req.Address, "zone", req.Zone, "err", err)
}

func (h *Host) applyStep(ctx context.Context, opened *openReplica, step formation.Step) {
	if step.Kind == formation.NoStep {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var err error
	if step.Kind == formation.Promote {
		err = opened.replica.Promote(ctx, step.ID)
	} else {
		err = opened.replica.RemoveMember(ctx, step.ID)
	}
	logMembershipChange(h.logger, step, err)
}

// propose appends a document to the replicated log. It repeats a failed proposal until
// ctx ends; that is safe because a document that is already in force changes nothing.
func (h *Host) propose(ctx context.Context, d document.Document) (uint64, error) {
	for {
		version, err := h.proposeOnce(ctx, d)
		if err == nil {
			return version, nil
		}
		if !pause.For(ctx, proposeRetry) {
			return 0, &UnavailableError{err}
		}
	}
}

func (h *Host) proposeOnce(ctx context.Context, d document.Document) (uint64, error) {
	version, err := h.proposeHere(ctx, d)
	leader := h.leaderElsewhere(err)
	if leader == "" {
		return version, err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var resp controlapi.ProposeResponse
	err = h.rpc.Get(leader).Call(call, controlapi.MethodPropose, d, &resp)
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
func (h *Host) proposeHere(ctx context.Context, d document.Document) (uint64, error) {
	opened := h.membership.current.Load()
	if opened == nil {
		return 0, errClosed
	}
	status := opened.replica.Status()
	if status.Role != replica.RoleLeader {
		return appendDocument(ctx, opened, d) // fails with a NotLeaderError, which names the leader
	}
	key := fmt.Sprint(status.ID, "/", status.Term, "/", d.Version)
	outcome := h.proposing.DoChan(key, func() (any, error) {
		limited, cancel := context.WithTimeout(context.Background(), entryTimeout)
		defer cancel()
		return appendDocument(limited, opened, d)
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

func appendDocument(ctx context.Context, opened *openReplica, d document.Document) (uint64, error) {
	result, err := opened.replica.Propose(ctx, d.Encode())
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
