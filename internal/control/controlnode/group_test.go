package controlnode

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/bench/loopback"
	"filberthook/internal/control/operator"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/process/settings"
)

// revisionCall is one call of the history: a change that expects a revision, or
// a read.
type revisionCall struct {
	read     bool
	expected uint64
}

// revisionAnswer is what a call returned. A conflict shows the newest revision.
type revisionAnswer struct {
	revision uint64
	conflict bool
}

// revisionModel is the sequential specification of the configuration's revision.
var revisionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(uint64), input.(revisionCall), output.(revisionAnswer)
		switch {
		case in.read:
			return out.revision == now, now
		case out.conflict:
			return in.expected != now && out.revision == now, now
		default:
			return in.expected == now && out.revision == now+1, now + 1
		}
	},
}

// history records concurrent calls.
type history struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) record(client int, in revisionCall, call func() revisionAnswer) revisionAnswer {
	from := time.Since(h.start).Nanoseconds()
	out := call()
	to := time.Since(h.start).Nanoseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: from, Output: out, Return: to})
	return out
}

// change sends a change to one replica after the other with the same change id, until
// the outcome is known.
func (c *cluster) change(client, n int, expected uint64) revisionAnswer {
	id := fmt.Sprintf("op%d-%d", client, n)
	for replica := client; ; replica++ {
		host := c.operator(replica%len(c.nodes), bootstrapKey)
		resp, err := host.Apply(c.t.Context(), applyRequest(id, expected, newTeam(id)))
		if err == nil {
			return revisionAnswer{revision: resp.Msg.Revision}
		}
		if d := operator.DetailOf(err); d != nil && d.Reason == "conflict" {
			return revisionAnswer{revision: d.CurrentRevision, conflict: true}
		}
		if c.t.Context().Err() != nil {
			return revisionAnswer{}
		}
	}
}

func (c *cluster) read(client int) revisionAnswer {
	for replica := client; ; replica++ {
		host := c.operator(replica%len(c.nodes), bootstrapKey)
		resp, err := host.GetConfiguration(c.t.Context(), connect.NewRequest(&filberthookv1.GetConfigurationRequest{}))
		if err == nil {
			return revisionAnswer{revision: resp.Msg.Configuration.Revision}
		}
		if c.t.Context().Err() != nil {
			return revisionAnswer{}
		}
	}
}

// TestConcurrentOperatorsAreLinearizable lets operators send changes that expect the same
// revisions, at all replicas, while each replica is stopped and restarted in turn.
func TestConcurrentOperatorsAreLinearizable(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	h := &history{start: time.Now()}
	var operators sync.WaitGroup
	for client := range 4 {
		operators.Go(func() {
			var seen uint64
			for n := range 25 {
				seen = h.record(client, revisionCall{expected: seen}, func() revisionAnswer { return c.change(client, n, seen) }).revision
				if n%3 == 0 {
					seen = h.record(client, revisionCall{read: true}, func() revisionAnswer { return c.read(client) }).revision
				}
			}
		})
	}
	for i := range c.nodes {
		c.nodes[i].stop()
		c.start(i)
	}
	operators.Wait()
	if !porcupine.CheckOperations(revisionModel, h.ops) {
		t.Error("the history is not linearizable")
	}
	accepted := 0
	for _, op := range h.ops {
		if !op.Input.(revisionCall).read && !op.Output.(revisionAnswer).conflict {
			accepted++
		}
	}
	if got := c.read(0).revision; got != uint64(accepted) {
		t.Errorf("revision %d after %d accepted changes", got, accepted)
	}
}

// TestModelRefusesALostChange checks that the model above rejects histories that are not
// linearizable.
func TestModelRefusesALostChange(t *testing.T) {
	op := func(client int, call, end int64, in revisionCall, out revisionAnswer) porcupine.Operation {
		return porcupine.Operation{ClientId: client, Call: call, Return: end, Input: in, Output: out}
	}
	twice := []porcupine.Operation{
		op(0, 0, 10, revisionCall{expected: 0}, revisionAnswer{revision: 1}),
		op(1, 5, 15, revisionCall{expected: 0}, revisionAnswer{revision: 1}),
	}
	back := []porcupine.Operation{
		op(0, 0, 10, revisionCall{expected: 0}, revisionAnswer{revision: 1}),
		op(1, 20, 30, revisionCall{read: true}, revisionAnswer{revision: 0}),
	}
	for name, ops := range map[string][]porcupine.Operation{"two winners": twice, "read of an older revision": back} {
		if porcupine.CheckOperations(revisionModel, ops) {
			t.Errorf("%s passes", name)
		}
	}
}

// TestSecondLossAfterRepair replaces a lost replica and then loses another one: the group
// must still accept changes, and the new replica must serve the newest revision.
func TestSecondLossAfterRepair(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	ctx := t.Context()
	if got := c.change(0, 0, 0); got.revision != 1 {
		t.Fatalf("got %+v", got)
	}
	c.nodes[0].stop()
	member := settings.ControlMember{ID: 4, Address: loopback.String(), Zone: "z4"}
	c.add(member, settings.ControlReplica{ID: 4, Join: true, Members: c.nodes[0].settings.Replica.Members})
	c.start(3)
	admin := c.operator(1, bootstrapKey)
	steps := []*filberthookv1.ChangeMemberRequest{
		{Action: filberthookv1.MemberAction_MEMBER_ACTION_ADD_LEARNER, Id: 4, Address: member.Address, Zone: member.Zone},
		{Action: filberthookv1.MemberAction_MEMBER_ACTION_PROMOTE, Id: 4},
		{Action: filberthookv1.MemberAction_MEMBER_ACTION_REMOVE, Id: 1},
	}
	for _, step := range steps {
		for {
			_, err := admin.ChangeMember(ctx, connect.NewRequest(step))
			if err == nil {
				break
			}
			if ctx.Err() != nil || !strings.Contains(err.Error(), "catch") {
				t.Fatalf("%v: %v", step.Action, err)
			}
		}
	}
	c.nodes[1].stop()
	if got := c.change(3, 1, 1); got.revision != 2 {
		t.Fatalf("after the second loss: %+v", got)
	}
	if got := c.read(3); got.revision != 2 {
		t.Errorf("the new replica reads revision %d", got.revision)
	}
}

// TestSecretsAreNotShown checks that logs, metrics and answers contain neither keys nor
// their hashes.
func TestSecretsAreNotShown(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	ctx := t.Context()
	admin := c.operator(0, bootstrapKey)
	if _, err := admin.Apply(ctx, applyRequest("c1", 0, newTeam("team1"), newOperator("olga", filberthookv1.Role_ROLE_OWNER))); err != nil {
		t.Fatal(err)
	}
	_, conflict := admin.Apply(ctx, applyRequest("c2", 0, newTeam("team1"), newOperator("olga", filberthookv1.Role_ROLE_READER)))
	_, denied := c.operator(0, "wrong-secret").ListAudit(ctx, connect.NewRequest(&filberthookv1.ListAuditRequest{}))
	config, err := admin.GetConfiguration(ctx, connect.NewRequest(&filberthookv1.GetConfigurationRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	audit, err := admin.ListAudit(ctx, connect.NewRequest(&filberthookv1.ListAuditRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Get("http://" + c.nodes[0].settings.Listen.Status + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	metrics, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	c.nodes[0].stop()
	shown := strings.Join([]string{
		c.nodes[0].logs.String(), string(metrics), config.Msg.String(), audit.Msg.String(),
		conflict.Error(), operator.DetailOf(conflict).String(), denied.Error(), operator.DetailOf(denied).String(),
	}, "\n")
	if !strings.Contains(shown, "configuration changed") {
		t.Fatal("the log line of the change is missing: the test would check nothing")
	}
	for _, key := range []string{bootstrapKey, "key of team1", "key of olga", "wrong-secret"} {
		if strings.Contains(shown, key) {
			t.Errorf("the key %q is shown", key)
		}
		if strings.Contains(shown, string(fleet.HashKey(key))) {
			t.Errorf("the hash of the key %q is shown", key)
		}
	}
}
