// Package raftnet sends the messages of a replicated log between its replicas over
// package peer, and pools the connections for calls between replicas.
package raftnet

// Method is the RPC method of the notification that carries a Batch.
const Method = "control.raft"

// Batch carries encoded messages of the replicated log.
type Batch struct {
	Messages [][]byte `json:"messages"`
}
