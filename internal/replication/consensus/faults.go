package consensus

// fault is a deliberate defect that tests switch on to show that the checks
// catch it. It is always faultNone outside tests: no exported API sets it.
type fault uint8

const (
	faultNone fault = iota
	faultVoteTwice
	faultForgetVote
	faultVoteStaleLog
	faultCommitOldTerm
	faultAcceptStaleAppend
	faultSkipLogCheck
	faultApplyUncommitted
	faultReadWithoutQuorum
	faultIgnoreIncarnation
	faultPromoteEarly
	faultOverlappingChanges
	faultChangeBeforeCommit
	faultEnd
)

var faultNames = [...]string{
	"none", "vote-twice", "forget-vote", "vote-stale-log", "commit-old-term", "accept-stale-append",
	"skip-log-check", "apply-uncommitted", "read-without-quorum", "ignore-incarnation",
	"promote-early", "overlapping-changes", "change-before-commit",
}

// String returns the fault's name as used by the seeded-fault tests.
func (f fault) String() string { return faultNames[f] }
