package controlhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/replica"
)

const (
	// askTimeout bounds asking the other members for their status.
	askTimeout = 800 * time.Millisecond
	// maxAsked bounds the members that are asked.
	maxAsked = 32
)

// handleMembership registers the calls on the members of the group.
func (h *Host) handleMembership(m *peer.Mux) {
	peer.Handle(m, controlapi.MethodJoin, func(ctx context.Context, _ peer.Identity, req controlapi.JoinRequest) (controlapi.JoinResponse, error) {
		return h.serveJoin(ctx, req)
	})
	peer.Handle(m, controlapi.MethodLeave, func(ctx context.Context, _ peer.Identity, req controlapi.LeaveRequest) (controlapi.LeaveResponse, error) {
		return h.serveLeave(ctx, req)
	})
	peer.Handle(m, controlapi.MethodGroup, func(ctx context.Context, _ peer.Identity, req controlapi.GroupRequest) (controlapi.GroupStatus, error) {
		answer := h.GroupStatus(ctx, req.Ask)
		answer.Removed = h.wasRemoved(req.Replica)
		return answer, nil
	})
	peer.Handle(m, controlapi.MethodExpelled, func(_ context.Context, from peer.Identity, req controlapi.ExpelledRequest) (struct{}, error) {
		return struct{}{}, h.serveExpelled(from, req)
	})
}

// GroupStatus returns what this host knows of its group. It needs no quorum. With ask, the
// other members are asked first.
func (h *Host) GroupStatus(ctx context.Context, ask bool) controlapi.GroupStatus {
	out := controlapi.GroupStatus{
		Host: h.settings.Host, Zone: h.settings.Zone, Address: h.settings.Listen.peersAddress(), Version: h.currentVersion(),
	}
	status, open := h.membership.status()
	if _, last := h.quorum.leader(); status.Leader == 0 && !last.IsZero() {
		out.WithoutLeaderMS = max(1, time.Since(last).Milliseconds())
	}
	if !open {
		return out
	}
	out.Replica, out.Leader = status.ID, status.LeaderAddress
	out.Member, out.Voter = isMember(status, status.ID), isVoter(status, status.ID)
	out.Term, out.LastTerm, out.Last, out.Commit = status.Term, status.LastTerm, status.LastIndex, status.Commit
	if status.Leader != 0 && out.Leader == "" {
		out.Leader = h.membership.addressOf(status.Leader)
	}
	out.Members = h.groupMembers(status)
	if ask {
		h.askMembers(ctx, status.ID, out.Members)
	}
	return out
}

func (h *Host) groupMembers(status replica.Status) []controlapi.GroupMember {
	var out []controlapi.GroupMember
	for _, m := range status.Members {
		member := controlapi.GroupMember{ID: m.ID, Address: m.Address, Zone: m.Zone, Voter: !m.Learner, SilentMS: -1}
		if silent := h.quorum.silence(m.Address); silent >= 0 {
			member.SilentMS = silent.Milliseconds()
		}
		if m.ID == status.ID {
			member.Answers, member.SilentMS = true, 0
		}
		out = append(out, member)
	}
	return out
}

// askMembers asks the members other than this host's replica at once.
func (h *Host) askMembers(ctx context.Context, self uint64, members []controlapi.GroupMember) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var asking sync.WaitGroup
	for i := range members[:min(len(members), maxAsked)] {
		if m := &members[i]; m.ID != self {
			asking.Go(func() { h.askMember(ctx, m) })
		}
	}
	asking.Wait()
}

// askMember asks the host at a member's address. The answer of a replica with another id is not
// that of the member.
func (h *Host) askMember(ctx context.Context, m *controlapi.GroupMember) {
	var status controlapi.GroupStatus
	if err := h.rpc.Get(m.Address).Call(ctx, controlapi.MethodGroup, controlapi.GroupRequest{}, &status); err != nil {
		m.Error = err.Error()
		return
	}
	h.quorum.heardFrom(m.Address)
	if status.Replica != m.ID {
		m.Error = "another replica answers at this address: the member's disk was lost or discarded"
		return
	}
	status.Members = nil
	m.Answers, m.SilentMS, m.Status = true, 0, &status
}

// isStranger reports whether a replica that asks to join holds a log though the group never had
// a member of its id: the log is of a group that this one has replaced. Only a leader that a
// quorum confirms knows all ids.
func (h *Host) isStranger(ctx context.Context, req controlapi.JoinRequest) (bool, error) {
	unknown := func(status replica.Status) bool {
		_, retired := slices.BinarySearch(status.Retired, req.ID)
		return req.Last > 0 && !retired && !isMember(status, req.ID)
	}
	opened := h.membership.current.Load()
	if opened == nil || !unknown(opened.replica.Status()) {
		return false, nil
	}
	if err := opened.replica.ReadBarrier(ctx); err != nil {
		return false, &UnavailableError{err}
	}
	return unknown(opened.replica.Status()), nil
}
