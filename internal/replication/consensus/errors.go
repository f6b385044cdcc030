package consensus

import "fmt"

// Reason says why a call was refused; its text is stable and used as a metric label.
type Reason string

const (
	ReasonNotLeader        Reason = "not_leader"
	ReasonTransferring     Reason = "leadership_transfer"
	ReasonTransferFailed   Reason = "transfer_timeout"
	ReasonBusy             Reason = "uncommitted_limit"
	ReasonSize             Reason = "command_size"
	ReasonChangePending    Reason = "membership_change_pending"
	ReasonNotReady         Reason = "no_commit_in_term"
	ReasonKnownMember      Reason = "known_member"
	ReasonUnknownMember    Reason = "unknown_member"
	ReasonRetiredID        Reason = "retired_id"
	ReasonNotCaughtUp      Reason = "learner_behind"
	ReasonTooManyVoters    Reason = "too_many_voters"
	ReasonRemoveLeader     Reason = "remove_leader"
	ReasonQuorumAtRisk     Reason = "quorum_at_risk"
	ReasonWrongIncarnation Reason = "wrong_incarnation"
	ReasonWrongAddressee   Reason = "wrong_addressee"
	ReasonExcluded         Reason = "excluded"
)

var remedies = map[Reason]string{
	ReasonNotLeader:        "send the request to the leader",
	ReasonTransferring:     "retry after the leadership transfer, within an election timeout",
	ReasonTransferFailed:   "check that the voter is reachable, or choose another one",
	ReasonBusy:             "retry with backoff",
	ReasonSize:             "send a command that is not empty and at most 1 MiB long",
	ReasonChangePending:    "retry once the membership change in progress has been committed",
	ReasonNotReady:         "retry once the new leader has committed an entry",
	ReasonKnownMember:      "use a replica id that is not a member",
	ReasonUnknownMember:    "add the replica as a learner first",
	ReasonRetiredID:        "use a replica id that was never used",
	ReasonNotCaughtUp:      "wait until the learner is reachable and holds the committed log",
	ReasonTooManyVoters:    "remove a voter first",
	ReasonRemoveLeader:     "transfer leadership to another voter first",
	ReasonQuorumAtRisk:     "bring enough of the remaining voters back first",
	ReasonWrongIncarnation: "join as a learner with a new replica id",
	ReasonWrongAddressee:   "check the address list of the sender",
	ReasonExcluded:         "clear the data folder and join as a learner with a new replica id",
}

// RefusedError reports a call that had no effect.
type RefusedError struct {
	Reason Reason
	Leader uint64 // known leader, 0 for none
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused, %s: %s", e.Reason, remedies[e.Reason])
}

// ConfigError reports a setting out of range.
type ConfigError struct {
	Problem string
	Remedy  string
}

// Error implements error.
func (e *ConfigError) Error() string { return e.Problem + ": " + e.Remedy }
