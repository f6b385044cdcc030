package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/replication/consensus"
)

// maxUpTicks bounds what a member says of the time since its start.
const maxUpTicks = 1 << 20

// MemberStatus describes a member. Match and Active are known on the leader only.
type MemberStatus struct {
	Member
	Match  uint64        // highest index known to be durable there
	Active bool          // heard from within the last election timeout
	Silent time.Duration // since it was last heard from
	Up     time.Duration // since its replica was opened, as it said last; 0 when unknown
}

// Status describes a replica at one moment.
type Status struct {
	ID            uint64
	Term          uint64
	Leader        uint64 // 0 when unknown
	LeaderAddress string // empty when unknown
	Role          string // follower, pre-candidate, candidate or leader
	Commit        uint64
	Applied       uint64
	FirstIndex    uint64
	LastIndex     uint64
	LastTerm      uint64 // of the entry at LastIndex
	Members       []MemberStatus
	Exclusion     consensus.Exclusion
	Removed       []uint64 // ids of former members, sorted; not to be modified
	Retired       []uint64 // Removed, and members whose removal is not committed yet; likewise
}

// Status returns the replica's status after its last batch of work.
func (r *Replica) Status() Status { return *r.status.Load() }

func (r *Replica) publishStatus() *Status {
	s := r.core.Status()
	leader, _ := s.Membership.Find(s.Leader)
	out := &Status{
		ID: s.ID, Term: s.Term, Leader: s.Leader, LeaderAddress: leader.Address, Role: s.Role.String(),
		Commit: s.Commit, Applied: s.Applied, FirstIndex: s.FirstIndex, LastIndex: s.LastIndex, LastTerm: s.LastTerm,
		Exclusion: s.Exclusion, Removed: s.Removed, Retired: s.Membership.Retired,
	}
	for i, m := range s.Membership.Members {
		ms := MemberStatus{Member: Member{ID: m.ID, Address: m.Address, Zone: m.Zone, Learner: m.Learner}}
		if len(s.Members) > 0 {
			ms.Match, ms.Active = s.Members[i].Match, s.Members[i].Active
			ms.Silent = time.Duration(s.Members[i].SilentTicks) * r.cfg.TickInterval
			ms.Up = time.Duration(min(s.Members[i].UpTicks, maxUpTicks)) * r.cfg.TickInterval
		}
		out.Members = append(out.Members, ms)
	}
	if previous := r.status.Swap(out); previous != nil {
		r.reportChange(previous, out)
	}
	return out
}

// reportChange logs and counts changes of leadership and membership.
func (r *Replica) reportChange(previous, now *Status) {
	if now.Role == RoleLeader && previous.Role != RoleLeader {
		r.counters.elected.Inc()
	}
	if now.Leader != previous.Leader {
		r.cfg.Logger.Info("leader changed", slog.Uint64("replica", now.ID), slog.Uint64("leader", now.Leader),
			slog.Uint64("term", now.Term), slog.Uint64("commit", now.Commit))
	}
	if !slices.EqualFunc(now.Members, previous.Members, func(a, b MemberStatus) bool { return a.Member == b.Member }) {
		r.cfg.Logger.Info("membership changed", slog.Uint64("replica", now.ID), slog.Int("members", len(now.Members)),
			slog.Any("voters", now.VoterAddresses()), slog.Uint64("last", now.LastIndex))
	}
}

// VoterAddresses returns the addresses of the voters, in the order of their ids.
func (s Status) VoterAddresses() []string {
	var out []string
	for _, m := range s.Members {
		if !m.Learner {
			out = append(out, m.Address)
		}
	}
	return out
}

// RoleLeader is the Role of a leading replica in Status.
var RoleLeader = consensus.RoleLeader.String()

// counters are the replica's metrics.
type counters struct {
	set             *metrics.Set
	malformed       *metrics.Counter
	queueFull       *metrics.Counter
	unknownOutcomes *metrics.Counter
	applied         *metrics.Counter
	readRetries     *metrics.Counter
	readTimeouts    *metrics.Counter
	snapshots       *metrics.Counter
	elected         *metrics.Counter
	snapshotErrors  *metrics.Counter
	sentBytes       *metrics.Counter
	receivedBytes   *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		set:             set,
		malformed:       set.GetOrCreateCounter(`filberthook_replica_messages_dropped_total{reason="malformed"}`),
		queueFull:       set.GetOrCreateCounter(`filberthook_replica_messages_dropped_total{reason="queue_full"}`),
		unknownOutcomes: set.GetOrCreateCounter(`filberthook_replica_proposals_refused_total{reason="unknown_outcome"}`),
		applied:         set.GetOrCreateCounter(`filberthook_replica_proposals_applied_total`),
		readRetries:     set.GetOrCreateCounter(`filberthook_replica_read_retries_total`),
		readTimeouts:    set.GetOrCreateCounter(`filberthook_replica_read_timeouts_total`),
		elected:         set.GetOrCreateCounter(`filberthook_replica_elections_won_total`),
		snapshots:       set.GetOrCreateCounter(`filberthook_replica_snapshots_written_total`),
		snapshotErrors:  set.GetOrCreateCounter(`filberthook_replica_snapshot_errors_total`),
		sentBytes:       set.GetOrCreateCounter(`filberthook_replica_sent_bytes_total`),
		receivedBytes:   set.GetOrCreateCounter(`filberthook_replica_received_bytes_total`),
	}
}

// registerGauges exports the replica's term, leader and log indexes.
func (r *Replica) registerGauges() {
	gauges := []struct {
		name  string
		value func(*Status) uint64
	}{
		{"term", func(s *Status) uint64 { return s.Term }},
		{"leader", func(s *Status) uint64 { return s.Leader }},
		{"commit_index", func(s *Status) uint64 { return s.Commit }},
		{"applied_index", func(s *Status) uint64 { return s.Applied }},
		{"last_index", func(s *Status) uint64 { return s.LastIndex }},
	}
	for _, g := range gauges {
		name := fmt.Sprintf(`filberthook_replica_%s{replica="%d"}`, g.name, r.cfg.ID)
		r.cfg.Metrics.GetOrCreateGauge(name, func() float64 { return float64(g.value(r.status.Load())) })
	}
}

func (c *counters) sent(n int)     { c.sentBytes.Add(n) }
func (c *counters) received(n int) { c.receivedBytes.Add(n) }

// dropped counts a message that the core refused.
func (c *counters) dropped(err error) {
	var refused *consensus.RefusedError
	if errors.As(err, &refused) {
		c.set.GetOrCreateCounter(fmt.Sprintf(`filberthook_replica_messages_dropped_total{reason=%q}`, refused.Reason)).Inc()
	}
}

// outcome counts how a proposal ended.
func (c *counters) outcome(err error) {
	var refused *consensus.RefusedError
	var notLeader *NotLeaderError
	switch {
	case err == nil:
		c.applied.Inc()
	case errors.As(err, &refused):
		c.set.GetOrCreateCounter(fmt.Sprintf(`filberthook_replica_proposals_refused_total{reason=%q}`, refused.Reason)).Inc()
	case errors.As(err, &notLeader):
		c.set.GetOrCreateCounter(`filberthook_replica_proposals_refused_total{reason="not_leader"}`).Inc()
	default:
		c.unknownOutcomes.Inc()
	}
}
