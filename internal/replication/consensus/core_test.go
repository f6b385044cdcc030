package consensus_test

import (
	"errors"
	"testing"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/replication/consensus"
)

// follower returns replica 1 of a group of three with a log of three entries of
// term 1, of which none is known to be committed. Replica 9 was removed.
func follower(t *testing.T) *consensus.Core {
	t.Helper()
	m := consensus.NewMembership([]consensus.Member{{ID: 1, Incarnation: 1}, {ID: 2, Incarnation: 2}, {ID: 3, Incarnation: 3}})
	m.Retired = []uint64{9}
	st := consensus.State{HardState: consensus.HardState{Term: 1}, Snapshot: consensus.Snapshot{Membership: m}}
	for index := uint64(1); index <= 3; index++ {
		st.Entries = append(st.Entries, consensus.Entry{Term: 1, Index: index, Type: consensus.EntryNormal, Data: []byte{1}})
	}
	c, err := consensus.New(consensus.Config{ID: 1, Incarnation: 1, Seed: 1}, st)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestStepRefusals(t *testing.T) {
	heartbeat := consensus.Message{Type: consensus.MessageHeartbeat, From: 2, To: 1, Incarnation: 2, Term: 1}
	change := func(f func(m *consensus.Message)) *consensus.Message {
		m := heartbeat
		f(&m)
		return &m
	}
	cases := []struct {
		name string
		m    *consensus.Message
		want consensus.Reason
	}{
		{"accepted", &heartbeat, ""},
		{"for another replica", change(func(m *consensus.Message) { m.To = 3 }), consensus.ReasonWrongAddressee},
		{"for another data folder", change(func(m *consensus.Message) { m.ToIncarnation = 7 }), consensus.ReasonWrongIncarnation},
		{"from another data folder", change(func(m *consensus.Message) { m.Incarnation = 7 }), consensus.ReasonWrongIncarnation},
		{"from a removed replica", change(func(m *consensus.Message) { m.From = 9 }), consensus.ReasonRetiredID},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := follower(t).Step(c.m)
			var refused *consensus.RefusedError
			if errors.As(err, &refused); refused == nil && c.want != "" || refused != nil && refused.Reason != c.want {
				t.Errorf("step gave %v, want reason %q", err, c.want)
			}
		})
	}
}

// Entries that the leader has not yet confirmed must not become committed, even
// when its commit index lies beyond them.
func TestCommitCoversOnlyConfirmedEntries(t *testing.T) {
	c := follower(t)
	m := consensus.Message{Type: consensus.MessageAppend, From: 2, To: 1, Incarnation: 2, Term: 2, Index: 1, LogTerm: 1, Commit: 3}
	if err := c.Step(&m); err != nil {
		t.Fatal(err)
	}
	if commit := c.Status().Commit; commit != 1 {
		t.Errorf("commit %d, want 1", commit)
	}
}

// A sole voter becomes leader on its first tick, before its term is durable: none of its
// messages may be in Early.
func TestNoMessageIsEarlyBeforeTheTermIsDurable(t *testing.T) {
	c, err := consensus.New(consensus.Config{ID: 1, Incarnation: 1, Seed: 1}, consensus.State{Snapshot: consensus.Snapshot{
		Membership: consensus.NewMembership([]consensus.Member{{ID: 1, Incarnation: 1}, {ID: 2, Learner: true}}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	c.Tick()
	rd := c.Ready()
	if rd.HardState == nil || rd.HardState.Term != 1 || len(rd.Messages) == 0 || len(rd.Early) != 0 {
		t.Errorf("first batch of a leader: hard state %+v, %d messages, %d of them early", rd.HardState, len(rd.Messages)+len(rd.Early), len(rd.Early))
	}
}

// onlyMessage returns the only message that a core sends next.
func onlyMessage(t *testing.T, c *consensus.Core) consensus.Message {
	t.Helper()
	rd := c.Ready()
	if len(rd.Messages) != 1 {
		t.Fatalf("%d messages, want 1", len(rd.Messages))
	}
	c.Advance()
	return rd.Messages[0]
}

// Also before the incarnations are recorded, a vote is valid for one data folder only.
func TestVoteIsBoundToTheDataFolder(t *testing.T) {
	c, err := consensus.New(consensus.Config{ID: 1, Incarnation: 1, Seed: 1}, consensus.State{Snapshot: consensus.Snapshot{
		Membership: consensus.NewMembership([]consensus.Member{{ID: 1}, {ID: 2}, {ID: 3}}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		incarnation uint64
		reject      bool
	}{{5, false}, {6, true}, {5, false}} {
		m := consensus.Message{Type: consensus.MessageVote, From: 2, To: 1, Incarnation: step.incarnation, Term: 1}
		if err := c.Step(&m); err != nil {
			t.Fatal(err)
		}
		if got := onlyMessage(t, c); got.Reject != step.reject || got.ToIncarnation != step.incarnation {
			t.Errorf("folder %d: answer %+v, want reject %v", step.incarnation, got, step.reject)
		}
	}
}

func TestDamagedSnapshotIsNotInstalled(t *testing.T) {
	c := follower(t)
	m := consensus.Message{Type: consensus.MessageSnapshotChunk, From: 2, To: 1, Incarnation: 2, Term: 1, Chunk: &consensus.SnapshotChunk{
		Index: 9, Term: 1, Total: 4, Data: []byte("data"), Checksum: 1,
	}}
	if err := c.Step(&m); err != nil {
		t.Fatal(err)
	}
	if got := onlyMessage(t, c); got.Type != consensus.MessageSnapshotResponse || got.Hint != 0 {
		t.Errorf("answer %+v, want a request for the first chunk", got)
	}
	if s := c.Status(); s.Commit != 0 || s.LastIndex != 3 {
		t.Errorf("commit %d, last %d after a damaged snapshot", s.Commit, s.LastIndex)
	}
}

// A snapshot that the log already covers must not drop the entries after it, which
// this replica has acknowledged.
func TestSnapshotWithinTheLogKeepsItsTail(t *testing.T) {
	c := follower(t)
	data := []byte("data")
	m := consensus.Message{Type: consensus.MessageSnapshotChunk, From: 2, To: 1, Incarnation: 2, Term: 1, Chunk: &consensus.SnapshotChunk{
		Index: 2, Term: 1, Total: 4, Data: data, Checksum: xxhash.Sum64(data), Membership: c.Status().Membership,
	}}
	if err := c.Step(&m); err != nil {
		t.Fatal(err)
	}
	if s := c.Status(); s.Commit != 2 || s.LastIndex != 3 || c.Installing() {
		t.Errorf("commit %d, last %d, installing %v", s.Commit, s.LastIndex, c.Installing())
	}
}

// A learner that lost its disk returns with another incarnation. The leader must not
// count acknowledgements of one incarnation for the other.
func TestLearnerIsBoundToTheDataFolder(t *testing.T) {
	c, err := consensus.New(consensus.Config{ID: 1, Incarnation: 1, Seed: 1}, consensus.State{Snapshot: consensus.Snapshot{
		Membership: consensus.NewMembership([]consensus.Member{{ID: 1, Incarnation: 1}, {ID: 2, Learner: true}}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	c.Tick()
	c.Ready()
	c.Advance()
	for _, step := range []struct{ incarnation, index, match uint64 }{{5, 0, 0}, {6, 1, 0}, {5, 1, 1}} {
		m := consensus.Message{Type: consensus.MessageAppendResponse, From: 2, To: 1, Incarnation: step.incarnation, Term: 1, Index: step.index}
		if err := c.Step(&m); err != nil {
			t.Fatal(err)
		}
		if match := c.Status().Members[1].Match; match != step.match {
			t.Errorf("folder %d acknowledged %d: match %d, want %d", step.incarnation, step.index, match, step.match)
		}
	}
}

// When the last append is lost, no later one reveals the gap: the leader must resend it
// when heartbeat responses show no progress.
func TestLostAppendIsRepeated(t *testing.T) {
	c, err := consensus.New(consensus.Config{ID: 1, Incarnation: 1, Seed: 1}, consensus.State{Snapshot: consensus.Snapshot{
		Membership: consensus.NewMembership([]consensus.Member{{ID: 1, Incarnation: 1}, {ID: 2, Learner: true}}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	work := func() (appends int) {
		for rd := c.Ready(); !rd.Empty(); rd = c.Ready() {
			c.Advance()
			for _, m := range append(rd.Early, rd.Messages...) {
				if m.Type == consensus.MessageAppend && len(m.Entries) > 0 {
					appends++
				}
			}
		}
		return appends
	}
	answer := func(m consensus.Message) {
		m.From, m.To, m.Incarnation, m.Term = 2, 1, 2, 1
		if err := c.Step(&m); err != nil {
			t.Fatal(err)
		}
	}
	c.Tick()
	work()
	answer(consensus.Message{Type: consensus.MessageAppendResponse, Index: 1})
	work()
	if _, _, err := c.Propose([]byte("command")); err != nil {
		t.Fatal(err)
	}
	if sent := work(); sent != 1 {
		t.Fatalf("%d appends for a command", sent)
	}
	answer(consensus.Message{Type: consensus.MessageHeartbeatResponse})
	repeated := work()
	answer(consensus.Message{Type: consensus.MessageHeartbeatResponse})
	if repeated += work(); repeated != 1 {
		t.Errorf("lost append was repeated %d times after two heartbeats", repeated)
	}
}
