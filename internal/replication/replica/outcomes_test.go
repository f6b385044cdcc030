package replica

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

type discardTransport struct{}

func (discardTransport) Send(uint64, []byte) {}

// steppedReplica is a replica without a running loop: the test calls the loop's functions
// and sends the messages of replicas 2 and 3.
type steppedReplica struct {
	*Replica
	t *testing.T
}

func newSteppedReplica(t *testing.T) steppedReplica {
	r, err := Open(Config{
		ID: 1, Dir: "data", FS: fsys.NewMem(), Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}, Logger: slog.New(slog.DiscardHandler),
	}, &commandLog{}, discardTransport{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.storage.Close() })
	return steppedReplica{r, t}
}

// receive steps a message of replica from and processes the resulting batches.
func (b steppedReplica) receive(from uint64, m consensus.Message) {
	b.t.Helper()
	m.From, m.Incarnation, m.To = from, from, 1
	if err := b.core.Step(&m); err != nil {
		b.t.Fatal(err)
	}
	b.processReady()
}

func (b steppedReplica) processReady() {
	b.t.Helper()
	if err := b.process(); err != nil {
		b.t.Fatal(err)
	}
}

// becomeLeader makes the replica the leader of the next term.
func (b steppedReplica) becomeLeader() {
	b.t.Helper()
	for b.core.Role() != consensus.RolePreCandidate {
		b.handleTick()
		b.processReady()
	}
	term := b.Status().Term + 1
	for _, answer := range []consensus.MessageType{consensus.MessagePreVoteResponse, consensus.MessageVoteResponse} {
		for from := uint64(2); from <= 3; from++ {
			b.receive(from, consensus.Message{Type: answer, Term: term})
		}
	}
	if b.core.Role() != consensus.RoleLeader {
		b.t.Fatalf("replica is %s", b.core.Role())
	}
}

// propose makes n proposals and returns them.
func (b steppedReplica) propose(n int) (list []*proposal) {
	for range n {
		p := &proposal{ctx: context.Background(), data: []byte("command"), done: make(chan outcome, 1)}
		b.Replica.propose(p)
		list = append(list, p)
	}
	b.processReady()
	return list
}

// overwrite makes replica 2 lead the next term and replace the entries after an index by
// its own.
func (b steppedReplica) overwrite(after, commit uint64) {
	s := b.Status()
	b.receive(2, consensus.Message{
		Type: consensus.MessageAppend, Term: s.Term + 1, Index: after, LogTerm: s.Term, Commit: commit,
		Entries: []consensus.Entry{{Term: s.Term + 1, Index: after + 1, Type: consensus.EntryNormal, Data: []byte("other")}},
	})
}

// A caller may be told that its command was not applied only if it never will be.
func TestOutcomesOfUndecidedProposals(t *testing.T) {
	cases := []struct {
		name    string
		then    func(b steppedReplica, last uint64)
		unknown bool // otherwise certainly not applied
	}{
		{"another entry committed in its place", func(b steppedReplica, last uint64) { b.overwrite(last-1, last) }, false},
		{"received snapshot passes it", func(b steppedReplica, last uint64) {
			b.receive(2, consensus.Message{Type: consensus.MessageSnapshotChunk, Term: b.Status().Term + 1, Chunk: &consensus.SnapshotChunk{
				Index: last + 5, Term: b.Status().Term + 1, Membership: consensus.NewMembership([]consensus.Member{{ID: 1}, {ID: 2}, {ID: 3}}),
				Total: 2, Data: []byte("[]"), Checksum: xxhash.Sum64String("[]"),
			}})
		}, true},
		{"its place is taken in this log alone", func(b steppedReplica, last uint64) {
			b.overwrite(last-3, 0)
			b.becomeLeader()
			b.propose(1)
		}, true},
		{"leadership lost for long", func(b steppedReplica, last uint64) {
			b.receive(2, consensus.Message{Type: consensus.MessageHeartbeat, Term: b.Status().Term + 1})
			for range (unresolvedTimeouts + 1) * DefaultElectionTicks {
				b.handleTick()
				b.processReady()
			}
		}, true},
		{"replica stops", func(b steppedReplica, _ uint64) { b.stop() }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newSteppedReplica(t)
			b.becomeLeader()
			list := b.propose(3)
			c.then(b, b.Status().LastIndex)
			select {
			case o := <-list[2].done:
				var unknown *UnknownOutcomeError
				var notLeader *NotLeaderError
				if errors.As(o.err, &unknown) != c.unknown || errors.As(o.err, &notLeader) == c.unknown {
					t.Errorf("outcome %v, want unknown: %v", o.err, c.unknown)
				}
			default:
				t.Error("proposal got no outcome")
			}
		})
	}
}

func TestCancelledCallHasUnknownOutcome(t *testing.T) {
	b := newSteppedReplica(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := b.Replica.Propose(ctx, []byte("command"))
		done <- err
	}()
	p := <-b.proposals // the loop has taken it
	cancel()
	var unknown *UnknownOutcomeError
	if err := <-done; !errors.As(err, &unknown) {
		t.Errorf("proposal gave %v", err)
	}
	b.Replica.propose(p)
	var refused *consensus.RefusedError
	if o := <-p.done; !errors.As(o.err, &refused) {
		t.Errorf("cancelled proposal was taken: %v", o.err)
	}
}

// A new group logs why it has no leader while an initial member is missing.
func TestFirstStartWaitsForAllMembers(t *testing.T) {
	b := newSteppedReplica(t)
	var out bytes.Buffer
	b.cfg.Logger = slog.New(slog.NewTextHandler(&out, nil))
	for range 4 * bootstrapWarnTimeouts * DefaultElectionTicks {
		b.handleTick()
		b.processReady()
		if b.core.Role() == consensus.RolePreCandidate {
			b.receive(2, consensus.Message{Type: consensus.MessagePreVoteResponse, Term: b.Status().Term + 1})
		}
	}
	if role := b.core.Role(); role != consensus.RolePreCandidate {
		t.Errorf("replica is %s with two of three initial members", role)
	}
	if !bytes.Contains(out.Bytes(), []byte("start the others")) {
		t.Errorf("log says %q", out.String())
	}
}

func TestSnapshotIsDueByEntriesAndBytes(t *testing.T) {
	for _, c := range []struct {
		name           string
		entries, bytes uint64
		want           bool
	}{
		{"neither", 100, 1000, false},
		{"entries", 3, 1000, true},
		{"bytes", 100, 20, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newSteppedReplica(t)
			b.cfg.SnapshotEvery, b.cfg.SnapshotBytes = c.entries, c.bytes
			b.becomeLeader()
			b.receive(2, consensus.Message{Type: consensus.MessageAppendResponse, Term: 1, Index: 1})
			b.lastSnapshot, b.appliedBytes = 1, 0 // entry 1 is the membership entry
			b.snapshotInProgress = false
			for len(b.snapshots) > 0 {
				<-b.snapshots
			}
			b.propose(3)
			b.receive(2, consensus.Message{Type: consensus.MessageAppendResponse, Term: 1, Index: 4})
			if taken := len(b.snapshots) > 0; taken != c.want {
				t.Errorf("snapshot taken: %v, want %v", taken, c.want)
			}
		})
	}
}

// A promotion is complete only once the leader knows that the member holds it.
func TestMemberCaughtUp(t *testing.T) {
	leader := consensus.Status{Role: consensus.RoleLeader, Members: []consensus.MemberStatus{{Member: consensus.Member{ID: 4}, Match: 7}}}
	for _, c := range []struct {
		name    string
		status  consensus.Status
		index   uint64
		want    bool
		unknown bool
	}{
		{"holds all", leader, 7, true, false},
		{"lacks one", leader, 8, false, false},
		{"not a member", consensus.Status{Role: consensus.RoleLeader}, 0, false, false},
		{"not leader any more", consensus.Status{}, 0, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := memberCaughtUp(c.status, 4, c.index)
			var unknown *UnknownOutcomeError
			if got != c.want || errors.As(err, &unknown) != c.unknown {
				t.Errorf("memberCaughtUp gave %v, %v", got, err)
			}
		})
	}
}

func TestTransferToSilentVoterIsRefused(t *testing.T) {
	b := newSteppedReplica(t)
	b.becomeLeader()
	done := make(chan error)
	go func() { done <- b.TransferLeadership(context.Background(), 2) }()
	c := <-b.tasks // the loop has taken it
	c.run(c)
	b.processReady()
	for range 2 * DefaultElectionTicks {
		b.receive(3, consensus.Message{Type: consensus.MessageHeartbeatResponse, Term: b.Status().Term})
		b.handleTick()
		b.processReady()
	}
	var refused *consensus.RefusedError
	if err := <-done; !errors.As(err, &refused) || refused.Reason != consensus.ReasonTransferFailed {
		t.Errorf("transfer gave %v", err)
	}
	if role := b.core.Role(); role != consensus.RoleLeader {
		t.Errorf("replica is %s after a failed transfer", role)
	}
}
