package controlnode

import (
	"errors"

	"filberthook/internal/control/operator"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/replica"
)

// localOutcome classifies the error of a failed proposal or change of members at this
// replica by whether it may have been applied.
func localOutcome(err error) error {
	var notLeader *replica.NotLeaderError
	var refused *consensus.RefusedError
	switch {
	case errors.As(err, &notLeader):
		return &operator.NotAppliedError{Err: err, Retry: true}
	case errors.As(err, &refused):
		return &operator.NotAppliedError{Err: err, Retry: transient(refused.Reason)}
	}
	return &operator.OutcomeUnknownError{Err: err}
}

// transient reports whether the reason of a refusal passes by itself within a moment.
func transient(r consensus.Reason) bool {
	switch r {
	case consensus.ReasonBusy, consensus.ReasonTransferring, consensus.ReasonNotReady:
		return true
	}
	return false
}

// RemoteOutcome classifies the error of a call to another process of the control group by
// whether the call may have been applied: the result is an *operator.NotAppliedError or
// an *operator.OutcomeUnknownError.
func RemoteOutcome(err error) error {
	var unreachable *peer.UnreachableError
	var remote *peer.RemoteError
	switch {
	case errors.As(err, &unreachable):
		return &operator.NotAppliedError{Err: err, Retry: true}
	case !errors.As(err, &remote):
		return &operator.OutcomeUnknownError{Err: err}
	}
	switch remote.Code {
	case codeTryAgain, peer.CodeBusy:
		return &operator.NotAppliedError{Err: err, Retry: true}
	case codeRefused, peer.CodeNoHello, peer.CodeVersion, peer.CodeIdentity, peer.CodeBadParams, peer.CodeNoSuchCall:
		return &operator.NotAppliedError{Err: err}
	}
	return &operator.OutcomeUnknownError{Err: err}
}

// wireOutcome encodes an outcome for the wire, for RemoteOutcome at the other end.
func wireOutcome(err error) error {
	if err == nil {
		return nil
	}
	code := int64(codeOutcomeUnknown)
	var notApplied *operator.NotAppliedError
	if errors.As(err, &notApplied) {
		code = codeRefused
		if notApplied.Retry {
			code = codeTryAgain
		}
	}
	return &callError{Code: code, Message: err.Error()}
}
