package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/storage"
)

func TestSingleReplicaKeepsCommandsOverRestart(t *testing.T) {
	c := newCluster(t, 1, 10)
	for i := range 35 {
		c.propose(fmt.Sprint(i))
	}
	fs := c.stop(1)
	fs.Crash(nil)
	n := c.start(1, fs, nil)
	c.barrier(1)
	if got := n.machine.list(); len(got) != 35 || got[34] != "34" {
		t.Errorf("after restart got %d commands: %v", len(got), got)
	}
}

func TestFollowerAnswersWithLeader(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.propose("a")
	leader := c.leader()
	follower := leader%3 + 1
	c.barrier(follower)
	if got := c.node(follower).machine.list(); len(got) != 1 {
		t.Errorf("after the barrier follower has %v", got)
	}
	_, err := c.node(follower).replica.Propose(context.Background(), []byte("b"))
	var notLeader *NotLeaderError
	if !errors.As(err, &notLeader) {
		t.Fatalf("proposal at a follower gave %v", err)
	}
	if notLeader.Leader != 0 && notLeader.Address != fmt.Sprintf("host-%d", notLeader.Leader) {
		t.Errorf("error names %d at %q", notLeader.Leader, notLeader.Address)
	}
}

func TestMalformedMessageIsCountedAndRefused(t *testing.T) {
	c := newCluster(t, 1, 0)
	r := c.node(1).replica
	err := r.Receive([]byte("garbage"))
	var format *consensus.FormatError
	if !errors.As(err, &format) {
		t.Errorf("garbage gave %v", err)
	}
	if n := r.counters.malformed.Get(); n != 1 {
		t.Errorf("counted %d malformed messages", n)
	}
}

func TestCutOffLeaderIsReplacedAndCatchesUp(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.propose("before")
	old := c.leader()
	c.setCut(old, true)
	c.propose("during")
	if now := c.leader(); now == old {
		t.Fatalf("replica %d still leads though it is cut off", now)
	}
	c.eventually("old leader steps down", func(context.Context) error {
		if s := c.node(old).replica.Status(); s.Role == "leader" {
			return errors.New("still leads")
		}
		return nil
	})
	c.setCut(old, false)
	c.barrier(old)
	if got := c.node(old).machine.list(); !slices.Contains(got, "during") {
		t.Errorf("old leader has %v", got)
	}
}

func TestLaggingReplicaGetsSnapshot(t *testing.T) {
	c := newCluster(t, 3, 10)
	c.propose("first")
	behind := c.leader()%3 + 1
	c.setCut(behind, true)
	c.eventually("leader drops entries", func(context.Context) error {
		c.propose("more")
		last := c.node(behind).replica.Status().LastIndex
		if s := c.node(c.leader()).replica.Status(); s.FirstIndex <= last {
			return fmt.Errorf("leader's log starts at %d, the replica's ends at %d", s.FirstIndex, last)
		}
		return nil
	})
	c.setCut(behind, false)
	c.barrier(behind)
	want := c.node(c.leader()).machine.list()
	if got := c.node(behind).machine.list(); !slices.Equal(got, want) {
		t.Errorf("lagging replica has %v, want %v", got, want)
	}
}

// A host lost with its disk is replaced, then a second host is lost: the replacement must
// hold every command.
func TestSecondLossAfterRepairLosesNothing(t *testing.T) {
	c := newCluster(t, 3, 10)
	for i := range 25 {
		c.propose(fmt.Sprint(i))
	}
	lost := c.leader()%3 + 1
	c.stop(lost)
	c.start(4, fsys.NewMem(), nil)
	c.repair(lost, Member{ID: 4, Address: "host-4", Zone: "zone-4"})
	second := c.leader()
	c.stop(second)
	c.propose("after")
	c.barrier(4)
	if got := c.node(4).machine.list(); len(got) != 26 {
		t.Errorf("new replica has %d commands, want 26: %v", len(got), got)
	}
}

// repair replaces a lost member by a new one.
func (c *cluster) repair(lost uint64, m Member) {
	c.t.Helper()
	steps := []struct {
		name string
		step func(ctx context.Context, r *Replica) error
	}{
		{"add learner", func(ctx context.Context, r *Replica) error { return r.AddLearner(ctx, m) }},
		{"promote", func(ctx context.Context, r *Replica) error { return r.Promote(ctx, m.ID) }},
		{"remove", func(ctx context.Context, r *Replica) error { return r.RemoveMember(ctx, lost) }},
	}
	for _, s := range steps {
		for range 2 { // an operator repeats a call after a lost answer
			c.eventually(s.name, func(ctx context.Context) error { return s.step(ctx, c.node(c.leader()).replica) })
		}
	}
}

func member(s Status, id uint64) *MemberStatus {
	for i := range s.Members {
		if s.Members[i].ID == id {
			return &s.Members[i]
		}
	}
	return nil
}

func TestReplicaWithLostDiskStops(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.propose("a")
	lost := c.leader()%3 + 1
	c.stop(lost)
	n := c.start(lost, fsys.NewMem(), c.members)
	<-n.ended
	want := storage.ExcludedError{ID: lost, Exclusion: consensus.ExclusionDiskLost}
	var excluded *storage.ExcludedError
	if !errors.As(n.err, &excluded) || *excluded != want {
		t.Errorf("Run returned %v, want %v", n.err, &want)
	}
	_, err := Open(Config{ID: lost, Dir: "data", FS: n.fs}, &commandLog{}, memTransport{})
	if !errors.As(err, &excluded) || *excluded != want {
		t.Errorf("opening the folder again gave %v, want %v", err, &want)
	}
}

func TestTransferLeadership(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.propose("a")
	c.eventually("transfer", func(ctx context.Context) error {
		old := c.leader()
		to := old%3 + 1
		if err := c.node(old).replica.TransferLeadership(ctx, to); err != nil {
			return err
		}
		if s := c.node(old).replica.Status(); s.Leader != to {
			return fmt.Errorf("leader is %d, want %d", s.Leader, to)
		}
		return nil
	})
}

// A leader that is stopped transfers leadership first.
func TestStoppedLeaderTransfersLeadership(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.propose("a")
	old := c.node(c.leader())
	term := old.replica.Status().Term
	old.cancel()
	<-old.ended
	if s := old.replica.Status(); s.Role == "leader" || s.Term != term+1 {
		t.Errorf("stopped as %s in term %d, was leader in term %d", s.Role, s.Term, term)
	}
}

func TestPromoteWaitsForTheLearner(t *testing.T) {
	c := newCluster(t, 3, 10)
	for i := range 30 {
		c.propose(fmt.Sprint(i))
	}
	c.start(4, fsys.NewMem(), nil)
	c.eventually("add learner", func(ctx context.Context) error {
		return c.node(c.leader()).replica.AddLearner(ctx, Member{ID: 4})
	})
	leader := c.node(c.leader()).replica
	if err := leader.Promote(context.Background(), 4); err != nil {
		t.Fatal(err)
	}
	if s := leader.Status(); member(s, 4).Learner || member(s, 4).Match < 31 {
		t.Errorf("promoted member is %+v", member(s, 4))
	}
}

func TestFailedSyncStopsReplicaWithUnknownOutcome(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.propose("a")
	n := c.node(1)
	cause := errors.New("disk gone")
	n.fs.FailSync(cause)
	_, err := n.replica.Propose(context.Background(), []byte("b"))
	var unknown *UnknownOutcomeError
	if !errors.As(err, &unknown) {
		t.Errorf("proposal gave %v", err)
	}
	<-n.ended
	if !errors.Is(n.err, cause) {
		t.Errorf("Run returned %v", n.err)
	}
	if _, err := n.replica.Propose(context.Background(), []byte("c")); err == nil {
		t.Error("stopped replica took a proposal")
	}
}

func TestProposalAtReplicaWithoutQuorumHasUnknownOutcome(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.propose("a")
	old := c.leader()
	c.setCut(old, true)
	_, err := c.node(old).replica.Propose(context.Background(), []byte("b"))
	var unknown *UnknownOutcomeError
	var notLeader *NotLeaderError
	if !errors.As(err, &unknown) && !errors.As(err, &notLeader) {
		t.Errorf("proposal gave %v", err)
	}
}

func TestDataFolderIsChecked(t *testing.T) {
	open := func(fs fsys.FS, id uint64) error {
		r, err := Open(Config{ID: id, Dir: "data", FS: fs, Members: []Member{{ID: id}}}, &commandLog{}, memTransport{})
		if err == nil {
			err = r.Close()
		}
		return err
	}
	fs := fsys.NewMem()
	if err := open(fs, 1); err != nil {
		t.Fatal(err)
	}
	if r, err := Open(Config{ID: 1, Dir: "data", FS: fs}, &commandLog{}, memTransport{}); err != nil {
		t.Error(err)
	} else {
		if err := open(fs, 1); !errors.Is(err, fsys.ErrLocked) {
			t.Errorf("opening a folder twice gave %v", err)
		}
		r.Close()
	}
	var folder *storage.FolderError
	if err := open(fs, 2); !errors.As(err, &folder) {
		t.Errorf("opening another replica's folder gave %v", err)
	}
	if err := fs.Remove("data/identity.json"); err != nil {
		t.Fatal(err)
	}
	if err := open(fs, 1); !errors.As(err, &folder) {
		t.Errorf("opening a folder with a log but no identity gave %v", err)
	}
	for _, name := range []string{"data/log/notes.wal", "data/snapshots/notes"} {
		fs := fsys.NewMem()
		if _, err := fs.Create(name); err != nil {
			t.Fatal(err)
		}
		if err := fsys.WriteFile(fs, "data/identity.json", []byte(`{"id":1,"incarnation":7}`)); err != nil {
			t.Fatal(err)
		}
		var stray *fsys.UnexpectedFileError
		if err := open(fs, 1); !errors.As(err, &stray) || stray.Name != name {
			t.Errorf("opening a folder with %s gave %v", name, err)
		}
	}
}
