package controlhost

import (
	"context"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/formation"
	"filberthook/internal/replication/replica"
)

const (
	// adjustInterval is how often the leader checks the members.
	adjustInterval = 100 * time.Millisecond
	// changeTimeout bounds one change of membership.
	changeTimeout = 2 * time.Second
	// maxMoves and moveInterval bound how often votes move from silent members: hosts that
	// come and go must not fill the log with changes of membership.
	maxMoves     = 6
	moveInterval = 2 * time.Second
)

// voteKeeper keeps the votes of the group with members that are up, while this host
// leads. One goroutine uses it.
type voteKeeper struct {
	host   *Host
	policy formation.Policy
	moves  *rate.Limiter
	commit uint64 // of the previous check, 0 before the first one of a new leader

	availability formation.Availability
	observed     time.Time                  // of the previous check
	states       map[uint64]formation.State // of the members, as logged
}

func newVoteKeeper(h *Host) *voteKeeper {
	return &voteKeeper{
		host: h,
		policy: formation.Policy{
			Tolerance:    formation.Tolerance{Hosts: h.settings.Tolerate.Hosts, Zones: h.settings.Tolerate.Zones},
			ReplaceAfter: h.settings.ReplaceAfter.Duration,
		},
		moves:  rate.NewLimiter(rate.Every(moveInterval), maxMoves),
		states: map[uint64]formation.State{},
	}
}

// adjustMembership admits joining hosts and applies the steps that package formation
// decides on, while this host leads.
func (h *Host) adjustMembership(ctx context.Context) {
	keeper := newVoteKeeper(h)
	ticker := time.NewTicker(adjustInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.leaves.changed:
		case <-ticker.C:
		}
		opened := h.membership.current.Load()
		if opened == nil || opened.replica.Status().Role != replica.RoleLeader {
			h.leaves.abandon(errNotLeading)
			keeper.reset()
			continue
		}
		for _, req := range h.joins.take() {
			keeper.admit(ctx, opened, req)
		}
		keeper.moveVotes(ctx, opened)
	}
}

// reset forgets what was seen of the members, as this host does not lead.
func (k *voteKeeper) reset() {
	k.commit, k.observed = 0, time.Time{}
	k.availability.Reset()
	clear(k.states)
}

// moveVotes applies steps until none is left or one fails.
func (k *voteKeeper) moveVotes(ctx context.Context, opened *openReplica) {
	for ctx.Err() == nil {
		status := opened.replica.Status()
		leaving := k.host.leaves.announced(time.Now())
		members := k.health(status, leaving)
		k.availability.Observe(members, k.sinceObserved(time.Now()), k.policy)
		k.logStates(members)
		step := formation.NextStep(members, status.ID, k.policy)
		if step.Kind == formation.NoStep || step.MovesVote && k.moves.Tokens() < 1 {
			k.host.leaves.settle(func(id uint64) bool { return leaving[id] && formation.Settled(id, members, k.policy) })
			return
		}
		if k.apply(ctx, opened, step) != nil {
			return
		}
		if step.MovesVote {
			k.moves.Allow()
		}
	}
}

// health returns the health of the members as the leader's status shows it. A member has
// caught up when it holds the log up to the commit index of the previous check. At the
// first check of a new leader it must hold what is committed now, so that one that has not
// answered this leader yet does not count.
func (k *voteKeeper) health(status replica.Status, leaving map[uint64]bool) []formation.Health {
	if k.commit == 0 {
		k.commit = status.Commit
	}
	out := make([]formation.Health, 0, len(status.Members))
	for _, m := range status.Members {
		out = append(out, formation.Health{
			Member: m.Member, Match: m.Match, Silent: m.Silent, Up: m.Up, CaughtUp: m.Match >= k.commit, Leaving: leaving[m.ID],
		})
	}
	k.commit = status.Commit
	return out
}

// sinceObserved returns the time since the previous check. A longer pause is one of this host
// and says nothing about the others.
func (k *voteKeeper) sinceObserved(now time.Time) time.Duration {
	since := now.Sub(k.observed)
	if k.observed.IsZero() {
		since = 0
	}
	k.observed = now
	return min(since, 2*adjustInterval)
}

// logStates logs when a member becomes one whose vote is to move, and when it is up again.
func (k *voteKeeper) logStates(members []formation.Health) {
	for _, m := range members {
		state := m.State(k.policy)
		if state == k.states[m.ID] {
			continue
		}
		k.states[m.ID] = state
		k.host.logger.Info("member of the control group changed", "member", m.ID, "address", m.Address,
			"member_zone", m.Zone, "voter", !m.Learner, "state", state.String(), "silent", state == formation.Silent, "silent_ms", m.Silent.Milliseconds(),
			"stalled_ms", m.Stalled.Milliseconds(), "missed_ms", m.Missed.Milliseconds(), "match", m.Match, "leaves", m.Leaving)
	}
}

// admit adds a host as a learner. A member with the same address and another id is the
// same host before it lost its disk: its vote moves, and it is removed, as its vote must not
// count without its log.
func (k *voteKeeper) admit(ctx context.Context, opened *openReplica, req controlapi.JoinRequest) {
	status := opened.replica.Status()
	if _, removed := slices.BinarySearch(status.Removed, req.ID); removed {
		return // a late request of a former replica at an address that another one has now
	}
	for _, m := range status.Members {
		if m.Address != req.Address || m.ID == req.ID {
			continue
		}
		k.host.leaves.announce(m.ID, time.Now())
		k.moveVotes(ctx, opened)
		if k.apply(ctx, opened, formation.Step{Kind: formation.Remove, ID: m.ID, Reason: "its host came back without its disk"}) != nil {
			return // the host repeats its request
		}
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := opened.replica.AddLearner(ctx, replica.Member{ID: req.ID, Address: req.Address, Zone: req.Zone})
	k.host.logger.Info("host joins the control group", "member", req.ID, "address", req.Address, "member_zone", req.Zone, "err", err)
}

// apply makes one change of membership and logs it.
func (k *voteKeeper) apply(ctx context.Context, opened *openReplica, step formation.Step) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var err error
	switch step.Kind {
	case formation.Promote:
		err = opened.replica.Promote(ctx, step.ID)
	case formation.Demote:
		err = opened.replica.Demote(ctx, step.ID)
	case formation.Remove:
		err = opened.replica.RemoveMember(ctx, step.ID)
	}
	logger := k.host.logger.With("step", step.Kind.String(), "member", step.ID, "why", step.Reason)
	if err != nil {
		logger.Warn("membership not changed", "err", err)
		return err
	}
	logger.Info("membership changed")
	return nil
}
