package operator

import (
	"errors"

	"connectrpc.com/connect"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/engines/fleet"
)

// Reasons of refusals besides the codes of package fleet.
const (
	ReasonUnauthenticated = "unauthenticated"
	ReasonUnavailable     = "unavailable"     // nothing was changed
	ReasonOutcomeUnknown  = "outcome_unknown" // the change may have been applied
	ReasonInternal        = "internal"
)

// NotAppliedError reports that a command had no effect.
type NotAppliedError struct {
	Err   error
	Retry bool // the same command may succeed a little later
}

// Error implements error.
func (e *NotAppliedError) Error() string { return "not applied: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotAppliedError) Unwrap() error { return e.Err }

// OutcomeUnknownError reports that a command may or may not have been applied.
type OutcomeUnknownError struct{ Err error }

// Error implements error.
func (e *OutcomeUnknownError) Error() string { return "outcome unknown: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

func withDetail(code connect.Code, err error, detail *filberthookv1.ErrorDetail) error {
	out := connect.NewError(code, err)
	if d, derr := connect.NewErrorDetail(detail); derr == nil {
		out.AddDetail(d)
	}
	return out
}

func unauthenticated(message string) error {
	remedy := "send an operator's key as a bearer token"
	return withDetail(connect.CodeUnauthenticated, errors.New(message+"; "+remedy),
		&filberthookv1.ErrorDetail{Reason: ReasonUnauthenticated, Remedy: remedy, ChangeIndex: -1})
}

func unavailable(err error) error {
	return withDetail(connect.CodeUnavailable, err, &filberthookv1.ErrorDetail{
		Reason:      ReasonUnavailable,
		Remedy:      "nothing was changed; try again, also at another control host",
		ChangeIndex: -1,
	})
}

func invalid(message, remedy string) error {
	return refusal(&fleet.Error{Code: fleet.CodeInvalid, Message: message, Remedy: remedy, ChangeIndex: -1})
}

// proposalError returns the error of a failed proposal for the operator. Its detail says
// whether the proposal may have been applied.
func proposalError(err error) error {
	var notApplied *NotAppliedError
	if errors.As(err, &notApplied) {
		return unavailable(err)
	}
	return withDetail(connect.CodeDeadlineExceeded, err, &filberthookv1.ErrorDetail{
		Reason:      ReasonOutcomeUnknown,
		Remedy:      "send the same request again with the same change id to learn the outcome",
		ChangeIndex: -1,
	})
}

// codes maps the codes of refusals to those of the protocol.
var codes = map[fleet.Code]connect.Code{
	fleet.CodeConflict:       connect.CodeAborted,
	fleet.CodeInvalid:        connect.CodeInvalidArgument,
	fleet.CodeNotFound:       connect.CodeNotFound,
	fleet.CodeExists:         connect.CodeAlreadyExists,
	fleet.CodeDenied:         connect.CodePermissionDenied,
	fleet.CodeChangeIDReused: connect.CodeFailedPrecondition,
}

// refusal returns the protocol's error for a refused command.
func refusal(err *fleet.Error) error {
	detail := &filberthookv1.ErrorDetail{
		Reason:          string(err.Code),
		Remedy:          err.Remedy,
		ChangeIndex:     int32(err.ChangeIndex),
		CurrentRevision: err.CurrentRevision,
	}
	if err.Current != nil {
		detail.Current = differences(err.Current, nil)
	}
	return withDetail(codes[err.Code], err, detail)
}

// DetailOf returns the detail of a refused call's error, nil if it has none.
func DetailOf(err error) *filberthookv1.ErrorDetail {
	var refused *connect.Error
	if !errors.As(err, &refused) {
		return nil
	}
	for _, d := range refused.Details() {
		if v, verr := d.Value(); verr == nil {
			if detail, ok := v.(*filberthookv1.ErrorDetail); ok {
				return detail
			}
		}
	}
	return nil
}

func reasonOf(err error) string {
	if d := DetailOf(err); d != nil {
		return d.Reason
	}
	return ReasonInternal
}
