package replica

import (
	"time"

	"filberthook/internal/consensus"
)

// handOver lets another voter lead before this replica stops, so that a planned
// stop does not cost the group an election timeout. It gives up after the shortest
// election timeout.
func (r *Replica) handOver() error {
	to := successor(r.core.Status())
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

// successor returns the reachable voter that holds most of the leader's log, or 0.
func successor(s consensus.Status) uint64 {
	var best consensus.MemberStatus
	for _, m := range s.Members {
		if m.ID != s.ID && !m.Learner && m.Active && m.Match > best.Match {
			best = m
		}
	}
	return best.ID
}
