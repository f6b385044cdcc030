package formation_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filberthook/internal/control/formation"
)

const (
	catchUp      = 4 * time.Second  // a new host counts as lost for so long after its start
	comeBack     = time.Second      // from a loss until the host or its successor starts
	stopTimeout  = time.Second      // of a planned stop
	zoneDown     = 5 * time.Second  // a lost zone
	forgotten    = 21 * time.Second // a silent learner is removed
	askIfRemoved = 2 * time.Second  // a member without a leader asks whether it was removed
	firstLeader  = 9 * time.Second  // traffic starts 10 s after the hosts
	ackWithin    = time.Second      // a change is acknowledged at least so often in calm
)

var eventKinds = []string{"sudden", "planned", "disk", "restart", "pause", "zone", "all", "absent", "flap", "refuse", "reopen"}

// event is a loss of one or more hosts. The next one comes gap after the earliest moment at
// which the tolerance allows it.
type event struct {
	kind   string
	victim string // leader, voter or any
	gap    time.Duration
}

func drawEvent(t *rapid.T) event {
	return event{
		kind:   rapid.SampledFrom(eventKinds).Draw(t, "kind"),
		victim: rapid.SampledFrom([]string{"leader", "voter", "any"}).Draw(t, "victim"),
		gap:    time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * tick,
	}
}

// TestQuorumSurvivesControlHostsLostInSeries plays losses one after the other, each as
// early as the one before allows.
func TestQuorumSurvivesControlHostsLostInSeries(t *testing.T) {
	var moves []move
	rapid.Check(t, func(t *rapid.T) {
		tolerated := rapid.IntRange(1, 2).Draw(t, "tolerated")
		hosts := rapid.IntRange(2*tolerated+1, 9).Draw(t, "hosts")
		policy := formation.Policy{Tolerance: formation.Tolerance{Hosts: tolerated, Zones: 1}, ReplaceAfter: catchUp}
		m := newModel(rapid.Uint64().Draw(t, "seed"), 4, hosts, policy)
		m.runUntilLeader()
		for _, e := range rapid.SliceOfN(rapid.Custom(drawEvent), 1, 12).Draw(t, "events") {
			m.play(e, rapid.IntRange(1, tolerated).Draw(t, "at once"))
			m.checkCalm()
			if m.failure != nil {
				t.Fatalf("%v\n%s", m.failure, strings.Join(m.log, "\n"))
			}
		}
		moves = append(moves, m.moves...)
	})
	reportMoves(t, moves)
}

// runUntilLeader runs until the first leader is elected, which hosts have time for before they
// are needed.
func (m *model) runUntilLeader() {
	for end := m.now + ticks(firstLeader); m.leader() == nil; {
		if m.now >= end {
			m.fail("no first leader")
			return
		}
		m.run(tick)
	}
	m.run(time.Second)
}

// play makes a loss of one or more hosts at once and waits until the next one is allowed.
func (m *model) play(e event, count int) {
	m.note("%s of %s", e.kind, e.victim)
	if e.kind == "all" {
		up := m.up()
		for _, h := range up {
			m.kill(h)
		}
		m.run(comeBack)
		for _, h := range up {
			m.start(h)
		}
		clear(m.lostAt)
		m.run(catchUp + e.gap)
		return
	}
	if e.kind == "absent" {
		m.playAbsent(e)
		return
	}
	if e.kind == "zone" {
		m.playZone(e.gap)
		return
	}
	if slices.Contains(troubleKinds, e.kind) {
		m.playTrouble(e, count)
		return
	}
	var victims []*host
	for range count {
		if v := m.pick(e.victim, victims); v != nil {
			victims = append(victims, v)
		}
	}
	if e.kind == "planned" {
		m.playPlanned(victims, e.gap)
		return
	}
	for _, v := range victims {
		if e.kind == "pause" {
			v.paused = true
		} else {
			m.kill(v)
		}
	}
	m.run(comeBack)
	for _, v := range victims {
		switch e.kind {
		case "sudden":
			v.gone = true
			m.add(v.zone)
		case "disk":
			m.wipe(v)
		case "restart":
			m.start(v)
		default:
			v.paused = false
		}
	}
	m.run(catchUp + e.gap)
}

// playZone ends all hosts of an availability zone, which come back with their disks. The
// others go on meanwhile.
func (m *model) playZone(gap time.Duration) {
	up := m.up()
	zone := up[m.rng.IntN(len(up))].zone
	lost := slices.DeleteFunc(up, func(h *host) bool { return h.zone != zone })
	for _, h := range lost {
		m.kill(h)
	}
	m.run(zoneDown)
	if since := time.Duration(m.now-m.ackedAt) * tick; since > ackWithin {
		m.fail("no change was acknowledged for %v while zone %s is gone", since, zone)
	}
	for _, h := range lost {
		m.start(h)
	}
	m.run(catchUp + gap)
}

// playAbsent ends a host, which comes back with its disk when it is a member no longer. Until it
// is told, another one restarts whose vote it must not take; then it takes part as a new one.
func (m *model) playAbsent(e event) {
	v := m.pick(e.victim, nil)
	m.kill(v)
	m.run(comeBack)
	m.add(v.zone)
	m.run(forgotten)
	m.start(v)
	other := m.pick("voter", []*host{v})
	m.kill(other)
	m.run(askIfRemoved)
	m.start(other)
	if m.removed[v.id] {
		m.kill(v)
		m.wipe(v)
	}
	m.run(catchUp + e.gap)
}

// playPlanned starts successors before it stops the victims.
func (m *model) playPlanned(victims []*host, gap time.Duration) {
	begin := m.now
	for _, v := range victims {
		m.add(v.zone)
	}
	m.run(comeBack)
	for _, v := range victims {
		m.stop(v)
	}
	m.run(catchUp + gap - time.Duration(m.now-begin)*tick)
}

// stop ends a process in a planned way: it hands over leadership and its vote first.
func (m *model) stop(h *host) {
	if leader := m.leader(); leader == h {
		if next := m.pick("voter", []*host{h}); next != nil {
			_ = h.core.TransferLeadership(next.id)
			m.pump(h)
			m.deliver()
		}
	}
	h.leaving = true
	voted := true
	for end := m.now + ticks(stopTimeout); voted && m.now < end; {
		m.run(tick)
		leader := m.leader()
		voted = leader == nil || leader == h || leader.core.Status().Membership.IsVoter(h.id)
	}
	if voted {
		m.fail("host %d has stopped in a planned way and still votes", h.id)
	}
	m.kill(h)
	h.gone = true
}

func (m *model) up() []*host {
	return slices.DeleteFunc(slices.Clone(m.hosts), func(h *host) bool { return h.core == nil || h.gone })
}

// pick draws a running host that is none of the others, nil when there is none.
func (m *model) pick(what string, others []*host) *host {
	leader := m.leader()
	candidates := slices.DeleteFunc(m.up(), func(h *host) bool { return slices.Contains(others, h) })
	if leader != nil && what == "leader" && slices.Contains(candidates, leader) {
		return leader
	}
	if leader != nil && what != "any" {
		members := leader.core.Status().Membership
		candidates = slices.DeleteFunc(candidates, func(h *host) bool { return !members.IsVoter(h.id) })
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[m.rng.IntN(len(candidates))]
}

// checkCalm checks what must hold before the next loss.
func (m *model) checkCalm() {
	leader := m.leader()
	if leader == nil {
		m.fail("no leader")
		return
	}
	if since := time.Duration(m.now-m.ackedAt) * tick; since > ackWithin {
		m.fail("no change was acknowledged for %v", since)
	}
	voters := 0
	for _, member := range leader.core.Status().Membership.Members {
		h := m.find(member.ID)
		if member.Learner {
			continue
		}
		voters++
		if h.core == nil || h.gone {
			m.fail("lost host %d still votes", h.id)
		}
	}
	if want := 2*m.policy.Tolerance.Hosts + 1; voters < want {
		m.fail("%d voters, want %d", voters, want)
	}
}

// TestModelFindsVotesThatMoveLate shows that the series catches a decision that waits until the
// next loss may come.
func TestModelFindsVotesThatMoveLate(t *testing.T) {
	found := 0
	for seed := range uint64(20) {
		late := formation.Policy{Tolerance: formation.Tolerance{Hosts: 1, Zones: 1}, ReplaceAfter: 4 * (catchUp + 2*comeBack)}
		m := newModel(seed, 4, 4, late)
		m.runUntilLeader()
		for range 10 {
			m.play(event{kind: "sudden", victim: "leader", gap: 4 * tick}, 1)
			m.checkCalm()
		}
		if m.failure != nil {
			found++
		}
	}
	if found < 20 {
		t.Errorf("found in %d of 20 series", found)
	}
}

// reportMoves logs the times from the loss of a voter until its vote has moved.
func reportMoves(t *testing.T, moves []move) {
	t.Helper()
	times := map[string][]time.Duration{}
	for _, m := range moves {
		what := fmt.Sprintf("leader %v", m.leader)
		if m.kind != "" {
			what = m.kind
		}
		times[what] = append(times[what], m.took)
	}
	for _, what := range slices.Sorted(maps.Keys(times)) {
		sorted := times[what]
		slices.Sort(sorted)
		at := func(share float64) time.Duration { return sorted[int(share*float64(len(sorted)-1))] }
		t.Logf("%s: %d votes moved, p50 %v, p99 %v, worst %v", what, len(sorted), at(0.5), at(0.99), at(1))
	}
}

func TestPlannedStopsLeaveNoVoteBehind(t *testing.T) {
	for seed := range uint64(10) {
		tolerated := 1 + int(seed%2)
		s := schedule{seed: seed, tolerated: tolerated, hosts: 4 * tolerated, events: []event{{"planned", "voter", 0}, {"planned", "leader", 0}}, atOnce: []int{tolerated, 1}}
		if m := s.play(); m.failure != nil {
			t.Fatalf("seed %d: %v\n%s", seed, m.failure, strings.Join(m.log, "\n"))
		}
	}
}

func TestMembersThatWereRemovedTakeNoVote(t *testing.T) {
	for seed := range uint64(10) {
		s := schedule{seed: seed, tolerated: 1, hosts: 3, events: []event{{"absent", "voter", 0}, {"absent", "leader", 0}}, atOnce: []int{1, 1}}
		if m := s.play(); m.failure != nil || len(m.removed) == 0 {
			t.Fatalf("seed %d: %d members removed, %v\n%s", seed, len(m.removed), m.failure, strings.Join(m.log, "\n"))
		}
	}
}
