package controlnode

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/api/filberthook/v1/filberthookv1connect"
	"filberthook/internal/bench/loopback"
	"filberthook/internal/control/authority"
	"filberthook/internal/control/distribution"
	"filberthook/internal/control/lease"
	"filberthook/internal/control/operator"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/settings"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/serve/claim"
)

const bootstrapKey = "test-admin-key"

// cluster is a control group whose nodes run in this process.
type cluster struct {
	t     *testing.T
	tls   tlsFunc
	nodes []*testNode
}

// testNode is one node with its settings; it can be stopped and started.
type testNode struct {
	settings settings.Control
	logs     lockedBuffer
	node     *Node
	stop     func()
}

// lockedBuffer collects the log lines of a node.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns what was written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func startCluster(t *testing.T, size int) *cluster {
	return startClusterWith(t, size, func(string, string, string) settings.TLS { return settings.TLS{} })
}

// startClusterWith starts nodes with the TLS settings of their hosts.
func startClusterWith(t *testing.T, size int, tls tlsFunc) *cluster {
	t.Helper()
	c := &cluster{t: t, tls: tls}
	var members []settings.ControlMember
	for i := range size {
		members = append(members, settings.ControlMember{ID: uint64(i + 1), Address: loopback.String(), Zone: fmt.Sprint("z", i+1)})
	}
	for _, m := range members {
		c.add(m, settings.ControlReplica{ID: m.ID, Members: members})
	}
	for i := range c.nodes {
		c.start(i)
	}
	return c
}

// add adds a node without starting it.
func (c *cluster) add(m settings.ControlMember, r settings.ControlReplica) {
	c.nodes = append(c.nodes, &testNode{settings: settings.Control{
		Host:      fmt.Sprint("c", m.ID),
		Zone:      m.Zone,
		DataDir:   filepath.Join(c.t.TempDir(), "data"),
		Listen:    settings.ControlListen{Peers: m.Address, Operators: loopback.String(), Status: loopback.String()},
		Replica:   r,
		Operators: settings.Operators{BootstrapKeySHA256: string(fleet.HashKey(bootstrapKey))},
		TLS:       c.tls(fmt.Sprint("c", m.ID), m.Zone, m.Address),
	}})
}

func (c *cluster) start(i int) {
	c.t.Helper()
	n := c.nodes[i]
	logger := slog.New(slog.NewTextHandler(&n.logs, &slog.HandlerOptions{Level: slog.LevelDebug}))
	node, err := New(n.settings, logger, metrics.NewSet())
	if err != nil {
		c.t.Fatal(err)
	}
	n.node = node
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	stopped := false
	n.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-done; err != nil {
			c.t.Errorf("node %d: %v", i+1, err)
		}
	}
	c.t.Cleanup(n.stop)
}

// operator returns a client of one node's operator service that sends a key.
func (c *cluster) operator(i int, key string) filberthookv1connect.OperatorServiceClient {
	return filberthookv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+c.nodes[i].settings.Listen.Operators,
		connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
				req.Header().Set("Authorization", "Bearer "+key)
				return next(ctx, req)
			}
		})))
}

func (c *cluster) peer(i int, host string) *peer.Client {
	client := peer.NewClient(c.nodes[i].settings.Listen.Peers, peer.Options{Self: peer.Identity{Host: host, Zone: "z1"}})
	c.t.Cleanup(func() { client.Close() })
	return client
}

func applyRequest(id string, revision uint64, changes ...*filberthookv1.Change) *connect.Request[filberthookv1.ApplyRequest] {
	return connect.NewRequest(&filberthookv1.ApplyRequest{ChangeId: id, ExpectedRevision: &revision, Changes: changes})
}

func newTeam(name string) *filberthookv1.Change {
	key := &filberthookv1.TeamKey{Id: "k1", Sha256: string(fleet.HashKey("key of " + name))}
	return &filberthookv1.Change{Change: &filberthookv1.Change_CreateTeam{CreateTeam: &filberthookv1.CreateTeam{Team: name, Key: key}}}
}

func newOperator(name string, role filberthookv1.Role) *filberthookv1.Change {
	op := &filberthookv1.Operator{Name: name, Role: role, KeySha256: string(fleet.HashKey("key of " + name))}
	return &filberthookv1.Change{Change: &filberthookv1.Change_SetOperator{SetOperator: &filberthookv1.SetOperator{Operator: op}}}
}

func wantReason(t *testing.T, err error, want string) *filberthookv1.ErrorDetail {
	t.Helper()
	d := operator.DetailOf(err)
	if d == nil || d.Reason != want || d.Remedy == "" {
		t.Fatalf("got %v with detail %v, want reason %s with a remedy", err, d, want)
	}
	return d
}

func TestOperatorsAtAnyReplica(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	ctx := t.Context()
	for i := range 3 {
		resp, err := c.operator(i, bootstrapKey).Apply(ctx, applyRequest(fmt.Sprint("c", i), uint64(i), newTeam(fmt.Sprint("t", i))))
		if err != nil || resp.Msg.Revision != uint64(i+1) {
			t.Fatalf("replica %d: %v, %v", i+1, resp, err)
		}
	}
	resent, err := c.operator(2, bootstrapKey).Apply(ctx, applyRequest("c0", 0, newTeam("t0")))
	if err != nil || !resent.Msg.Repeated || resent.Msg.Revision != 1 {
		t.Errorf("resend at another replica: %v, %v", resent, err)
	}
	_, err = c.operator(1, bootstrapKey).Apply(ctx, applyRequest("late", 2, newTeam("x")))
	if d := wantReason(t, err, "conflict"); d.CurrentRevision != 3 {
		t.Errorf("conflict shows revision %d, want 3", d.CurrentRevision)
	}
	for i := range 3 {
		got, err := c.operator(i, bootstrapKey).GetConfiguration(ctx, connect.NewRequest(&filberthookv1.GetConfigurationRequest{}))
		if err != nil || got.Msg.Configuration.Revision != 3 || len(got.Msg.Configuration.Teams) != 3 {
			t.Errorf("replica %d: %v, %v", i+1, got, err)
		}
	}
}

func TestAccess(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	ctx := t.Context()
	admin := c.operator(0, bootstrapKey)
	if _, err := admin.Apply(ctx, applyRequest("c", 0, newOperator("rita", filberthookv1.Role_ROLE_READER))); err != nil {
		t.Fatal(err)
	}
	reader := c.operator(0, "key of rita")
	_, err := reader.Apply(ctx, applyRequest("c", 1, newTeam("x")))
	wantReason(t, err, "permission_denied")
	_, err = reader.SaveSnapshot(ctx, connect.NewRequest(&filberthookv1.SaveSnapshotRequest{}))
	wantReason(t, err, "permission_denied")
	if _, err := reader.GetStatus(ctx, connect.NewRequest(&filberthookv1.GetStatusRequest{})); err != nil {
		t.Error(err)
	}
	_, err = c.operator(0, "guess").GetStatus(ctx, connect.NewRequest(&filberthookv1.GetStatusRequest{}))
	wantReason(t, err, operator.ReasonUnauthenticated)
	_, err = admin.Apply(ctx, connect.NewRequest(&filberthookv1.ApplyRequest{ChangeId: "n", Changes: []*filberthookv1.Change{newTeam("x")}}))
	wantReason(t, err, "invalid")
}

func TestLeaderLossAndRestart(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	ctx := t.Context()
	if _, err := c.operator(0, bootstrapKey).Apply(ctx, applyRequest("c1", 0, newTeam("t1"))); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		c.nodes[i].stop()
		other := (i + 1) % 3
		id := fmt.Sprint("down", i)
		resp, err := c.operator(other, bootstrapKey).Apply(ctx, applyRequest(id, uint64(i+1), newTeam(id)))
		if err != nil || resp.Msg.Revision != uint64(i+2) {
			t.Fatalf("with replica %d down: %v, %v", i+1, resp, err)
		}
		c.start(i)
		got, err := c.operator(i, bootstrapKey).GetConfiguration(ctx, connect.NewRequest(&filberthookv1.GetConfigurationRequest{}))
		if err != nil || got.Msg.Configuration.Revision != uint64(i+2) {
			t.Fatalf("restarted replica %d: %v, %v", i+1, got, err)
		}
	}
}

func TestWithoutQuorumNothingIsAccepted(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	ctx := t.Context()
	if _, err := c.operator(0, bootstrapKey).Apply(ctx, applyRequest("c1", 0, newTeam("t1"))); err != nil {
		t.Fatal(err)
	}
	c.nodes[1].stop()
	c.nodes[2].stop()
	_, err := c.operator(0, bootstrapKey).Apply(ctx, applyRequest("c2", 1, newTeam("t2")))
	if err == nil {
		t.Fatal("a change was accepted without a quorum")
	}
	status, err := c.operator(0, bootstrapKey).GetStatus(ctx, connect.NewRequest(&filberthookv1.GetStatusRequest{}))
	if err != nil || !status.Msg.Stale || status.Msg.Revision != 1 {
		t.Errorf("status at a cut-off replica: %v, %v", status, err)
	}
}

func TestStatusShowsHosts(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var replicas []distribution.Caller
	for i := range c.nodes {
		replicas = append(replicas, c.peer(i, "entry-1"))
	}
	watcher, err := distribution.NewClient(distribution.Settings{Replicas: replicas, Dir: t.TempDir()}, nil)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- watcher.Run(ctx) }()
	if _, err := c.operator(0, bootstrapKey).Apply(ctx, applyRequest("c1", 0, newTeam("t1"))); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(20 * time.Second)
	for {
		wait := connect.NewRequest(&filberthookv1.GetStatusRequest{WaitRevision: 1, WaitMs: 10_000})
		status, err := c.operator(1, bootstrapKey).GetStatus(ctx, wait)
		if err != nil {
			t.Fatal(err)
		}
		if hosts := status.Msg.Hosts; status.Msg.InForce && len(hosts) == 1 && hosts[0].Host == "entry-1" && hosts[0].Revision == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the host never showed the revision: %v", status.Msg)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestLeasesAndClaims(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	ctx := t.Context()
	acquire := lease.Command{Kind: lease.Acquire, Holder: lease.Holder{Session: "s"}, TTL: time.Minute}
	var granted, refused lease.Result
	if err := c.peer(0, "e1").Call(ctx, authority.MethodLease, acquire, &granted); err != nil || granted.Fence != 1 {
		t.Fatalf("%+v, %v", granted, err)
	}
	if err := c.peer(1, "e2").Call(ctx, authority.MethodLease, acquire, &refused); err != nil || refused.Err == nil || refused.Err.Holder != "e1" {
		t.Fatalf("%+v, %v", refused, err)
	}
	cmd := claim.Command{
		Kind: claim.KindClaim, Attempt: "a1", BodyHash: "h", Hold: time.Minute,
		Key: claim.Key{Team: "t", Endpoint: "booking", Idempotency: "i"},
	}
	var first, second claim.BatchResult
	if err := c.peer(0, "e1").Call(ctx, MethodClaims, claim.Batch{Commands: []claim.Command{cmd}}, &first); err != nil || first.Results[0].Status != claim.Granted {
		t.Fatalf("%+v, %v", first, err)
	}
	cmd.Attempt = "a2"
	if err := c.peer(2, "e2").Call(ctx, MethodClaims, claim.Batch{Commands: []claim.Command{cmd}}, &second); err != nil || second.Results[0].Status != claim.InProgress {
		t.Fatalf("%+v, %v", second, err)
	}
}

func TestBackupAndRestore(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	ctx := t.Context()
	admin := c.operator(0, bootstrapKey)
	if _, err := admin.Apply(ctx, applyRequest("c1", 0, newTeam("t1"))); err != nil {
		t.Fatal(err)
	}
	saved, err := admin.SaveSnapshot(ctx, connect.NewRequest(&filberthookv1.SaveSnapshotRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := admin.Apply(ctx, applyRequest("c2", 1, newTeam("t2"))); err != nil {
		t.Fatal(err)
	}
	revision := uint64(2)
	restore := &filberthookv1.RestoreSnapshotRequest{ChangeId: "r1", ExpectedRevision: &revision, Data: saved.Msg.Data}
	_, err = admin.RestoreSnapshot(ctx, connect.NewRequest(restore))
	wantReason(t, err, "invalid")
	restore.ChangeId, restore.AllowOlder = "r2", true
	restored, err := admin.RestoreSnapshot(ctx, connect.NewRequest(restore))
	if err != nil || restored.Msg.Revision != 3 || restored.Msg.BackupRevision != 1 {
		t.Fatalf("%v, %v", restored, err)
	}
	got, err := admin.GetConfiguration(ctx, connect.NewRequest(&filberthookv1.GetConfigurationRequest{}))
	if err != nil || len(got.Msg.Configuration.Teams) != 1 {
		t.Errorf("%v, %v", got, err)
	}
	restore.Data[len(restore.Data)/2] ^= 1
	restore.ChangeId = "r3"
	_, err = admin.RestoreSnapshot(ctx, connect.NewRequest(restore))
	wantReason(t, err, "invalid")
}

func TestSecondProcessLeavesTheDataFolderAlone(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	if got := c.change(0, 0, 0); got.revision != 1 {
		t.Fatalf("got %+v", got)
	}
	if _, err := New(c.nodes[0].settings, slog.New(slog.DiscardHandler), metrics.NewSet()); err == nil {
		t.Fatal("a second process started on the same settings")
	}
	elsewhere := c.nodes[0].settings
	elsewhere.Listen = settings.ControlListen{Peers: loopback.String(), Operators: loopback.String(), Status: loopback.String()}
	if _, err := New(elsewhere, slog.New(slog.DiscardHandler), metrics.NewSet()); !errors.Is(err, fsys.ErrLocked) {
		t.Fatalf("a second process with other addresses on the same folder: %v, want ErrLocked", err)
	}
	if got := c.change(0, 1, 1); got.revision != 2 {
		t.Errorf("after the second start: %+v", got)
	}
}

func TestForeignBootstrapKeyIsRefused(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	cmd := fleet.Command{ChangeID: "c", Actor: fleet.Actor{Name: fleet.BootstrapName, Bootstrap: true, Key: fleet.HashKey("guess")},
		Changes: []fleet.Change{{CreateTeam: &fleet.CreateTeam{Name: "t", Key: fleet.TeamKey{ID: "k", Hash: fleet.HashKey("k")}}}}}
	err := c.peer(0, "e1").Call(t.Context(), methodPropose, proposeRequest{Fleet: &cmd}, nil)
	var remote *peer.RemoteError
	if !errors.As(err, &remote) || remote.Code != codeRefused {
		t.Errorf("got %v, want a refusal", err)
	}
	for _, actor := range []fleet.Actor{{}, cmd.Actor, {Name: "nobody", Key: fleet.HashKey("x")}} {
		change := operator.MemberChange{Actor: actor, Action: operator.RemoveMember, ID: 1}
		err := c.peer(0, "e1").Call(t.Context(), methodChangeMember, change, nil)
		if !errors.As(err, &remote) || remote.Code != codeRefused {
			t.Errorf("a change of members by %+v gave %v, want a refusal", actor, err)
		}
	}
}
