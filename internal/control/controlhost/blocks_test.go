package controlhost

import (
	"context"
	"net"
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

// leader returns the founder that leads, 0 if none does.
func (g *group) leader() int {
	for n := 1; n <= 3; n++ {
		if _, leads := g.nodes[n].host.membership.Leads(); leads {
			return n
		}
	}
	return 0
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
	eventually(t, 10*time.Second, "the word is taken", func() bool {
		n := g.leader()
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
		n := g.leader()
		if n == 0 {
			return false
		}
		list, err := g.sayBlocks(n, controlapi.BlocksRequest{})
		return err == nil && len(list) == 1 && list[0].ByOperator
	})
}

func TestOperatorsWordIsTakenWhileLostLearnersAreStillMembers(t *testing.T) {
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "one")
	for n := 4; n <= 6; n++ {
		g.start(n, false)
	}
	eventually(t, 30*time.Second, "six members", func() bool {
		l := g.leader()
		return l != 0 && len(g.nodes[l].host.membership.addresses()) == 6
	})
	g.stopAll(4, 5, 6)
	l := g.leader()
	if l == 0 {
		t.Fatal("no leader")
	}
	members := len(g.nodes[l].host.membership.addresses())
	_, err := g.sayBlocks(l, controlapi.BlocksRequest{Word: controlapi.HoldBlock, Block: "m/bad"})
	if err != nil {
		t.Errorf("%d members, of which the three first ones run and hold the votes: %v", members, err)
	}
}

func TestOperatorsWordIsAcknowledgedBeforeASilentLearnerAnswers(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "one")
	g.start(4, false)
	eventually(t, 30*time.Second, "four members", func() bool { _, all := g.members(1); return all == 4 })
	g.stop(4)
	silent, err := net.Listen("tcp", g.address(4, peersPort)) // takes connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	eventually(t, 30*time.Second, "the word is acknowledged while the learner has not answered", func() bool {
		n := g.leader()
		if n == 0 {
			return false
		}
		_, err := g.sayBlocks(n, controlapi.BlocksRequest{Word: controlapi.HoldBlock, Block: "m/bad"})
		c := &g.nodes[n].host.copies
		c.mu.Lock()
		defer c.mu.Unlock()
		return err == nil && c.last[g.address(4, peersPort)] != nil
	})
}

func TestWordsArePassedOnInTheOrderInWhichTheyWereTaken(t *testing.T) {
	var c wordCopies
	_, first := c.enter("a")
	earlier, second := c.enter("a")
	other, third := c.enter("b")
	<-other
	select {
	case <-earlier:
		t.Error("the second word does not wait for the first")
	default:
	}
	first()
	<-earlier
	second()
	third()
	if len(c.last) > 0 {
		t.Errorf("%d addresses are kept", len(c.last))
	}
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
