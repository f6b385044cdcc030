// Package consensus implements the Raft algorithm as a pure state machine: it
// does no I/O, reads no clock and starts no goroutine. The caller feeds it ticks,
// messages and proposals, takes a Ready batch, makes it durable, sends its
// messages, applies its committed entries and calls Advance.
//
// The package provides leader election with pre-vote and check-quorum, log
// replication, linearizable reads (ReadIndex), single-server membership changes
// with learners, leadership transfer and snapshot transfer in chunks.
package consensus
