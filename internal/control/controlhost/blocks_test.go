package controlhost

import (
	"context"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/network/peer"
)

// sayBlocks sends a request on blocks to a control host, as an operator does.
func (g *group) sayBlocks(n int, req controlapi.BlocksRequest) ([]quarantine.Entry, error) {
	client := peer.NewClient(g.address(n, peersPort), g.nodes[n].host.peerOptions())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var answer controlapi.BlocksResponse
	err := client.Call(ctx, controlapi.MethodBlocks, req, &answer)
	return answer.Blocks, err
}

func TestOperatorsWordAtAnyControlHostReachesEntryHostsThroughTheLeader(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "one")
	held := controlapi.BlocksRequest{Word: controlapi.HoldBlock, Block: "m/bad"}
	for n := 1; n <= 3; n++ {
		eventually(t, 10*time.Second, "the word is taken", func() bool {
			list, err := g.sayBlocks(n, held)
			return err == nil && len(list) == 1 && list[0].Suspect == "m/bad" && list[0].ByOperator
		})
	}
	atLeader := func() (held bool) {
		for _, node := range g.nodes {
			if _, leads := node.host.membership.Leads(); leads {
				evidence := node.host.loads.exchange("entry", controlapi.LoadReport{}, time.Now()).Evidence
				held = held || evidence != nil && len(evidence.Verdicts) == 1
			}
		}
		return held
	}
	if !atLeader() {
		t.Error("the leader does not tell entry hosts of the block")
	}
	for n := 1; n <= 3; n++ {
		if list, err := g.sayBlocks(n, controlapi.BlocksRequest{Word: controlapi.ReleaseBlock, Block: "m/bad"}); err != nil || len(list) > 0 {
			t.Errorf("host %d: blocks %v after the release, error %v", n, list, err)
		}
	}
	if atLeader() {
		t.Error("the leader still tells entry hosts of the released block")
	}
}

func TestOperatorsWordOutlivesTheLeaderThatTookIt(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "one")
	leader := func() int {
		for n := 1; n <= 3; n++ {
			if _, leads := g.nodes[n].host.membership.Leads(); leads {
				return n
			}
		}
		return 0
	}
	eventually(t, 10*time.Second, "the word is taken", func() bool {
		n := leader()
		if n == 0 {
			return false
		}
		if _, err := g.sayBlocks(n, controlapi.BlocksRequest{Word: controlapi.HoldBlock, Block: "m/bad"}); err != nil {
			return false
		}
		g.stop(n)
		return true
	})
	eventually(t, 20*time.Second, "the next leader lists the block", func() bool {
		n := leader()
		if n == 0 {
			return false
		}
		list, err := g.sayBlocks(n, controlapi.BlocksRequest{})
		return err == nil && len(list) == 1 && list[0].ByOperator
	})
}

func TestWordOnSomethingThatIsNoBlockIsRefused(t *testing.T) {
	h := &Host{loads: newLoads("one")}
	for _, req := range []controlapi.BlocksRequest{
		{Word: controlapi.HoldBlock}, {Word: controlapi.HoldBlock, Block: "bad"}, {Word: "drop", Block: "m/bad"}, {Word: controlapi.ReleaseBlock, Block: "/bad"},
	} {
		if err := h.takeWord(req); err == nil {
			t.Errorf("%+v was taken", req)
		}
	}
}
