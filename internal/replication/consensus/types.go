package consensus

// EntryType says what an Entry carries.
type EntryType uint8

const (
	// EntryNormal carries a command for the state machine; empty data is a no-op.
	EntryNormal EntryType = iota + 1
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Type  EntryType
	Data  []byte
}

// HardState must be durable before the Messages of the same Ready are sent.
type HardState struct {
	Term uint64
	Vote uint64 // replica voted for in Term, 0 for none
	// VoteIncarnation is that replica's incarnation: the vote is not valid for the
	// same id with another data folder.
	VoteIncarnation uint64
	Commit          uint64
}

// Snapshot is the state machine's state after the entry at Index was applied.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// ReadState answers one ReadIndex call: once the entry at Index has been applied,
// the state machine holds everything committed before the call.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Role is a replica's Raft role in its term.
type Role uint8

const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role's name in lower case.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "unknown"
}

// Exclusion says why a replica no longer takes part in its group. It is permanent.
type Exclusion uint8

const (
	ExclusionNone Exclusion = iota
	// ExclusionDiskLost: the group recorded another data folder for the replica's id.
	ExclusionDiskLost
	// ExclusionRemoved: the replica was removed from the group.
	ExclusionRemoved
)

// MessageType is the kind of request or response that a Message carries.
type MessageType uint8

const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessageSnapshotChunk
	MessageSnapshotResponse
	MessageTimeoutNow
	MessageReadIndex
	MessageReadIndexResponse
	// MessageExcluded tells a replica that it is no longer a member. Hint carries the
	// incarnation that the group recorded for its id, 0 when the id was removed.
	MessageExcluded
	messageTypeEnd
)

// Message travels between replicas. Fields that a type does not use are zero.
type Message struct {
	Type        MessageType
	From        uint64
	To          uint64
	Incarnation uint64 // of the sender
	// ToIncarnation is the recipient's incarnation, 0 when unknown. A replica with
	// another data folder drops the message.
	ToIncarnation uint64
	Term          uint64
	LogTerm       uint64 // term of the entry at Index
	Index         uint64 // previous, last or matched index, by type
	Commit        uint64
	Context       uint64 // read sequence number or read context
	Hint          uint64 // last possible match, next chunk offset, incarnation or ticks since the start
	Reject        bool
	Force         bool // vote request of a leadership transfer: bypasses the lease check
	Entries       []Entry
	Chunk         *SnapshotChunk
}

// SnapshotChunk is a part of a snapshot's data, bounded by Config.ChunkBytes.
type SnapshotChunk struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Offset     uint64 // bytes
	Total      uint64 // bytes
	Checksum   uint64 // xxhash of the whole data
	Data       []byte
}

// Ready is a batch of work. In this order: send Early; save Snapshot, then
// HardState and Entries durably; send Messages; restore Snapshot into the state
// machine; apply Committed; serve ReadStates; call Advance.
type Ready struct {
	Early      []Message  // leader's messages that may be sent before the rest is durable
	HardState  *HardState // nil when unchanged
	Entries    []Entry    // to append; overwrites entries at the same indexes
	Snapshot   *Snapshot  // received from the leader, replaces the whole state
	Messages   []Message  // to send only after the above is durable
	Committed  []Entry    // to apply, durable here and committed
	ReadStates []ReadState
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.Early) == 0 && r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.ReadStates) == 0
}
