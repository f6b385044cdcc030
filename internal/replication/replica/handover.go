package replica

import (
	"context"
	"time"

	"filberthook/internal/replication/consensus"
)

// transferOnStop transfers leadership before this replica stops, so that a planned stop
// does not cost the group an election timeout. It gives up after the shortest election
// timeout.
func (r *Replica) transferOnStop() error {
	to := transferTarget(r.core.Status())
	if to == 0 || r.core.TransferLeadership(to) != nil {
		return nil
	}
	timer := time.NewTimer(time.Duration(r.cfg.ElectionTicks) * r.cfg.TickInterval)
	defer timer.Stop()
	for r.core.Role() == consensus.RoleLeader {
		if err := r.process(); err != nil {
			return err
		}
		select {
		case m := <-r.messages:
			r.step(m)
		case <-timer.C:
			return nil
		}
	}
	return r.process()
}

// TransferLeadershipToAny transfers leadership to an active voter before a planned stop,
// while the host still serves. It tries the voters in turn, each for at most timeout, and
// does nothing when this replica does not lead.
func (r *Replica) TransferLeadershipToAny(timeout time.Duration) {
	status := r.Status()
	if status.Role != RoleLeader {
		return
	}
	for _, m := range status.Members {
		if m.ID == status.ID || m.Learner || !m.Active {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		err := r.TransferLeadership(ctx, m.ID)
		cancel()
		if err == nil {
			r.cfg.Logger.Info("leadership transferred", "to", m.ID)
			return
		}
		r.cfg.Logger.Warn("leadership transfer failed, trying the next active voter if any", "to", m.ID, "err", err)
	}
}

// transferTarget returns the active voter with the highest match index, or 0.
func transferTarget(s consensus.Status) uint64 {
	var best consensus.MemberStatus
	for _, m := range s.Members {
		if m.ID != s.ID && !m.Learner && m.Active && m.Match > best.Match {
			best = m
		}
	}
	return best.ID
}
