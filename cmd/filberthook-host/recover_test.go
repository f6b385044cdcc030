package main

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"filberthook/internal/bench/loopback"
	"filberthook/internal/control/controlhost"
	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/storage"
)

// stoppedHost writes the folder of the first of five voters, of which none runs, and returns its
// settings and the peer addresses of the voters and of a host that was never one.
func stoppedHost(t *testing.T) (s controlhost.Settings, addresses []string) {
	t.Helper()
	network, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(network.Release)
	var members []consensus.Member
	for n := 1; n <= 6; n++ {
		addresses = append(addresses, fmt.Sprintf("%s.%d:7601", network.Prefix, n))
		members = append(members, consensus.Member{ID: uint64(n), Address: addresses[n-1], Incarnation: 1})
	}
	s = controlhost.Settings{Host: "c1", Zone: "z", DataDir: t.TempDir(), Listen: controlhost.Listen{Peers: addresses[0]}}
	folder, _, _, err := storage.Open(storage.Options{FS: fsys.OS{}, Dir: s.ReplicaDir(), ID: 1, Members: members[:5]})
	if err != nil {
		t.Fatal(err)
	}
	entry := consensus.Entry{Index: 1, Term: 2, Type: consensus.EntryNormal, Data: document.Document{Version: 6, Body: []byte("body")}.Encode()}
	err = folder.Save(&consensus.Ready{HardState: &consensus.HardState{Term: 2, Commit: 1}, Entries: []consensus.Entry{entry}})
	if err := errors.Join(err, folder.Close()); err != nil {
		t.Fatal(err)
	}
	return s, addresses
}

func recoverOutput(t *testing.T, s controlhost.Settings, r recovery) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = r.run(s, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestRecoverNamesEveryVoterThatMayHoldMore(t *testing.T) {
	s, addresses := stoppedHost(t)
	code, out, errOut := recoverOutput(t, s, recovery{lost: addresses[1:4], dryRun: true})
	if want := strings.Join(addresses[1:5], ", ") + " did not answer and may hold more"; !strings.Contains(out, want) {
		t.Errorf("output\n%swant %q", out, want)
	}
	if code != exitRefused || !strings.Contains(errOut, addresses[4]+" did not answer") {
		t.Errorf("exit code %d, %s; want a refusal that names the fourth voter", code, errOut)
	}
}

func TestRecoverAsksTheSeedsThatTheLogDoesNotName(t *testing.T) {
	s, addresses := stoppedHost(t)
	s.Seeds = []string{strings.Replace(addresses[5], ":7601", ":7600", 1)}
	if code, _, errOut := recoverOutput(t, s, recovery{lost: addresses[1:5], dryRun: true}); code != exitRefused || !strings.Contains(errOut, addresses[5]+" did not answer") {
		t.Errorf("exit code %d, %s; want a refusal that names the seed", code, errOut)
	}
	if code, _, errOut := recoverOutput(t, s, recovery{lost: addresses[1:], dryRun: true}); code != 0 {
		t.Errorf("exit code %d, %s", code, errOut)
	}
}
