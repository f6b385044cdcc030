package controlhost

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"filberthook/internal/control/regroup"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/storage"
)

// openDisk opens the data folder of a stopped host.
func (g *group) openDisk(n int) *regroup.Survivor {
	g.t.Helper()
	s := g.nodes[n].host.settings
	survivor, err := regroup.Open(fsys.OS{}, s.ReplicaDir(), s.PeersAddress())
	if err != nil {
		g.t.Fatal(err)
	}
	return survivor
}

// recoverGroup makes a new group from the disk of a stopped host, with hosts that are lost.
func (g *group) recoverGroup(n int, lost ...int) {
	g.t.Helper()
	survivor := g.openDisk(n)
	defer survivor.Close()
	var addresses []string
	for _, l := range lost {
		addresses = append(addresses, g.address(l, peersPort))
	}
	answers := regroup.Ask(context.Background(), survivor.Others(), false)
	if err := survivor.Check(addresses, answers); err != nil {
		g.t.Fatal(err)
	}
	if _, _, err := survivor.Found("z", answers); err != nil {
		g.t.Fatal(err)
	}
}

// idOnDisk returns the replica id of a host's data folder.
func (g *group) idOnDisk(n int) uint64 {
	g.t.Helper()
	id, err := storage.ReadID(fsys.OS{}, g.nodes[n].host.settings.ReplicaDir())
	if err != nil || id == 0 {
		g.t.Fatalf("replica id %d of host %d: %v", id, n, err)
	}
	return id
}

func (g *group) replicaOf(n int) uint64 {
	status, _ := g.nodes[n].host.membership.status()
	return status.ID
}

func TestNoNewGroupWhileAQuorumMayLive(t *testing.T) {
	t.Parallel()
	g := loseQuorum(t)
	both := []string{g.address(2, peersPort), g.address(3, peersPort)}
	var running *regroup.RunningError
	s := g.nodes[1].host.settings
	if _, err := regroup.Open(fsys.OS{}, s.ReplicaDir(), s.PeersAddress()); !errors.As(err, &running) {
		t.Errorf("folder of a host that runs: %v", err)
	}
	g.stop(1)
	survivor := g.openDisk(1)
	defer survivor.Close()
	ask := func() []regroup.Answer { return regroup.Ask(context.Background(), survivor.Others(), false) }
	var silent *regroup.SilentError
	if err := survivor.Check(nil, ask()); !errors.As(err, &silent) || !slices.Equal(silent.Addresses, both) {
		t.Errorf("without a confirmed loss: %v", err)
	}
	if err := survivor.Check(both[:1], ask()); !errors.As(err, &silent) || !slices.Equal(silent.Addresses, both[1:]) {
		t.Errorf("with one confirmed loss: %v", err)
	}
	elsewhere := regroup.Ask(context.Background(), survivor.Others([]string{g.address(4, peersPort)}), false)
	if err := survivor.Check(both, elsewhere); !errors.As(err, &silent) || len(silent.Addresses) != 1 {
		t.Errorf("with a silent host that the log does not name: %v", err)
	}
	if err := survivor.Check(both, ask()); err != nil {
		t.Errorf("with both voters confirmed as lost: %v", err)
	}
	g.start(2, false)
	var answers *regroup.VoterAnswersError
	eventually(t, 10*time.Second, "the voter answers", func() bool { return errors.As(survivor.Check(both, ask()), &answers) })
	g.start(3, false)
	var leader *regroup.LeaderError
	eventually(t, 10*time.Second, "the group lives", func() bool { return errors.As(survivor.Check(both, ask()), &leader) })
}

func TestNewGroupFromOneDiskServesWhatItHeldAndTakesChanges(t *testing.T) {
	t.Parallel()
	g := loseQuorum(t)
	former := g.replicaOf(1)
	g.stop(1)
	g.recoverGroup(1, 2, 3)
	h := g.start(1, false)
	waitForRead(t, h, 2, "two")
	if id := g.replicaOf(1); id == former {
		t.Errorf("the new group has the replica id %d of the former one", id)
	}
	accept(t, h, 3, "three")
	for n := 4; n <= 5; n++ {
		g.start(n, false)
	}
	accept(t, g.nodes[4].host, 4, "four")
	eventually(t, 15*time.Second, "three voters", func() bool { voters, _ := g.members(1); return voters == 3 })
	g.stop(1)
	accept(t, g.nodes[5].host, 5, "five")
	waitForRead(t, g.nodes[4].host, 5, "five")
}

func TestFormerVotersThatComeBackJoinAsNewMembers(t *testing.T) {
	t.Parallel()
	g := loseQuorum(t)
	former := map[uint64]bool{}
	for n := 1; n <= 3; n++ {
		former[g.idOnDisk(n)] = true
	}
	g.stop(1)
	g.recoverGroup(1, 2, 3)
	h := g.start(1, false)
	accept(t, h, 3, "three")
	g.start(2, false)
	g.start(3, false)
	eventually(t, 20*time.Second, "all three vote in the new group", func() bool {
		status, _ := h.membership.status()
		for _, m := range status.Members {
			if former[m.ID] {
				t.Errorf("replica %d of the former group is a member", m.ID)
			}
		}
		voters, _ := g.members(1)
		return voters == 3
	})
	accept(t, g.nodes[2].host, 4, "four")
	for n := 1; n <= 3; n++ {
		waitForRead(t, g.nodes[n].host, 4, "four")
		if id := g.replicaOf(n); former[id] {
			t.Errorf("host %d still runs replica %d of the former group", n, id)
		}
	}
}

func TestFormerVotersAreToldByMembersThatJoinedLater(t *testing.T) {
	t.Parallel()
	g := loseQuorum(t)
	former := map[uint64]bool{g.idOnDisk(2): true, g.idOnDisk(3): true}
	g.stop(1)
	g.recoverGroup(1, 2, 3)
	g.start(1, false)
	for n := 4; n <= 5; n++ {
		g.start(n, false)
	}
	accept(t, g.nodes[4].host, 3, "three")
	eventually(t, 15*time.Second, "three voters", func() bool { voters, _ := g.members(4); return voters == 3 })
	g.stop(1)
	g.wipe(1) // and with it the list of the former members
	g.seeds = append(g.seeds, g.address(4, controlPort))
	accept(t, g.start(1, false), 4, "four")
	waitForRead(t, g.nodes[1].host, 4, "four")
	for n := 2; n <= 3; n++ {
		g.start(n, false)
	}
	accept(t, g.nodes[5].host, 5, "five")
	for n := 2; n <= 3; n++ {
		waitForRead(t, g.nodes[n].host, 5, "five")
		if id := g.replicaOf(n); former[id] {
			t.Errorf("host %d still runs replica %d of the former group", n, id)
		}
	}
}

func TestLogOfAGroupThatWasReplacedDoesNotJoin(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "one")
	g.stop(1) // its log never names host 4
	g.start(4, false)
	accept(t, g.nodes[4].host, 2, "two")
	waitForRead(t, g.nodes[4].host, 2, "two") // its own log holds it
	stranger := g.idOnDisk(4)
	for n := 2; n <= 4; n++ {
		g.stop(n)
	}
	g.recoverGroup(1, 2, 3)
	accept(t, g.start(1, false), 3, "three")
	g.start(4, false)
	waitForRead(t, g.nodes[4].host, 3, "three")
	if id := g.replicaOf(4); id == stranger {
		t.Errorf("replica %d joined with the log of the former group", id)
	}
}

func TestTwoNewGroupsInPlaceOfOneAreReported(t *testing.T) {
	t.Parallel()
	g := loseQuorum(t)
	g.stop(1)
	g.recoverGroup(1, 2, 3)
	g.recoverGroup(2, 1, 3)
	hosts := []*Host{g.start(1, false), g.start(2, false)}
	for i, h := range hosts {
		waitForRead(t, h, 2, "two")
		former, err := storage.ReadFormer(fsys.OS{}, hosts[1-i].membership.dir())
		if err != nil {
			t.Fatal(err)
		}
		req, _ := expulsion(former, "")
		var two *TwoGroupsError
		eventually(t, 5*time.Second, "the other group is reported", func() bool {
			return errors.As(h.serveExpelled(peer.Identity{Host: "other"}, req), &two)
		})
	}
}

// offers records the versions that an entry host puts into force.
type offers struct {
	mu       sync.Mutex
	versions []uint64
}

func (o *offers) Version() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.versions) == 0 {
		return 0
	}
	return o.versions[len(o.versions)-1]
}

// Offer leaves the version in force in place of an equal one, as an entry host does: two fetches may bring the same.
func (o *offers) Offer(d document.Document, _ string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.versions); n == 0 || o.versions[n-1] != d.Version {
		o.versions = append(o.versions, d.Version)
	}
	return nil
}

func TestNewGroupFromAnOlderDiskTakesNoEntryHostBack(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 2, "two")
	eventually(t, 10*time.Second, "version 2 at host 1", func() bool { return g.nodes[1].host.currentVersion() == 2 })
	var addresses []string
	for n := 1; n <= 3; n++ {
		addresses = append(addresses, g.address(n, peersPort))
	}
	inForce := &offers{}
	followInto(t, inForce, addresses)
	g.stop(1)
	accept(t, g.nodes[2].host, 3, "three")
	eventually(t, 10*time.Second, "version 3 in force", func() bool { return inForce.Version() == 3 })
	g.stop(2)
	g.stop(3)
	g.recoverGroup(1, 2, 3)
	waitForRead(t, g.start(1, false), 2, "two")
	accept(t, g.nodes[1].host, 4, "four")
	eventually(t, 10*time.Second, "version 4 in force", func() bool { return inForce.Version() == 4 })
	inForce.mu.Lock()
	defer inForce.mu.Unlock()
	for i, version := range inForce.versions[1:] {
		if version <= inForce.versions[i] {
			t.Errorf("versions %v in force one after the other", inForce.versions)
		}
	}
}
