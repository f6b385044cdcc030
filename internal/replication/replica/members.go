package replica

import (
	"context"
	"errors"

	"filberthook/internal/replication/consensus"
)

// task is a function that the loop runs.
type task struct{ run func(*task) }

// waiter is a call that waits until ready returns true or an error.
type waiter struct {
	ctx   context.Context
	ready func(consensus.Status) (bool, error)
	done  chan error
}

// AddLearner adds a non-voting replica, to which the log is then replicated. Its id
// must never have been a member's. The call is idempotent.
func (r *Replica) AddLearner(ctx context.Context, m Member) error {
	err := r.change(ctx, consensus.Change{
		Type:   consensus.ChangeAddLearner,
		Member: consensus.Member{ID: m.ID, Address: m.Address, Zone: m.Zone},
	})
	if refusedFor(err, consensus.ReasonKnownMember) && r.isMember(m) {
		return r.waitCommitted(ctx)
	}
	return err
}

// isMember reports whether the group has the member with the same address and zone.
func (r *Replica) isMember(m Member) bool {
	for _, known := range r.Status().Members {
		if known.ID == m.ID {
			return known.Address == m.Address && known.Zone == m.Zone
		}
	}
	return false
}

// Promote makes a learner a voter. It waits until the learner holds every committed
// entry, and returns once the learner also holds the change itself: from then on it
// fully replaces a lost voter. The call is idempotent.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	change := consensus.Change{Type: consensus.ChangePromote, Member: consensus.Member{ID: id}}
	err := r.change(ctx, change)
	for refusedFor(err, consensus.ReasonNotCaughtUp) {
		commit := r.Status().Commit
		caughtUp := func(s consensus.Status) (bool, error) { return memberCaughtUp(s, id, commit) }
		if r.wait(ctx, caughtUp, nil) != nil {
			return err
		}
		err = r.change(ctx, change)
	}
	if refusedFor(err, consensus.ReasonKnownMember) {
		err = r.waitCommitted(ctx)
	}
	if err != nil {
		return err
	}
	commit := r.Status().Commit
	return r.wait(ctx, func(s consensus.Status) (bool, error) { return memberCaughtUp(s, id, commit) }, nil)
}

// RemoveMember removes a replica other than the leader. Its id cannot be used again.
// The call is idempotent.
func (r *Replica) RemoveMember(ctx context.Context, id uint64) error {
	err := r.change(ctx, consensus.Change{Type: consensus.ChangeRemove, Member: consensus.Member{ID: id}})
	if refusedFor(err, consensus.ReasonRetiredID) {
		return r.waitCommitted(ctx)
	}
	return err
}

// Demote makes a voter other than the leader a learner, which keeps its log and can be
// promoted again. The call is idempotent.
func (r *Replica) Demote(ctx context.Context, id uint64) error {
	err := r.change(ctx, consensus.Change{Type: consensus.ChangeDemote, Member: consensus.Member{ID: id}})
	if refusedFor(err, consensus.ReasonKnownMember) {
		return r.waitCommitted(ctx)
	}
	return err
}

// Exclude ends this replica for good, after a leader has told that it was removed. Run then
// returns a *storage.ExcludedError.
func (r *Replica) Exclude() {
	select {
	case r.tasks <- &task{run: func(*task) { r.core.Exclude() }}:
	case <-r.stopped:
	}
}

// waitCommitted returns once the leader's current log, including an earlier change, is
// committed.
func (r *Replica) waitCommitted(ctx context.Context) error {
	last := r.Status().LastIndex
	return r.wait(ctx, func(s consensus.Status) (bool, error) {
		if s.Role != consensus.RoleLeader {
			return false, &UnknownOutcomeError{Err: errLeadershipLost}
		}
		return s.Commit >= last, nil
	}, nil)
}

// refusedFor reports whether err is a refusal for the reason.
func refusedFor(err error, reason consensus.Reason) bool {
	var refused *consensus.RefusedError
	return errors.As(err, &refused) && refused.Reason == reason
}

// transferComplete reports whether the target leads. It returns a refusal once the leader
// has abandoned the transfer or another replica leads.
func transferComplete(s consensus.Status, to uint64) (bool, error) {
	if s.Leader == to {
		return true, nil
	}
	abandoned := s.Role == consensus.RoleLeader && s.Transferee != to
	otherLeads := s.Leader != 0 && s.Leader != s.ID
	if abandoned || otherLeads {
		return false, &consensus.RefusedError{Reason: consensus.ReasonTransferFailed, Leader: s.Leader}
	}
	return false, nil
}

// memberCaughtUp reports whether a member holds the log up to index. Only a leader knows.
func memberCaughtUp(s consensus.Status, id, index uint64) (bool, error) {
	if s.Role != consensus.RoleLeader {
		return false, &UnknownOutcomeError{Err: errLeadershipLost}
	}
	for _, m := range s.Members {
		if m.ID == id {
			return m.Match >= index, nil
		}
	}
	return false, nil
}

// TransferLeadership transfers leadership to a voter and returns once it leads. It is
// refused when the voter does not take over within an election timeout.
func (r *Replica) TransferLeadership(ctx context.Context, to uint64) error {
	start := func() error { return r.withLeaderHint(r.core.TransferLeadership(to)) }
	return r.wait(ctx, func(s consensus.Status) (bool, error) { return transferComplete(s, to) }, start)
}

func (r *Replica) change(ctx context.Context, change consensus.Change) error {
	_, err := r.submit(&proposal{ctx: ctx, change: &change, done: make(chan outcome, 1)})
	return err
}

// wait runs start in the loop and returns once ready holds.
func (r *Replica) wait(ctx context.Context, ready func(consensus.Status) (bool, error), start func() error) error {
	w := &waiter{ctx: ctx, ready: ready, done: make(chan error, 1)}
	run := func(*task) {
		if start != nil {
			if err := start(); err != nil {
				w.done <- err
				return
			}
		}
		r.waiters = append(r.waiters, w)
	}
	select {
	case r.tasks <- &task{run: run}:
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case err := <-w.done:
		return err
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return &UnknownOutcomeError{Err: context.Cause(ctx)}
	}
}

// finishWaiters ends the calls whose condition holds and drops those whose context has
// ended. It runs in the loop after every batch of work.
func (r *Replica) finishWaiters() {
	if len(r.waiters) == 0 {
		return
	}
	s := r.core.Status()
	var kept []*waiter
	for _, w := range r.waiters {
		switch ok, err := w.ready(s); {
		case ok || err != nil:
			w.done <- err
		case w.ctx.Err() == nil:
			kept = append(kept, w)
		}
	}
	r.waiters = kept
}
