package replica

import (
	"context"
	"errors"

	"filberthook/internal/replication/consensus"
)

// unresolvedTimeouts is the number of election timeouts that a proposal of a former leader
// waits to be committed or replaced by the new leader.
const unresolvedTimeouts = 4

// proposal is a command or membership change whose outcome is not yet known.
type proposal struct {
	ctx     context.Context
	data    []byte
	change  *consensus.Change // nil for a command
	term    uint64
	expires uint64 // tick, 0 while this replica leads
	done    chan outcome
}

type outcome struct {
	result any
	err    error
}

func (p *proposal) finish(result any, err error) {
	p.done <- outcome{result: result, err: err}
}

// Propose appends a command and returns the result of its Apply. It returns
// *NotLeaderError when the command was not and will not be applied by this call,
// *consensus.RefusedError when it was refused without effect, and
// *UnknownOutcomeError when it may have been or may yet be applied.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) == 0 || len(data) > consensus.MaxEntryBytes {
		err := &consensus.RefusedError{Reason: consensus.ReasonSize}
		r.counters.outcome(err)
		return nil, err
	}
	p := &proposal{ctx: ctx, data: data, done: make(chan outcome, 1)}
	return r.submit(p)
}

func (r *Replica) submit(p *proposal) (any, error) {
	select {
	case <-r.stopped:
		return nil, r.stoppedError()
	default:
	}
	select {
	case r.proposals <- p:
	case <-r.stopped:
		return nil, r.stoppedError()
	case <-p.ctx.Done():
		return nil, &consensus.RefusedError{Reason: consensus.ReasonBusy}
	}
	select {
	case o := <-p.done:
		r.counters.outcome(o.err)
		return o.result, o.err
	case <-p.ctx.Done():
		r.counters.unknownOutcomes.Inc()
		return nil, &UnknownOutcomeError{Err: context.Cause(p.ctx)}
	case <-r.stopped:
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, &UnknownOutcomeError{Err: ErrStopped}
	}
}

// stoppedError tells the caller that nothing was proposed here.
func (r *Replica) stoppedError() error { return &NotLeaderError{} }

// propose runs in the loop.
func (r *Replica) propose(p *proposal) {
	if p.ctx.Err() != nil {
		p.finish(nil, &consensus.RefusedError{Reason: consensus.ReasonBusy})
		return
	}
	var index uint64
	var err error
	if p.change != nil {
		index, p.term, err = r.core.ProposeMembership(*p.change)
	} else {
		index, p.term, err = r.core.Propose(p.data)
	}
	if err != nil {
		p.finish(nil, r.withLeaderHint(err))
		return
	}
	if earlier, ok := r.pending[index]; ok {
		// The earlier entry is gone from this log, but another replica may still hold
		// and commit it.
		earlier.finish(nil, &UnknownOutcomeError{Err: errLeadershipLost})
	}
	r.pending[index] = p
}

// withLeaderHint replaces the core's refusal by a follower with one that names the leader.
func (r *Replica) withLeaderHint(err error) error {
	var refused *consensus.RefusedError
	if errors.As(err, &refused) && refused.Reason == consensus.ReasonNotLeader {
		return r.notLeader()
	}
	return err
}

func (r *Replica) notLeader() error {
	s := r.core.Status()
	leader, _ := s.Membership.Find(s.Leader)
	return &NotLeaderError{Leader: s.Leader, Address: leader.Address}
}

// expireProposals ends proposals of a former leader that stay undecided for too long.
func (r *Replica) expireProposals() {
	if len(r.pending) == 0 {
		return
	}
	leads := r.core.Role() == consensus.RoleLeader
	limit := uint64(unresolvedTimeouts * r.cfg.ElectionTicks)
	for index, p := range r.pending {
		switch {
		case leads:
			p.expires = 0
		case p.expires == 0:
			p.expires = r.tick + limit
		case r.tick >= p.expires:
			delete(r.pending, index)
			p.finish(nil, &UnknownOutcomeError{Err: errLeadershipLost})
		}
	}
}
