package controlhost

import (
	"context"
	"sync"
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

// quorumState is what a host knows of its group besides its own log.
type quorumState struct {
	mu         sync.Mutex
	lost       bool
	lastLeader time.Time            // when a leader was last known
	heard      map[string]time.Time // when the control host at an address last answered
}

// maxHeard bounds the addresses that a quorumState keeps.
const maxHeard = 256

func (q *quorumState) record(lost bool, lastLeader time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lost, q.lastLeader = lost, lastLeader
}

// leader returns whether the quorum counts as lost and when a leader was last known.
func (q *quorumState) leader() (lost bool, last time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lost, q.lastLeader
}

// heardFrom records that the control host at an address has answered.
func (q *quorumState) heardFrom(address string) { q.heardAt(address, time.Now()) }

func (q *quorumState) heardAt(address string, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.heard) >= maxHeard || q.heard == nil {
		q.heard = map[string]time.Time{}
	}
	if at.After(q.heard[address]) {
		q.heard[address] = at
	}
}

// heardInLog records which members have sent messages of the replicated log: to a leader all of
// them, to others the leader.
func (q *quorumState) heardInLog(status replica.Status, now time.Time) {
	for _, m := range status.Members {
		switch {
		case m.ID == status.ID:
		case status.Role == replica.RoleLeader && m.Match > 0:
			q.heardAt(m.Address, now.Add(-m.Silent))
		case m.ID == status.Leader:
			q.heardAt(m.Address, now)
		}
	}
}

// silence returns the time since the control host at an address last answered, negative if it
// has not.
func (q *quorumState) silence(address string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, ok := q.heard[address]
	if !ok {
		return -1
	}
	return time.Since(at)
}

func (h *Host) quorumGauge() float64 {
	if lost, last := h.quorum.leader(); lost || last.IsZero() {
		return 0
	}
	return 1
}

// watchQuorum logs when this host loses its quorum and when it regains it.
func (h *Host) watchQuorum(ctx context.Context) {
	var watch quorumWatch
	for pause.For(ctx, quorumInterval) {
		var status replica.Status
		if opened := h.membership.current.Load(); opened != nil {
			status = opened.replica.Status()
		}
		h.quorum.heardInLog(status, time.Now())
		event, without := watch.observe(status.Leader != 0, time.Now())
		h.quorum.record(watch.lost, watch.lastLeader)
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
