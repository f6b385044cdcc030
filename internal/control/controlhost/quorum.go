package controlhost

import (
	"context"
	"time"

	"filberthook/internal/process/pause"
	"filberthook/internal/replication/replica"
)

const (
	// quorumInterval is how often a host checks whether it knows a leader.
	quorumInterval = 250 * time.Millisecond
	// quorumLostAfter is the time without a leader after which the quorum counts as lost.
	// An election that succeeds takes less.
	quorumLostAfter = 2 * time.Second
)

// quorumWatch tells whether a host has a leader, and with it a quorum, within reach. It
// does no I/O.
type quorumWatch struct {
	lastLeader time.Time // when a leader was last known
	lost       bool
}

// quorumEvent is a change that quorumWatch reports.
type quorumEvent uint8

const (
	quorumUnchanged quorumEvent = iota
	quorumLost
	quorumRegained
)

// observe records whether a leader is known at a time. The duration is how long there was
// none.
func (q *quorumWatch) observe(leader bool, now time.Time) (quorumEvent, time.Duration) {
	if q.lastLeader.IsZero() {
		q.lastLeader = now
	}
	without := now.Sub(q.lastLeader)
	switch {
	case leader:
		q.lastLeader = now
		if q.lost {
			q.lost = false
			return quorumRegained, without
		}
	case !q.lost && without >= quorumLostAfter:
		q.lost = true
		return quorumLost, without
	}
	return quorumUnchanged, without
}

func (h *Host) quorumGauge() float64 {
	if h.hasQuorum.Load() {
		return 1
	}
	return 0
}

// watchQuorum logs when this host loses its quorum and when it regains it.
func (h *Host) watchQuorum(ctx context.Context) {
	var watch quorumWatch
	for pause.For(ctx, quorumInterval) {
		var status replica.Status
		if opened := h.membership.current.Load(); opened != nil {
			status = opened.replica.Status()
		}
		event, without := watch.observe(status.Leader != 0, time.Now())
		h.hasQuorum.Store(!watch.lost)
		switch event {
		case quorumLost:
			h.logger.Warn("quorum of the control group lost: configurations can be neither changed nor read here",
				"replica", status.ID, "member", isMember(status, status.ID), "voters", status.VoterAddresses(),
				"term", status.Term, "last", status.LastIndex, "commit", status.Commit, "without_leader", without)
		case quorumRegained:
			h.logger.Info("quorum of the control group regained", "replica", status.ID, "leader", status.LeaderAddress,
				"voters", status.VoterAddresses(), "term", status.Term, "commit", status.Commit, "without_leader", without)
		}
	}
}
