package consensus_test

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"filberthook/internal/replication/consensus"
)

type opKind byte

const (
	opRead opKind = iota
	opWrite
	// opSetIfEmpty sets an empty register and returns its value afterwards.
	opSetIfEmpty
)

// command is an operation on one register.
type command struct {
	kind  opKind
	key   byte
	value uint32
}

const commandBytes = 6

func (c command) encode() []byte {
	return binary.LittleEndian.AppendUint32([]byte{byte(c.kind), c.key}, c.value)
}

func decodeCommand(data []byte) command {
	return command{kind: opKind(data[0]), key: data[1], value: binary.LittleEndian.Uint32(data[2:])}
}

// registers is the replicated state machine; 0 is empty.
type registers [registerCount]uint32

const registerCount = 4

func (r *registers) apply(c command) uint32 {
	if c.kind == opWrite || c.kind == opSetIfEmpty && r[c.key] == 0 {
		r[c.key] = c.value
	}
	return r[c.key]
}

func (r registers) encode() []byte {
	var buf []byte
	for _, v := range r {
		buf = binary.LittleEndian.AppendUint32(buf, v)
	}
	return buf
}

func decodeRegisters(data []byte) (r registers) {
	for i := range r {
		if len(data) >= 4*(i+1) {
			r[i] = binary.LittleEndian.Uint32(data[4*i:])
		}
	}
	return r
}

// operation is one client call. A call without a known outcome stays open.
type operation struct {
	client   int
	input    command
	output   uint32
	call     int64
	returned int64 // 0 while open
	timeout  int   // tick at which the client gives up
	term     uint64
	index    uint64 // for a read: log index that a node must apply before it answers
}

type clients struct {
	clock     int64 // orders calls and returns
	history   []*operation
	open      [clientCount]*operation
	final     *operation
	completed int
}

const (
	clientCount   = 4
	clientTimeout = 120 // ticks
	maxOperations = 80
)

func (s *sim) tickClock() int64 { s.clock++; return s.clock }

// runClients starts calls of idle clients and abandons calls that time out.
func (s *sim) runClients() {
	for i, op := range s.open {
		if op != nil && (op.returned != 0 || s.now >= op.timeout) {
			s.open[i] = nil
		}
		if s.open[i] == nil && s.chance(s.rates.op) && len(s.history) < maxOperations {
			s.call(i)
		}
	}
}

func (s *sim) call(client int) {
	n := s.target()
	if n == nil {
		return
	}
	input := command{kind: opKind(s.rng.IntN(3)), key: byte(s.rng.IntN(registerCount)), value: s.rng.Uint32() | 1}
	if op := s.invoke(n, client, input); op != nil {
		s.open[client] = op
	}
}

// target picks a random running replica and prefers those in the leader role.
func (s *sim) target() *node {
	var leaders, all []*node
	for _, n := range s.nodes {
		if s.running(n) {
			all = append(all, n)
			if n.core.Role() == consensus.RoleLeader {
				leaders = append(leaders, n)
			}
		}
	}
	if len(leaders) > 0 && s.chance(700) {
		all = leaders
	}
	if len(all) == 0 {
		return nil
	}
	return all[s.rng.IntN(len(all))]
}

// invoke returns nil when the call was refused without effect.
func (s *sim) invoke(n *node, client int, input command) *operation {
	op := &operation{client: client, input: input, call: s.tickClock(), timeout: s.now + clientTimeout}
	if input.kind == opRead {
		s.nextRead++
		if n.core.ReadIndex(s.nextRead) != nil {
			return nil
		}
		n.reads[s.nextRead] = op
	} else {
		index, term, err := n.core.Propose(input.encode())
		if err != nil {
			return nil
		}
		op.term = term
		n.pending[index] = op
	}
	s.history = append(s.history, op)
	s.pump(n)
	return op
}

// finalWrite reports whether a write proposed after the faults has been applied.
func (s *sim) finalWrite() bool {
	if s.final == nil || s.final.returned == 0 && s.now >= s.final.timeout {
		s.final = nil
		if n := s.target(); n != nil && n.core.Role() == consensus.RoleLeader {
			s.final = s.invoke(n, clientCount, command{kind: opWrite, key: 0, value: 1})
		}
	}
	return s.final != nil && s.final.returned != 0
}

// complete answers the client whose command was applied.
func (s *sim) complete(n *node, e consensus.Entry) {
	var result uint32
	if e.Type == consensus.EntryNormal && len(e.Data) == commandBytes {
		result = n.machine.apply(decodeCommand(e.Data))
	}
	op := n.pending[e.Index]
	delete(n.pending, e.Index)
	if op != nil && op.term == e.Term {
		s.finish(op, result)
	}
}

func (s *sim) finish(op *operation, result uint32) {
	op.output, op.returned = result, s.tickClock()
	s.completed++
}

func (s *sim) handleReadState(n *node, rs consensus.ReadState) {
	if op := n.reads[rs.Context]; op != nil {
		delete(n.reads, rs.Context)
		op.index = rs.Index
		n.waiting = append(n.waiting, op)
	}
}

func (s *sim) finishReads(n *node) {
	kept := n.waiting[:0]
	for _, op := range n.waiting {
		if op.index > n.applied {
			kept = append(kept, op)
			continue
		}
		s.finish(op, n.machine[op.input.key])
	}
	n.waiting = kept
}

// abandon forgets the calls of a process that ends; their outcome is unknown.
func (s *sim) abandon(n *node) { n.pending, n.reads, n.waiting = nil, nil, nil }

// abandonPending forgets the calls whose entries a received snapshot covers.
func (s *sim) abandonPending(n *node, index uint64) {
	for i := range n.pending {
		if i <= index {
			delete(n.pending, i)
		}
	}
}

// checkHistory verifies that the calls are linearizable.
func (s *sim) checkHistory() {
	var operations []porcupine.Operation
	for _, op := range s.history {
		known := op.returned != 0
		if !known && op.input.kind == opRead {
			continue
		}
		returned := op.returned
		if !known {
			returned = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{
			ClientId: op.client, Input: op.input, Call: op.call, Output: result{op.output, known}, Return: returned,
		})
	}
	const limit = 20 * time.Second // stops only a search that would not terminate
	if got := porcupine.CheckOperationsTimeout(registerModel, operations, limit); got != porcupine.Ok {
		s.fail("client history of %d operations is not linearizable: %s", len(operations), got)
	}
}

type result struct {
	value uint32
	known bool
}

var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, registerCount)
		for _, op := range history {
			key := op.Input.(command).key
			parts[key] = append(parts[key], op)
		}
		return parts
	},
	Init: func() any { return uint32(0) },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(uint32), input.(command), output.(result)
		if in.kind == opWrite || in.kind == opSetIfEmpty && value == 0 {
			value = in.value
		}
		return !out.known || out.value == value, value
	},
}
