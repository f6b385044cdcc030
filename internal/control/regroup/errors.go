package regroup

import (
	"fmt"
	"strings"
)

// LeaderError reports that a control host knows a leader: a group lives.
type LeaderError struct{ Address, Leader string }

// Error implements error.
func (e *LeaderError) Error() string {
	return fmt.Sprintf("a control group lives: %s follows the leader %s; start this host as usual, it joins that group", e.Address, e.Leader)
}

// VoterAnswersError reports that a voter of the group answers.
type VoterAnswersError struct{ Address string }

// Error implements error.
func (e *VoterAnswersError) Error() string {
	return fmt.Sprintf("%s answers and may vote: with its disk the group may still have a quorum. Start this host as usual and bring the other voters back; "+
		"if they are gone for good, compare the logs with `filberthook group`, stop the host that holds less and repeat the command on the other", e.Address)
}

// NoStatusError reports control hosts that run and do not say what they hold: they are of an older
// release, or their replicas are closed.
type NoStatusError struct{ Addresses []string }

// Error implements error.
func (e *NoStatusError) Error() string {
	return fmt.Sprintf("%s answers but does not say whether it votes, for it runs an older release or its replica is closed: "+
		"put this release on it, start it and repeat the command; --lost does not help while it runs", strings.Join(e.Addresses, " and "))
}

// SilentError reports control hosts that have not answered and are not confirmed as lost.
type SilentError struct{ Addresses []string }

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("%s did not answer but may live where this host does not reach them, and may have become voters after the last entry of this disk; "+
		"start those that are down or mend the path to them, and confirm with --lost ADDRESS each that is gone for good, or that stays stopped until the new group runs and whose log may be discarded",
		strings.Join(e.Addresses, " and "))
}

// BehindError reports that a control host which runs holds more of the log.
type BehindError struct {
	Address        string
	LastTerm, Last uint64
	Own            Disk
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("%s holds more: its last entry is %d of term %d, that of this host %d of term %d; stop it and run the command there",
		e.Address, e.Last, e.LastTerm, e.Own.Last, e.Own.LastTerm)
}

// UnconfirmedError reports that voters which may live could form a quorum.
type UnconfirmedError struct {
	Voters      int
	Unconfirmed []string // voters not confirmed as lost; other replicas answer at their addresses
	Missing     int      // how many of them must be confirmed
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	if len(e.Unconfirmed) == 0 {
		return "this host is a quorum by itself: start it as usual"
	}
	return fmt.Sprintf("of %d voters, %s run without their disks, which may be in use elsewhere; "+
		"confirm %d more of them with --lost ADDRESS each, if these disks are gone for good",
		e.Voters, strings.Join(e.Unconfirmed, " and "), e.Missing)
}

// UnknownHostError reports a confirmed loss of a host that neither the log nor the caller names.
type UnknownHostError struct {
	Address string
	Others  []string
}

// Error implements error.
func (e *UnknownHostError) Error() string {
	return fmt.Sprintf("--lost %s: neither the log of this host, nor its seeds, nor --ask name such a control host; they name %s", e.Address, strings.Join(e.Others, ", "))
}

// NoMemberError reports a data folder that cannot continue the group.
type NoMemberError struct{ ID, Last uint64 }

// Error implements error.
func (e *NoMemberError) Error() string {
	return fmt.Sprintf("the log of replica %d, up to entry %d, does not name it as a member: it cannot continue the group; "+
		"use the disk of a host that `filberthook group` shows as a member", e.ID, e.Last)
}

// NoFolderError reports a data folder without a replica.
type NoFolderError struct{ Dir string }

// Error implements error.
func (e *NoFolderError) Error() string {
	return fmt.Sprintf("%s holds no replica: set data_dir to the folder of a control host that was a member", e.Dir)
}

// RunningError reports a data folder that a running process uses.
type RunningError struct {
	Dir string
	Err error
}

// Error implements error.
func (e *RunningError) Error() string {
	return fmt.Sprintf("%s is in use: stop the control host first", e.Dir)
}

// Unwrap returns the cause.
func (e *RunningError) Unwrap() error { return e.Err }
