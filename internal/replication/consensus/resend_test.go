package consensus_test

import (
	"testing"

	"filberthook/internal/replication/consensus"
)

// resender is a leader, the sole voter, with a learner that answers heartbeats.
type resender struct {
	t       *testing.T
	core    *consensus.Core
	upTicks uint64 // of the learner
	appends int    // messages with entries that were sent to it
}

func newResender(t *testing.T) *resender {
	core, err := consensus.New(consensus.Config{ID: 1, Incarnation: 1, Seed: 1}, consensus.State{Snapshot: consensus.Snapshot{
		Membership: consensus.NewMembership([]consensus.Member{{ID: 1, Incarnation: 1}, {ID: 2, Incarnation: 2, Learner: true}}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	r := &resender{t: t, core: core, upTicks: 100}
	r.core.Tick()
	r.pump()
	r.acknowledge()
	r.propose(1)
	r.acknowledge()
	r.appends = 0
	return r
}

func (r *resender) propose(size int) {
	if _, _, err := r.core.Propose(make([]byte, size)); err != nil {
		r.t.Fatal(err)
	}
	r.pump()
}

// acknowledge answers for the learner that it has stored the whole log.
func (r *resender) acknowledge() {
	r.step(consensus.Message{Type: consensus.MessageAppendResponse, Index: r.core.Status().LastIndex})
}

func (r *resender) step(m consensus.Message) {
	m.From, m.To, m.Incarnation, m.Term, m.Hint = 2, 1, 2, r.core.Status().Term, r.upTicks
	if err := r.core.Step(&m); err != nil {
		r.t.Fatal(err)
	}
	r.pump()
}

func (r *resender) pump() {
	for rd := r.core.Ready(); !rd.Empty(); rd = r.core.Ready() {
		for _, m := range append(rd.Early, rd.Messages...) {
			if len(m.Entries) > 0 {
				r.appends++
			}
		}
		r.core.Advance()
	}
}

// tick passes ticks in which the learner answers each heartbeat.
func (r *resender) tick(n int) {
	for range n {
		r.upTicks++
		r.core.Tick()
		r.pump()
		r.step(consensus.Message{Type: consensus.MessageHeartbeatResponse})
	}
}

// Guards against copies of an append that is still on its way: they delayed the heartbeats behind
// them until leaders stepped down.
func TestLargeAppendIsNotSentAgainWhileItIsOnItsWay(t *testing.T) {
	for name, tt := range map[string]struct {
		size, ticks int
		loss        func(r *resender)
		want        int // appends in all
	}{
		"large, on its way":              {4 << 20, 40, nil, 1},
		"large, never answered":          {4 << 20, 250, nil, 2},
		"large, not sent":                {4 << 20, 40, func(r *resender) { r.core.Unsent(2) }, 2},
		"large, lost with the replica":   {4 << 20, 40, func(r *resender) { r.upTicks = 1 }, 2},
		"half a megabyte, on its way":    {430 << 10, 20, nil, 1},
		"small, lost":                    {100, 3, nil, 4}, // with every heartbeat
		"large, sent before all arrived": {4 << 20, 40, func(r *resender) { r.propose(100) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newResender(t)
			r.propose(tt.size)
			r.tick(1)
			if tt.loss != nil {
				tt.loss(r)
			}
			r.tick(tt.ticks)
			if r.appends != tt.want {
				t.Errorf("%d appends sent, want %d", r.appends, tt.want)
			}
			r.acknowledge()
			sent := r.appends
			r.tick(5)
			if r.appends != sent {
				t.Errorf("%d appends sent after all were acknowledged", r.appends-sent)
			}
		})
	}
}

// Guards against a rate that one slow transfer, or one fast one, sets for good.
func TestResendFollowsTheObservedRate(t *testing.T) {
	r := newResender(t)
	for range 20 { // 1 MiB in 2 ticks
		r.propose(1 << 20)
		r.tick(1)
		r.acknowledge()
	}
	r.appends = 0
	r.propose(1 << 20)
	r.tick(20)
	if r.appends < 2 {
		t.Errorf("an append that needs 2 ticks was not sent again within 20")
	}
	r = newResender(t)
	r.propose(1 << 20)
	r.tick(60) // the first one took 60
	r.acknowledge()
	r.appends = 0
	r.propose(1 << 20)
	r.tick(100)
	if r.appends != 1 {
		t.Errorf("an append that needs 60 ticks was sent %d times within 100", r.appends)
	}
}
