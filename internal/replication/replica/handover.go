package replica

import (
	"context"
	"time"

	"filberthook/internal/replication/consensus"
)

// transferOnStop lets another voter lead before this replica stops, so that a planned
// stop does not cost the group an election timeout. It gives up after the shortest
// election timeout.
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

// TransferLeadershipToAny gives the leadership to another voter that is up, before a planned stop of a
// host that still serves. Each voter that is asked has the timeout to take over. It does
// nothing when this replica does not lead.
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
			r.cfg.Logger.Info("leadership handed over", "to", m.ID)
			return
		}
		r.cfg.Logger.Warn("leadership not handed over", "to", m.ID, "err", err)
	}
}

// transferTarget returns the reachable voter that holds most of the leader's log, or 0.
func transferTarget(s consensus.Status) uint64 {
	var best consensus.MemberStatus
	for _, m := range s.Members {
		if m.ID != s.ID && !m.Learner && m.Active && m.Match > best.Match {
			best = m
		}
	}
	return best.ID
}
