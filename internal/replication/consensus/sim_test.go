package consensus_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"filberthook/internal/process/invariant"
	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/storage"
)

// settings describe one simulated run. Everything else follows from the seed.
type settings struct {
	seed           uint64
	ticks          int
	fault          consensus.Fault
	ignoreSync     bool // disks report syncs that they did not do
	sendBeforeSave bool // messages are sent before the state they depend on is durable
}

// envelope is an encoded message in flight.
type envelope struct {
	from, to uint64
	due      int // tick
	data     []byte
}

// node is one host of the simulation.
type node struct {
	id            uint64
	fs            *fsys.Mem
	core          *consensus.Core // nil while the process is down
	disk          *storage.Storage
	machine       registers
	applied       uint64
	snapshotIndex uint64
	commit        uint64 // highest seen since the last start
	resumeAt      int    // tick at which a pause ends
	diskLost      bool   // its disk was lost once
	gone          bool   // never to be started again
	pending       map[uint64]*operation
	reads         map[uint64]*operation // by read context
	waiting       []*operation          // reads whose index is not applied yet
}

// faultRates holds the rates of faults and client calls, drawn per run. They are per
// mille of messages, or of ticks and nodes.
type faultRates struct {
	drop, duplicate, batch, delay   int // delay in ticks
	crash, pause, cut, loseDisk, op int
}

// sim runs a group of cores on one thread with logical time.
type sim struct {
	settings
	rng      *rand.Rand
	rates    faultRates
	now      int
	nodes    []*node
	initial  []consensus.Member
	queue    []envelope
	cut      map[[2]uint64]int // one-way links that are down, until a tick
	nextID   uint64
	nextRead uint64
	operator operator
	clients
	observer
}

const snapshotEvery = 20 // entries

// run simulates one schedule and returns the first violated safety property, or nil.
func run(o settings) (s *sim, err error) {
	s = newSim(o)
	err = s.guard(func() {
		for s.now < o.ticks && s.failure == nil {
			s.step()
		}
		s.settle()
		if s.failure == nil {
			s.checkHistory()
		}
	})
	return s, err
}

// guard runs body and returns the first violated safety property, or nil.
func (s *sim) guard(body func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			violation, ok := v.(*invariant.Violation)
			if !ok {
				panic(v)
			}
			err = violation
		}
	}()
	body()
	return s.failure
}

func newSim(o settings) *sim {
	s := &sim{settings: o, rng: rand.New(rand.NewPCG(o.seed, 0)), cut: map[[2]uint64]int{}, nextRead: 1}
	s.observer = newObserver()
	pick := func(values ...int) int { return values[s.rng.IntN(len(values))] }
	s.rates = faultRates{
		drop: pick(0, 10, 100, 250), duplicate: pick(0, 20, 100), batch: 300, delay: pick(1, 2, 5, 15),
		crash: pick(0, 2, 8), pause: pick(0, 2, 8), cut: pick(0, 5, 20), loseDisk: pick(0, 3, 10), op: pick(20, 60, 200),
	}
	voters := pick(1, 3, 3, 5)
	for id := uint64(1); id <= uint64(voters); id++ {
		s.initial = append(s.initial, consensus.Member{ID: id})
	}
	s.nextID = uint64(voters)
	s.membership = consensus.NewMembership(s.initial)
	for _, m := range s.initial {
		s.addNode(m.ID)
	}
	return s
}

func (s *sim) chance(perMille int) bool { return s.rng.IntN(1000) < perMille }

func (s *sim) addNode(id uint64) *node {
	n := &node{id: id, fs: fsys.NewMem()}
	s.nodes = append(s.nodes, n)
	s.start(n)
	return n
}

func (s *sim) node(id uint64) *node {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// start runs the node's process, recovered from its disk.
func (s *sim) start(n *node) {
	if s.ignoreSync {
		n.fs.IgnoreSync()
	}
	n.fs.FailSync(nil)
	disk, st, _, err := storage.Open(storage.Options{
		FS: n.fs, Dir: "data", ID: n.id, Members: s.initial, SegmentBytes: 2048, Random: randomBytes{s.rng},
	})
	if err != nil {
		s.fail("node %d did not recover: %v", n.id, err)
		return
	}
	core, err := consensus.New(consensus.Config{
		ID: n.id, Incarnation: disk.Incarnation(), Seed: s.rng.Uint64(), ElectionTicks: 10, ChunkBytes: 5, MaxAppendBytes: 200,
	}, st)
	if err != nil {
		s.fail("node %d did not start: %v", n.id, err)
		return
	}
	core.SetFault(s.fault)
	n.disk, n.core = disk, core
	n.machine = decodeRegisters(st.Snapshot.Data)
	n.applied, n.snapshotIndex, n.commit = st.Snapshot.Index, st.Snapshot.Index, 0
	n.pending, n.reads, n.waiting = map[uint64]*operation{}, map[uint64]*operation{}, nil
}

type randomBytes struct{ rng *rand.Rand }

func (r randomBytes) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.rng.Uint32())
	}
	return len(p), nil
}

// crash ends the process and loses what its disk had not synced, torn at random.
func (s *sim) crash(n *node) {
	s.crashes++
	s.abandon(n)
	n.core = nil
	n.fs.Crash(func(unsynced int) int { return s.rng.IntN(unsynced + 1) })
}

func (s *sim) running(n *node) bool { return n.core != nil && n.resumeAt <= s.now }

// step advances the simulation by one tick.
func (s *sim) step() {
	s.now++
	s.injectFaults()
	s.deliver()
	for _, n := range s.nodes {
		if s.running(n) && !s.chance(50) {
			n.core.Tick()
			s.pump(n)
		}
	}
	s.runOperator()
	s.runClients()
	for _, n := range s.nodes {
		s.check(n)
	}
}

// deliver passes the messages that are due to their nodes, in the order of the random
// delivery times drawn when they were sent. Messages to a paused node wait until it resumes.
func (s *sim) deliver() {
	due := s.queue
	s.queue = nil
	slices.SortStableFunc(due, func(a, b envelope) int { return cmp.Compare(a.due, b.due) })
	for i, e := range due {
		n := s.node(e.to)
		switch {
		case e.due > s.now:
			s.queue = append(s.queue, due[i:]...)
			return
		case n == nil || n.core == nil || s.cut[[2]uint64{e.from, e.to}] > s.now:
		case n.resumeAt > s.now:
			e.due = n.resumeAt
			s.queue = append(s.queue, e)
		default:
			s.receive(n, e.data)
		}
	}
}

func (s *sim) receive(n *node, data []byte) {
	m, err := consensus.DecodeMessage(data)
	if err != nil {
		s.fail("message does not decode: %v", err)
		return
	}
	// A refusal drops the message, as in the server.
	_ = n.core.Step(m)
	if !s.chance(s.rates.batch) { // otherwise one Ready serves several messages
		s.pump(n)
	}
}

func (s *sim) send(n *node, messages []consensus.Message) {
	for i := range messages {
		m := &messages[i]
		s.recordMessage(n, m)
		copies := 1
		if s.chance(s.rates.duplicate) {
			copies = 2
		}
		for range copies {
			if !s.chance(s.rates.drop) {
				due := s.now + 1 + s.rng.IntN(s.rates.delay)
				s.queue = append(s.queue, envelope{from: n.id, to: m.To, due: due, data: consensus.EncodeMessage(m)})
			}
		}
	}
}

// pump processes a node's Ready batches, as the server does, and may crash the node at
// any point in between.
func (s *sim) pump(n *node) {
	for s.running(n) && s.failure == nil {
		rd := n.core.Ready()
		if rd.Empty() {
			break
		}
		if !s.handle(n, &rd) {
			s.crash(n)
			return
		}
		n.core.Advance()
		if !s.maybeSnapshot(n) {
			s.crash(n)
			return
		}
	}
	s.check(n)
}

// handle returns false when the process crashes.
func (s *sim) handle(n *node, rd *consensus.Ready) bool {
	s.send(n, rd.Early)
	if s.sendBeforeSave {
		s.send(n, rd.Messages)
	}
	if s.chance(s.rates.crash) {
		n.fs.FailSync(fmt.Errorf("crash during sync"))
	}
	if err := n.disk.Save(rd); err != nil || s.chance(s.rates.crash) {
		return false
	}
	n.fs.FailSync(nil)
	if !s.sendBeforeSave {
		s.send(n, rd.Messages)
	}
	if rd.Snapshot != nil {
		s.installs++
		n.machine = decodeRegisters(rd.Snapshot.Data)
		n.applied, n.snapshotIndex = rd.Snapshot.Index, rd.Snapshot.Index
		s.abandonPending(n, rd.Snapshot.Index)
	}
	for _, e := range rd.Committed {
		s.apply(n, e)
	}
	for _, rs := range rd.ReadStates {
		s.handleReadState(n, rs)
	}
	s.finishReads(n)
	return true
}

// maybeSnapshot returns false when the process crashes.
func (s *sim) maybeSnapshot(n *node) bool {
	if n.applied < n.snapshotIndex+snapshotEvery {
		return true
	}
	n.snapshotIndex = n.applied
	snap := n.core.Compact(n.applied, n.machine.encode(), snapshotEvery/2)
	const snapshotCrash = 50 // per mille of snapshots, in runs with crashes
	if s.rates.crash > 0 && s.chance(snapshotCrash) {
		n.fs.FailSync(fmt.Errorf("crash during sync"))
	}
	if n.disk.SaveSnapshot(snap) != nil || s.chance(s.rates.crash) {
		return false
	}
	if err := n.disk.Compact(); err != nil {
		s.fail("compaction at %d: %v", n.id, err)
	}
	return true
}
