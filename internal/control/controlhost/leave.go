package controlhost

import (
	"context"
	"errors"
	"sync"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/replica"
)

const (
	// leaveTimeout bounds how long a host that stops waits until its vote has moved. The
	// election of another leader fits in.
	leaveTimeout = 2 * time.Second
	// leaveCallTimeout bounds one call, so that a leader that has gone leaves time to ask
	// the next one.
	leaveCallTimeout = leaveTimeout / 4
	// leaveRetry is the pause before an announcement that was not answered is repeated.
	leaveRetry = 20 * time.Millisecond
	// leavingFor is how long an announced end counts: a process that comes back afterwards
	// may take a vote again.
	leavingFor = 3 * time.Second
)

// leaves holds the members that have announced that their process ends.
type leaves struct {
	changed chan struct{} // receives a value when a member announces its end

	mu    sync.Mutex
	since map[uint64]time.Time // by member id
	wait  map[uint64]*settlement
}

// settlement is the end of a wait for the vote of a member that leaves.
type settlement struct {
	done chan struct{} // closed once the vote has moved or cannot move, or after err is set
	err  error         // set when nothing was decided
}

func newLeaves() *leaves {
	return &leaves{changed: make(chan struct{}, 1), since: map[uint64]time.Time{}, wait: map[uint64]*settlement{}}
}

// announce records that a member's process ends.
func (l *leaves) announce(id uint64, now time.Time) *settlement {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since[id] = now
	settled, ok := l.wait[id]
	if !ok {
		settled = &settlement{done: make(chan struct{})}
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
			close(settled.done)
			delete(l.wait, id)
		}
	}
}

// abandon tells those waiting that this host no longer decides on votes.
func (l *leaves) abandon(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, settled := range l.wait {
		settled.err = err
		close(settled.done)
		delete(l.wait, id)
	}
}

// handOver moves leadership and then the vote of this host's replica to other members,
// before the process ends: until then a voter that is gone could cost the quorum. A learner
// announces its end too, so that it is given no vote.
func (m *membership) handOver(opened *openReplica) {
	opened.replica.TransferLeadershipToAny(transferTimeout)
	status := opened.replica.Status()
	if status.Role == replica.RoleLeader || !isMember(status, opened.id) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	a := endAnnouncement{
		leader: func() string { return opened.replica.Status().LeaderAddress },
		call: func(ctx context.Context, leader string) (controlapi.LeaveResponse, error) {
			var resp controlapi.LeaveResponse
			err := m.host.rpc.Get(leader).Call(ctx, controlapi.MethodLeave, controlapi.LeaveRequest{ID: opened.id}, &resp)
			return resp, err
		},
	}
	resp, err := a.send(ctx)
	m.host.logger.Info("end announced to the leader of the control group", "leader", a.told, "calls", a.calls, "without_vote", resp.Moved, "err", err)
}

var (
	errNoLeader   = errors.New("no leader of the control group is known")
	errNotLeading = errors.New("this host does not lead the control group")
)

// endAnnouncement tells the leader that this host's process ends. It is repeated until a
// leader has answered: right after an election the leader may be unknown here, or may
// not know yet that it leads.
type endAnnouncement struct {
	leader func() string // address, empty when unknown
	call   func(ctx context.Context, leader string) (controlapi.LeaveResponse, error)

	told  string // address of the leader that was called last
	calls int
}

// send returns the answer of the leader, or the last error once ctx has ended.
func (a *endAnnouncement) send(ctx context.Context) (controlapi.LeaveResponse, error) {
	for {
		err := errNoLeader
		if leader := a.leader(); leader != "" {
			a.told = leader
			a.calls++
			var resp controlapi.LeaveResponse
			call, cancel := context.WithTimeout(ctx, leaveCallTimeout)
			resp, err = a.call(call, leader)
			cancel()
			if err == nil {
				return resp, nil
			}
		}
		if !pause.For(ctx, leaveRetry) {
			return controlapi.LeaveResponse{}, err
		}
	}
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
		return controlapi.LeaveResponse{}, &UnavailableError{errNotLeading}
	}
	settled := h.leaves.announce(req.ID, time.Now())
	select {
	case <-settled.done:
	case <-ctx.Done():
		return controlapi.LeaveResponse{}, context.Cause(ctx)
	}
	if settled.err != nil {
		return controlapi.LeaveResponse{}, &UnavailableError{settled.err}
	}
	status, _ = h.membership.status()
	return controlapi.LeaveResponse{Moved: !isVoter(status, req.ID)}, nil
}
