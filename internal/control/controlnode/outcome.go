package controlnode

import (
	"errors"

	"filberthook/internal/control/operator"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/replica"
)

// localOutcome tells apart whether a failed proposal may have been applied.
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

// transient reports whether a refusal ends by itself within a moment.
func transient(r consensus.Reason) bool {
	switch r {
	case consensus.ReasonBusy, consensus.ReasonTransferring, consensus.ReasonNotReady:
		return true
	}
	return false
}

// RemoteOutcome does the same for a call to another process of the control
// group: the result is an *operator.NotAppliedError or an
// *operator.OutcomeUnknownError.
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

// wireOutcome is the form of an outcome that RemoteOutcome reads back.
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
