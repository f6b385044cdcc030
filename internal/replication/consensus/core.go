package consensus

import (
	"fmt"
	"math/rand/v2"

	"filberthook/internal/process/invariant"
)

// Config holds the settings of a Core.
type Config struct {
	ID          uint64 // of this replica, not 0
	Incarnation uint64 // random number of this replica's data folder, not 0
	// ElectionTicks is the shortest time without a leader before an election; the
	// time used is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks  int
	HeartbeatTicks int
	Seed           uint64 // of the election timeouts
	// MaxAppendBytes bounds the entries of one append message.
	MaxAppendBytes int
	// MaxUncommittedBytes bounds the entries that a leader holds uncommitted.
	MaxUncommittedBytes int
	// ChunkBytes bounds the data of one snapshot message.
	ChunkBytes int
}

// withDefaults returns the settings with zero values replaced by defaults.
func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTicks, 10)
	setDefault(&c.HeartbeatTicks, 1)
	setDefault(&c.MaxAppendBytes, 512<<10)
	setDefault(&c.MaxUncommittedBytes, 32<<20)
	setDefault(&c.ChunkBytes, 256<<10)
	return c
}

func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

// validate returns a *ConfigError for the first setting out of range.
func (c Config) validate() error {
	switch {
	case c.ID == 0:
		return &ConfigError{"replica id is 0", "set a positive one"}
	case c.Incarnation == 0:
		return &ConfigError{"incarnation is 0", "draw a random one for each data folder"}
	case c.HeartbeatTicks < 1 || c.ElectionTicks <= c.HeartbeatTicks:
		return &ConfigError{fmt.Sprintf("%d election ticks, %d heartbeat ticks", c.ElectionTicks, c.HeartbeatTicks), "set more election ticks than heartbeat ticks"}
	case c.MaxAppendBytes < 1 || c.MaxAppendBytes > MaxMessageBytes/4 || c.ChunkBytes < 1 || c.ChunkBytes > MaxMessageBytes/4:
		return &ConfigError{fmt.Sprintf("appends of %d and chunks of %d bytes", c.MaxAppendBytes, c.ChunkBytes), fmt.Sprintf("set both within 1..%d", MaxMessageBytes/4)}
	}
	return nil
}

// State is what a replica recovered from its disk. Entries follow Snapshot.
// A new group's initial replicas start with a Snapshot of index 0 that carries the
// initial membership; a replica that joins starts with an empty membership.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// indexedMembership is a membership and the index of the entry that set it.
type indexedMembership struct {
	index      uint64
	membership Membership
}

// Core is one replica's consensus state machine. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rand *rand.Rand

	term            uint64
	vote            uint64    // replica voted for in term, 0 for none
	voteIncarnation uint64    // incarnation of that replica
	saved           HardState // last one that the caller made durable
	unsavedCommit   int       // ticks for which the durable commit index is behind
	log             raftLog
	memberships     []indexedMembership // ascending index, never empty; the last is in force
	snapshot        *Snapshot           // newest one, sent to replicas that lag behind the log
	excluded        Exclusion

	role             Role
	leader           uint64
	electionElapsed  int    // ticks
	heartbeatElapsed int    // ticks
	electionTimeout  int    // ticks
	lastLeader       uint64 // replica that was last heard from as a leader
	lastLeaderTicks  int    // ticks since then
	upTicks          uint64 // since the start
	votes            map[uint64]ballot

	progress       map[uint64]*progress // leader only
	uncommitted    int                  // bytes, leader only
	transferee     uint64
	sendAppends    bool
	sendHeartbeats bool

	readSeq      uint64
	reads        []pendingRead // confirmed in order of seq
	delayedReads []pendingRead // waiting for the first commit in the term

	incoming   *incomingSnapshot
	installed  *Snapshot
	early      []Message
	messages   []Message
	readStates []ReadState
	ready      *Ready // returned by Ready, Advance not yet called

	fault fault // tests only
}

// New returns a follower with the recovered state.
func New(cfg Config, st State) (*Core, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	snap := st.Snapshot
	c := &Core{
		cfg:             cfg,
		rand:            rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		term:            st.HardState.Term,
		vote:            st.HardState.Vote,
		voteIncarnation: st.HardState.VoteIncarnation,
		upTicks:         1, // 0 stands for unknown
		saved:           st.HardState,
		snapshot:        &snap,
		memberships:     []indexedMembership{{snap.Index, snap.Membership}},
		log:             raftLog{offset: snap.Index, offsetTerm: snap.Term, stable: snap.Index, committed: snap.Index, applied: snap.Index},
	}
	for i, e := range st.Entries {
		if e.Index != snap.Index+uint64(i)+1 {
			return nil, &FormatError{Detail: fmt.Sprintf("recovered entry %d does not follow snapshot %d", e.Index, snap.Index)}
		}
	}
	if err := c.recordMemberships(st.Entries); err != nil {
		return nil, err
	}
	c.log.append(st.Entries...)
	c.log.stable = c.log.lastIndex()
	c.log.commitTo(min(st.HardState.Commit, c.log.lastIndex()))
	c.becomeFollower(c.term, 0)
	c.checkIncarnation()
	return c, nil
}

// membership returns the membership in force: the newest in the log, committed or not.
func (c *Core) membership() Membership {
	return c.memberships[len(c.memberships)-1].membership
}

// changePending reports whether a membership entry is not committed yet.
func (c *Core) changePending() bool {
	return c.memberships[len(c.memberships)-1].index > c.log.committed
}

// appendLog overwrites the log from entries[0] on and updates the memberships to match.
func (c *Core) appendLog(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	c.log.append(entries...)
	n := len(c.memberships)
	for n > 1 && c.memberships[n-1].index >= first {
		n--
	}
	c.memberships = c.memberships[:n]
	err := c.recordMemberships(entries)
	invariant.Check(err == nil, "membership-entry-valid", "%v", err)
	c.checkIncarnation()
}

func (c *Core) recordMemberships(entries []Entry) error {
	for _, e := range entries {
		if e.Type != EntryMembership {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			return fmt.Errorf("entry %d: %w", e.Index, err)
		}
		c.memberships = append(c.memberships, indexedMembership{e.Index, m})
	}
	return nil
}

// checkIncarnation excludes this replica when the group has recorded another data
// folder for its id.
func (c *Core) checkIncarnation() {
	self, ok := c.membership().Find(c.cfg.ID)
	if ok && self.Incarnation != 0 && self.Incarnation != c.cfg.Incarnation && c.fault != faultIgnoreIncarnation {
		c.excluded = ExclusionDiskLost
	}
}

// saveCommitTicks is how long a commit index waits to be saved with other state. A replica that
// restarts without a leader applies what it has saved as committed.
const saveCommitTicks = 2

// Tick advances the logical clock by one.
func (c *Core) Tick() {
	if c.excluded != ExclusionNone {
		return
	}
	c.upTicks++
	c.electionElapsed++
	c.lastLeaderTicks++
	if c.log.committed > c.saved.Commit {
		c.unsavedCommit++
	}
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout || c.isSoleVoter() {
		c.electionElapsed = 0
		c.resetElectionTimeout()
		c.startElection()
	}
}

// isSoleVoter reports whether this replica is the only voter. Such a replica starts
// an election without waiting for a timeout.
func (c *Core) isSoleVoter() bool {
	m := c.membership()
	return m.Voters() == 1 && m.IsVoter(c.cfg.ID)
}

func (c *Core) tickLeader() {
	for id, p := range c.progress {
		if id != c.cfg.ID {
			p.silentTicks++
		}
	}
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.sendHeartbeats = true
	}
	if c.electionElapsed < c.cfg.ElectionTicks {
		return
	}
	c.electionElapsed = 0
	c.transferee = 0
	if !c.quorumActive() {
		c.becomeFollower(c.term, 0)
	}
}

// quorumActive reports whether a quorum of voters sent a response since the last call.
func (c *Core) quorumActive() bool {
	active := 0
	m := c.membership()
	for id, p := range c.progress {
		if m.IsVoter(id) && (p.active || id == c.cfg.ID) {
			active++
		}
		p.active = false
	}
	return active >= m.Quorum()
}

func (c *Core) resetElectionTimeout() {
	c.electionTimeout = c.cfg.ElectionTicks + c.rand.IntN(c.cfg.ElectionTicks)
}

// setTerm adopts a term; a later one starts without a vote and without a known leader.
func (c *Core) setTerm(term uint64) {
	invariant.Check(term >= c.term, "term-grows", "term %d after %d", term, c.term)
	if term > c.term {
		c.term, c.leader = term, 0
		c.vote, c.voteIncarnation = 0, 0
	}
}

func (c *Core) setVote(id, incarnation uint64) {
	invariant.Check(c.vote == 0 || c.votedFor(id, incarnation) || c.fault == faultVoteTwice, "one-vote-per-term",
		"term %d: voted for %d, now for %d", c.term, c.vote, id)
	c.vote, c.voteIncarnation = id, incarnation
}

func (c *Core) votedFor(id, incarnation uint64) bool {
	return c.vote == id && c.voteIncarnation == incarnation
}

func (c *Core) setLeader(id uint64) {
	invariant.Check(c.leader == 0 || c.leader == id || c.fault == faultAcceptStaleAppend, "one-leader-per-term",
		"term %d: leaders %d and %d", c.term, c.leader, id)
	c.leader = id
}

func (c *Core) becomeFollower(term, leader uint64) {
	c.setTerm(term)
	c.role = RoleFollower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	c.transferee = 0
	c.reads, c.delayedReads = nil, nil
	c.sendAppends, c.sendHeartbeats = false, false
	c.electionElapsed, c.heartbeatElapsed = 0, 0
	c.resetElectionTimeout()
}

func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	m.Incarnation = c.cfg.Incarnation
	c.messages = append(c.messages, m)
}

// reply queues a response to the sender of m. ToIncarnation keeps a later replica
// with the same id and another data folder from accepting it.
func (c *Core) reply(m *Message, answer Message) {
	answer.To = m.From
	answer.ToIncarnation = m.Incarnation
	c.send(answer)
}

// sendEarly queues a leader's message that does not depend on its own durable state.
func (c *Core) sendEarly(m Message) {
	m.From = c.cfg.ID
	m.Incarnation = c.cfg.Incarnation
	m.Term = c.term
	if p := c.progress[m.To]; p != nil {
		m.ToIncarnation = p.incarnation
	}
	c.early = append(c.early, m)
}
