package controlapi

// GroupRequest asks a control host what it knows of its group.
type GroupRequest struct {
	// Ask has the host ask the other members before it answers.
	Ask bool `json:"ask"`
	// Replica is the id of the asking host's replica, 0 if it has none.
	Replica uint64 `json:"replica,omitempty"`
}

// GroupStatus is what one control host knows of its group, with or without a quorum.
type GroupStatus struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // for other hosts
	Replica uint64 `json:"replica"` // id, 0 while the replica is closed
	Member  bool   `json:"member"`  // the host's own log names it as a member
	Voter   bool   `json:"voter"`
	// Leader is the address of the leader, empty when none is known.
	Leader string `json:"leader"`
	// WithoutLeaderMS is for how long no leader has been known, 0 while one is.
	WithoutLeaderMS int64         `json:"without_leader_ms"`
	Term            uint64        `json:"term"`
	LastTerm        uint64        `json:"last_term"` // of the last entry
	Last            uint64        `json:"last"`      // index of the last entry
	Commit          uint64        `json:"commit"`    // highest index known to be committed
	Version         uint64        `json:"version"`   // of the configuration in force
	Members         []GroupMember `json:"members,omitempty"`
	// Removed says that the asking replica was a member of this host's group and was removed.
	Removed bool `json:"removed,omitempty"`
}

// GroupMember is a member that the log of a control host names.
type GroupMember struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Voter   bool   `json:"voter"`
	Answers bool   `json:"answers"` // it has answered now; always true for the host itself
	// SilentMS is the time since it last answered this host, -1 if it has not since this host's
	// process started.
	SilentMS int64  `json:"silent_ms"`
	Error    string `json:"error,omitempty"` // why it does not answer
	// Status is what it has answered, without members.
	Status *GroupStatus `json:"status,omitempty"`
}

// Ahead reports whether the log of s is more up to date than that of other: consensus elects no
// leader whose log is less so.
func (s *GroupStatus) Ahead(other *GroupStatus) bool {
	if s.LastTerm != other.LastTerm {
		return s.LastTerm > other.LastTerm
	}
	return s.Last > other.Last
}

// ExpelledRequest tells that replicas are no members any more: their group had lost its quorum,
// and an operator has made a new one.
type ExpelledRequest struct {
	IDs []uint64 `json:"ids"`
}
