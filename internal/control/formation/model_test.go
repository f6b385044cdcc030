package formation_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"filberthook/internal/control/formation"
	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/replica"
	"filberthook/internal/replication/storage"
)

// Times of the model, in ticks of a replica.
const (
	tick       = replica.DefaultTickInterval
	checkTicks = 2 // between two checks of the votes
	joinTicks  = 6 // between two requests to join
	proposeGap = 7 // between two changes of the configuration
)

func ticks(d time.Duration) int { return int(d / tick) }

// host is a control host of the model, with the disk that it has now.
type host struct {
	id      uint64
	zone    string
	address string
	fs      *fsys.Mem
	disk    *storage.Storage
	core    *consensus.Core // nil while the process is down
	leaving bool
	paused  bool
	gone    bool // never to be started again
	trouble trouble

	commit       uint64 // at the previous check of the votes
	checked      int    // tick of that check
	availability formation.Availability
}

// model is a control group on a logical clock. It makes the calls that package controlhost
// makes, without a network.
type model struct {
	rng      *rand.Rand
	policy   formation.Policy
	now      int // tick
	hosts    []*host
	founders []consensus.Member
	queue    []consensus.Message
	cut      func(from, to *host) bool
	nextID   uint64
	log      []string

	committed map[uint64][]byte // by index
	acked     uint64            // highest value that was acknowledged
	ackedAt   int               // tick of the last acknowledgement
	pending   map[uint64]pendingValue
	nextValue uint64
	lostAt    map[uint64]loss // voters that were lost and have not lost their vote yet, by id
	removed   map[uint64]bool // members that have been removed
	moves     []move
	steps     int // changes of membership that the decision made
	failure   error
}

// pendingValue is a value that a leader has appended and not acknowledged yet.
type pendingValue struct {
	value, term uint64
	leader      *host
}

// loss is the end of a voter's process.
type loss struct {
	at     int // tick
	leader bool
	kind   string // of the trouble that began, empty for a loss
}

// move is the time from the loss of a voter, or from the begin of its trouble, until that
// host held no vote.
type move struct {
	took   time.Duration
	leader bool
	kind   string // of the trouble
}

func newModel(seed uint64, zones, hosts int, policy formation.Policy) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 1)), policy: policy, cut: func(_, _ *host) bool { return false },
		committed: map[uint64][]byte{}, pending: map[uint64]pendingValue{}, lostAt: map[uint64]loss{}, removed: map[uint64]bool{},
	}
	for n := range min(3, hosts) {
		m.founders = append(m.founders, consensus.Member{ID: uint64(n + 1), Address: fmt.Sprint("host", n), Zone: fmt.Sprint("z", n%zones)})
	}
	for n := range hosts {
		m.add(fmt.Sprint("z", n%zones))
	}
	return m
}

// add starts a host with an empty disk.
func (m *model) add(zone string) *host {
	m.nextID++
	h := &host{id: m.nextID, zone: zone, address: fmt.Sprint("host", m.nextID-1), fs: fsys.NewMem()}
	m.hosts = append(m.hosts, h)
	m.start(h)
	return h
}

// wipe replaces a host's disk by an empty one; the host is a new member at its old address.
func (m *model) wipe(h *host) *host {
	h.gone = true
	next := m.add(h.zone)
	next.address = h.address
	return next
}

func (m *model) start(h *host) {
	var members []consensus.Member
	if h.id <= uint64(len(m.founders)) {
		members = m.founders
	}
	disk, st, _, err := storage.Open(storage.Options{FS: h.fs, Dir: "data", ID: h.id, Members: members, Random: randomBytes{m.rng}})
	if err != nil {
		m.fail("host %d does not open: %v", h.id, err)
		return
	}
	if !h.trouble.lasts() {
		delete(m.lostAt, h.id)
	}
	h.disk, h.leaving, h.commit = disk, false, 0
	h.availability.Reset()
	h.core, err = consensus.New(consensus.Config{ID: h.id, Incarnation: disk.Incarnation(), Seed: m.rng.Uint64()}, st)
	if err != nil {
		m.fail("host %d does not start: %v", h.id, err)
	}
	if !h.trouble.lasts() {
		m.note("start of %d in %s", h.id, h.zone)
	}
}

// kill ends a process at once. What its disk has synced stays.
func (m *model) kill(h *host) {
	if h.core == nil {
		return
	}
	if leader := m.leader(); leader != nil && leader.core.Status().Membership.IsVoter(h.id) {
		m.lostAt[h.id] = loss{at: m.now, leader: leader == h}
	}
	m.note("end of %d, leader %v", h.id, h.core.Role() == consensus.RoleLeader)
	m.crash(h)
}

func (m *model) crash(h *host) {
	h.core, h.paused, h.trouble.write, h.trouble.inbox = nil, false, nil, nil
	h.fs.Crash(func(unsynced int) int { return m.rng.IntN(unsynced + 1) })
}

func (m *model) fail(format string, args ...any) {
	if m.failure == nil {
		m.failure = fmt.Errorf("at %v: "+format, append([]any{time.Duration(m.now) * tick}, args...)...)
	}
}

func (m *model) note(format string, args ...any) {
	m.log = append(m.log, fmt.Sprintf("%v: ", time.Duration(m.now)*tick)+fmt.Sprintf(format, args...))
}

// leader returns the running leader of the highest term, nil for none.
func (m *model) leader() *host {
	var leader *host
	for _, h := range m.hosts {
		if h.core != nil && !h.paused && h.core.Role() == consensus.RoleLeader && (leader == nil || h.core.Status().Term > leader.core.Status().Term) {
			leader = h
		}
	}
	return leader
}

func (m *model) find(id uint64) *host {
	i := slices.IndexFunc(m.hosts, func(h *host) bool { return h.id == id })
	if i < 0 {
		return nil
	}
	return m.hosts[i]
}

// run advances the clock.
func (m *model) run(d time.Duration) {
	for range ticks(d) {
		if m.failure != nil {
			return
		}
		m.now++
		for _, h := range m.hosts {
			m.makeTrouble(h)
			if h.core != nil && !h.paused && !h.writing() {
				h.core.Tick()
				m.pump(h)
			}
		}
		m.deliver()
		m.leaderWork()
		m.deliver()
		m.recordMoves()
	}
}

// deliver passes messages on until none is left.
func (m *model) deliver() {
	for len(m.queue) > 0 {
		due := m.queue
		m.queue = nil
		for i := range due {
			from, to := m.find(due[i].From), m.find(due[i].To)
			switch {
			case to == nil || to.core == nil || to.paused || m.cut(from, to):
			case to.writing():
				to.trouble.inbox = append(to.trouble.inbox, due[i])
			default:
				_ = to.core.Step(&due[i]) // a refusal drops the message
				m.pump(to)
			}
		}
	}
}

// pump does the work of a replica: it saves, sends and applies.
func (m *model) pump(h *host) {
	for h.core != nil && !h.writing() {
		rd := h.core.Ready()
		if rd.Empty() {
			return
		}
		m.queue = append(m.queue, rd.Early...)
		if m.refuses(h, &rd) {
			return
		}
		if err := h.disk.Save(&rd); err != nil {
			m.fail("host %d does not save: %v", h.id, err)
			return
		}
		if !m.delays(h, &rd) {
			m.saved(h, &rd)
		}
	}
}

// saved does what a replica does once a batch is durable.
func (m *model) saved(h *host, rd *consensus.Ready) {
	m.queue = append(m.queue, rd.Messages...)
	for _, e := range rd.Committed {
		m.apply(h, e)
	}
	h.core.Advance()
}

func (m *model) apply(h *host, e consensus.Entry) {
	data := append([]byte{byte(e.Type)}, e.Data...)
	if known, ok := m.committed[e.Index]; ok && !bytes.Equal(known, data) {
		m.fail("host %d applied another entry at %d", h.id, e.Index)
	}
	m.committed[e.Index] = data
	if p, ok := m.pending[e.Index]; ok && p.leader == h && p.term == e.Term {
		m.acked, m.ackedAt = max(m.acked, p.value), m.now
		delete(m.pending, e.Index)
	}
}

// leaderWork admits hosts, moves votes and appends changes, as the leader's host does.
func (m *model) leaderWork() {
	for _, h := range m.hosts {
		if h.core != nil && h.core.Role() != consensus.RoleLeader {
			h.availability.Reset()
			h.checked = m.now
		}
		if !m.canLead(h) {
			continue
		}
		if m.now%joinTicks == 0 {
			m.admit(h)
		}
		if m.now%checkTicks == 0 {
			m.moveVotes(h)
		}
		if m.now%proposeGap == 0 && m.canLead(h) {
			m.propose(h)
		}
	}
}

func (m *model) admit(leader *host) {
	members := leader.core.Status().Membership
	for _, h := range m.hosts {
		if _, known := members.Find(h.id); known || h.core == nil || h.paused || h.gone || m.cut(h, leader) || m.cut(leader, h) {
			continue
		}
		for _, former := range members.Members {
			if former.Address == h.address && former.ID != h.id {
				m.find(former.ID).leaving = true
				m.moveVotes(leader)
				m.change(leader, consensus.ChangeRemove, former.ID)
			}
		}
		m.change(leader, consensus.ChangeAddLearner, h.id)
	}
}

func (m *model) change(leader *host, kind consensus.ChangeType, id uint64) bool {
	if !m.canLead(leader) {
		return false
	}
	h := m.find(id)
	_, _, err := leader.core.ProposeMembership(consensus.Change{Type: kind, Member: consensus.Member{ID: id, Address: h.address, Zone: h.zone}})
	m.pump(leader)
	m.deliver()
	return err == nil
}

// maxSteps bounds the changes of one check.
const maxSteps = 20

func (m *model) moveVotes(leader *host) {
	for range maxSteps {
		if !m.canLead(leader) {
			return
		}
		status := leader.core.Status()
		var members []formation.Health
		for _, s := range status.Members {
			known := m.find(s.ID)
			members = append(members, formation.Health{
				Member: replica.Member{ID: s.ID, Address: s.Address, Zone: s.Zone, Learner: s.Learner},
				Up:     time.Duration(s.UpTicks) * tick,
				Match:  s.Match, Silent: time.Duration(s.SilentTicks) * tick,
				CaughtUp: s.Match >= leader.commit, Leaving: known.leaving,
			})
		}
		leader.availability.Observe(members, time.Duration(min(m.now-leader.checked, 2*checkTicks))*tick, m.policy)
		leader.commit, leader.checked = status.Commit, m.now
		step := formation.NextStep(members, leader.id, m.policy)
		kinds := map[formation.StepKind]consensus.ChangeType{
			formation.Promote: consensus.ChangePromote, formation.Demote: consensus.ChangeDemote, formation.Remove: consensus.ChangeRemove,
		}
		if step.Kind == formation.NoStep || !m.change(leader, kinds[step.Kind], step.ID) {
			return
		}
		m.steps++
		m.note("%v %d: %s", step.Kind, step.ID, step.Reason)
	}
}

func (m *model) propose(leader *host) {
	m.nextValue++
	index, term, err := leader.core.Propose(fmt.Append(nil, m.nextValue))
	if err != nil {
		return
	}
	m.pending[index] = pendingValue{value: m.nextValue, term: term, leader: leader}
	m.pump(leader)
	m.deliver()
}

// recordMoves records when the votes of lost hosts have moved.
func (m *model) recordMoves() {
	leader := m.leader()
	if leader == nil {
		return
	}
	status := leader.core.Status()
	membership := status.Membership
	for _, id := range status.Removed {
		m.removed[id] = true
	}
	if m.removed[leader.id] {
		m.fail("host %d was removed and leads", leader.id)
	}
	for _, member := range membership.Members {
		if m.removed[member.ID] && !member.Learner {
			m.fail("host %d was removed and votes", member.ID)
		}
	}
	for id, l := range m.lostAt {
		if !membership.IsVoter(id) {
			m.moves = append(m.moves, move{took: time.Duration(m.now-l.at) * tick, leader: l.leader, kind: l.kind})
			delete(m.lostAt, id)
		}
	}
}

type randomBytes struct{ rng *rand.Rand }

func (r randomBytes) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.rng.Uint32())
	}
	return len(p), nil
}
