package consensus

// Fault is a seeded defect, selectable by tests only.
type Fault = fault

// The seeded defects of the core.
const (
	FaultNone               = faultNone
	FaultVoteTwice          = faultVoteTwice
	FaultForgetVote         = faultForgetVote
	FaultVoteStaleLog       = faultVoteStaleLog
	FaultCommitOldTerm      = faultCommitOldTerm
	FaultAcceptStaleAppend  = faultAcceptStaleAppend
	FaultSkipLogCheck       = faultSkipLogCheck
	FaultApplyUncommitted   = faultApplyUncommitted
	FaultReadWithoutQuorum  = faultReadWithoutQuorum
	FaultIgnoreIncarnation  = faultIgnoreIncarnation
	FaultPromoteEarly       = faultPromoteEarly
	FaultOverlappingChanges = faultOverlappingChanges
	FaultChangeBeforeCommit = faultChangeBeforeCommit
	FaultEnd                = faultEnd
)

// SetFault switches a defect on.
func (c *Core) SetFault(f Fault) { c.fault = f }

// EntryTerm returns the term of the log's entry at index.
func (c *Core) EntryTerm(index uint64) (term uint64, ok bool) { return c.log.term(index) }

// Durable returns the highest durable index.
func (c *Core) Durable() uint64 { return c.log.stable }

// PendingChanges returns how many membership entries are not committed.
func (c *Core) PendingChanges() int {
	n := 0
	for _, m := range c.memberships {
		if m.index > c.log.committed {
			n++
		}
	}
	return n
}

// MembershipAt returns the membership that was in force at an index.
func (c *Core) MembershipAt(index uint64) Membership { return c.membershipAt(index) }

// Installing reports whether Ready has not yet returned a received snapshot.
func (c *Core) Installing() bool { return c.installed != nil }
