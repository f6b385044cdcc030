package controlhost

import (
	"context"
	"errors"
	"sync"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/replication/replica"
)

const (
	// leaveTimeout bounds how long a host that stops waits until its vote has moved.
	leaveTimeout = time.Second
	// leavingFor is how long an announced end counts: a process that comes back afterwards
	// may take a vote again.
	leavingFor = 3 * time.Second
)

// leaves holds the members that have announced that their process ends.
type leaves struct {
	changed chan struct{} // receives a value when a member announces its end

	mu    sync.Mutex
	since map[uint64]time.Time     // by member id
	wait  map[uint64]chan struct{} // closed once the member's vote has moved or cannot move
}

func newLeaves() *leaves {
	return &leaves{changed: make(chan struct{}, 1), since: map[uint64]time.Time{}, wait: map[uint64]chan struct{}{}}
}

// announce records that a member's process ends. The channel is closed once the vote of
// the member has moved or no other member can take it.
func (l *leaves) announce(id uint64, now time.Time) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since[id] = now
	settled, ok := l.wait[id]
	if !ok {
		settled = make(chan struct{})
		l.wait[id] = settled
	}
	select {
	case l.changed <- struct{}{}:
	default:
	}
	return settled
}

// announced returns the members that leave.
func (l *leaves) announced(now time.Time) map[uint64]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[uint64]bool, len(l.since))
	for id, at := range l.since {
		if now.Sub(at) > leavingFor {
			delete(l.since, id)
			continue
		}
		out[id] = true
	}
	return out
}

// settle tells those waiting members that are settled, and those whose announcement has
// expired.
func (l *leaves) settle(isSettled func(id uint64) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, settled := range l.wait {
		if l.since[id].IsZero() || isSettled(id) {
			close(settled)
			delete(l.wait, id)
		}
	}
}

// handOver moves leadership and then the vote of this host's replica to other members,
// before the process ends: until then a voter that is gone could cost the quorum. A learner
// announces its end too, so that it is given no vote.
func (m *membership) handOver(opened *openReplica) {
	opened.replica.TransferLeadershipToAny(transferTimeout)
	status := opened.replica.Status()
	if status.Role == replica.RoleLeader || status.LeaderAddress == "" || !isMember(status, opened.id) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	var resp controlapi.LeaveResponse
	err := m.host.rpc.Get(status.LeaderAddress).Call(ctx, controlapi.MethodLeave, controlapi.LeaveRequest{ID: opened.id}, &resp)
	m.host.logger.Info("end announced to the leader of the control group", "leader", status.LeaderAddress, "without_vote", resp.Moved, "err", err)
}

func isVoter(status replica.Status, id uint64) bool {
	for _, m := range status.Members {
		if m.ID == id {
			return !m.Learner
		}
	}
	return false
}

// serveLeave moves the vote of a member whose process ends, if another member can take it.
func (h *Host) serveLeave(ctx context.Context, req controlapi.LeaveRequest) (controlapi.LeaveResponse, error) {
	status, ok := h.membership.status()
	if !ok || status.Role != replica.RoleLeader {
		return controlapi.LeaveResponse{}, &UnavailableError{errors.New("this host does not lead the control group")}
	}
	select {
	case <-h.leaves.announce(req.ID, time.Now()):
	case <-ctx.Done():
		return controlapi.LeaveResponse{}, context.Cause(ctx)
	}
	status, _ = h.membership.status()
	return controlapi.LeaveResponse{Moved: !isVoter(status, req.ID)}, nil
}
