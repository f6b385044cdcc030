package formation_test

import (
	"strings"
	"testing"
	"time"

	"filberthook/internal/control/formation"
	"filberthook/internal/replication/consensus"
)

// Troubles that last: a process that crashes and comes back over and over, a disk that
// refuses writes while the process answers, and one that does so until the replica is opened
// again after a while.
var troubleKinds = []string{"flap", "refuse", "reopen"}

// reopenTicks is the time until a replica is opened again after its disk refused a write.
const reopenTicks = 10

// trouble is what is wrong with a host that is up, or up now and then.
type trouble struct {
	kind     string // of troubleKinds, empty for none
	up, down int    // ticks; a process that flaps
	next     int    // tick at which the process starts or ends

	slow  int // ticks that a write takes at most
	write *write
	inbox []consensus.Message // received during a write
}

// write is a write to a slow disk. The replica does nothing else until it ends.
type write struct {
	ready consensus.Ready
	until int // tick
}

func (t *trouble) lasts() bool { return t.kind != "" }

func (h *host) writing() bool { return h.trouble.write != nil }

// canLead reports whether a host leads and its replica can be called.
func (m *model) canLead(h *host) bool {
	return h.core != nil && !h.paused && !h.writing() && h.core.Role() == consensus.RoleLeader
}

// makeTrouble starts and ends processes, and ends writes that are due.
func (m *model) makeTrouble(h *host) {
	t := &h.trouble
	switch {
	case h.writing() && m.now >= t.write.until:
		m.endWrite(h)
	case !t.lasts() || m.now < t.next:
	case h.core == nil:
		m.start(h)
		t.next = m.now + t.up
	case t.kind == "flap":
		m.crash(h)
		t.next = m.now + t.down
	}
}

func (m *model) endWrite(h *host) {
	rd, received := h.trouble.write.ready, h.trouble.inbox
	h.trouble.write, h.trouble.inbox = nil, nil
	m.saved(h, &rd)
	for i := range received {
		_ = h.core.Step(&received[i])
	}
	m.pump(h)
}

func writes(rd *consensus.Ready) bool { return rd.HardState != nil || len(rd.Entries) > 0 }

// refuses ends a replica whose disk refuses a write. It is opened again a little later.
func (m *model) refuses(h *host, rd *consensus.Ready) bool {
	if !writes(rd) || h.trouble.kind != "refuse" && h.trouble.kind != "reopen" {
		return false
	}
	m.crash(h)
	h.trouble.next = m.now + h.trouble.down
	return true
}

// delays begins a write to a slow disk.
func (m *model) delays(h *host, rd *consensus.Ready) bool {
	if !writes(rd) || h.trouble.slow == 0 {
		return false
	}
	h.trouble.write = &write{ready: *rd, until: m.now + m.rng.IntN(h.trouble.slow+1)}
	return true
}

// begin begins a trouble that lasts until end.
func (m *model) begin(h *host, kind string) {
	if leader := m.leader(); leader != nil && leader.core.Status().Membership.IsVoter(h.id) {
		m.lostAt[h.id] = loss{at: m.now, leader: leader == h, kind: kind}
	}
	h.trouble.kind, h.trouble.next = kind, 0
	switch kind {
	case "flap":
		h.trouble.up, h.trouble.down = 2+m.rng.IntN(7), 12+m.rng.IntN(7)
	case "refuse":
		h.trouble.down = 3
	case "reopen":
		h.trouble.down = reopenTicks
	}
	m.note("%s of %d in %s, %d ticks up, %d down", kind, h.id, h.zone, h.trouble.up, h.trouble.down)
}

func (m *model) end(h *host) {
	h.trouble.kind = ""
	delete(m.lostAt, h.id)
	m.note("end of trouble of %d", h.id)
	if h.core == nil {
		m.start(h)
	}
}

// playTrouble begins a trouble of one or more hosts. Another host is lost while it lasts, once the
// votes have had the time to move.
func (m *model) playTrouble(e event, count int) {
	var victims []*host
	for range count {
		if v := m.pick(e.victim, victims); v != nil {
			victims = append(victims, v)
		}
	}
	spare := len(m.up())-len(victims) >= 2*m.policy.Tolerance.Hosts+1
	for _, v := range victims {
		m.begin(v, e.kind)
	}
	m.run(comeBack + catchUp)
	m.checkTrouble(victims, spare)
	if spare && m.failure == nil {
		lost := m.pickSteady(e.victim, victims)
		m.kill(lost)
		lost.gone = true
		m.run(comeBack)
		m.add(lost.zone)
		m.run(catchUp + e.gap)
		m.checkTrouble(victims, spare)
	}
	for _, v := range victims {
		m.end(v)
	}
	m.run(catchUp + e.gap)
}

// pickSteady draws a voter without trouble.
func (m *model) pickSteady(what string, troubled []*host) *host {
	if what == "any" {
		what = "voter"
	}
	return m.pick(what, troubled)
}

// checkTrouble checks that changes are acknowledged while hosts are in trouble and, if there are
// enough others, that those have the votes.
func (m *model) checkTrouble(victims []*host, spare bool) {
	leader := m.leader()
	if since := time.Duration(m.now-m.ackedAt) * tick; leader == nil || since > ackWithin {
		m.fail("no change was acknowledged for %v during trouble", since)
		return
	}
	for _, v := range victims {
		if spare && leader.core.Status().Membership.IsVoter(v.id) {
			m.fail("host %d is in trouble and still votes", v.id)
		}
	}
}

// Slow disks delay answers, and the votes stay where they are.
func TestNothingMovesWhileHostsAreSteady(t *testing.T) {
	for seed := range schedulesByHand(12) {
		s := scheduleOf(seed)
		policy := formation.Policy{Tolerance: formation.Tolerance{Hosts: s.tolerated, Zones: 1}, ReplaceAfter: catchUp}
		m := newModel(seed, 4, s.hosts, policy)
		m.runUntilLeader()
		m.run(5 * time.Second)
		for i, h := range m.hosts {
			h.trouble.slow = []int{0, 2, 4, 6}[(i+int(seed))%4]
		}
		steps, acked := m.steps, m.acked
		m.run(time.Minute)
		if m.failure != nil || m.steps != steps || m.acked == acked {
			t.Errorf("seed %d: %d changes of membership, %d changes acknowledged, %v\n%v", seed, m.steps-steps, m.acked-acked, m.failure, m.log[max(0, len(m.log)-20):])
		}
	}
}

func TestVotersInTroubleLoseTheirVotes(t *testing.T) {
	for _, kind := range troubleKinds {
		for _, victim := range []string{"leader", "voter"} {
			for seed := range uint64(8) {
				tolerated := 1 + int(seed%2)
				s := schedule{seed: seed, tolerated: tolerated, hosts: 4 * tolerated, events: []event{{kind, victim, 0}}, atOnce: []int{1}}
				m := s.play()
				if m.failure != nil {
					t.Fatalf("seed %d, %s of %s: %v\n%s", seed, kind, victim, m.failure, strings.Join(m.log, "\n"))
				}
			}
		}
	}
}
