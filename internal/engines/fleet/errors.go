package fleet

import "fmt"

// Code is the stable machine-readable reason of a refusal.
type Code string

// Codes of refusals.
const (
	CodeConflict       Code = "conflict"
	CodeInvalid        Code = "invalid"
	CodeNotFound       Code = "not_found"
	CodeExists         Code = "already_exists"
	CodeDenied         Code = "permission_denied"
	CodeChangeIDReused Code = "change_id_reused"
)

// Error is a refused command. Its message names the remedy.
type Error struct {
	Code            Code   `json:"code"`
	Message         string `json:"message"`
	Remedy          string `json:"remedy"`
	ChangeIndex     int    `json:"change_index"` // position in the list; -1 for the whole list
	CurrentRevision uint64 `json:"current_revision,omitempty"`
	Current         *Delta `json:"current,omitempty"` // for conflicts: newest values of the affected aggregates
}

// Error implements error.
func (e *Error) Error() string {
	if e.ChangeIndex >= 0 {
		return fmt.Sprintf("change %d: %s; %s", e.ChangeIndex+1, e.Message, e.Remedy)
	}
	return fmt.Sprintf("%s; %s", e.Message, e.Remedy)
}

// at returns the error with the position of the refused change.
func (e *Error) at(index int) *Error {
	indexed := *e
	indexed.ChangeIndex = index
	return &indexed
}

// withoutCurrent returns the error without the current values, so that the outcome
// history stays small.
func (e *Error) withoutCurrent() *Error {
	if e == nil {
		return nil
	}
	short := *e
	short.Current = nil
	return &short
}

func newError(code Code, message, remedy string) *Error {
	return &Error{Code: code, Message: message, Remedy: remedy, ChangeIndex: -1}
}

func errInvalid(message, remedy string) *Error {
	return newError(CodeInvalid, message, remedy)
}

func errNotFound(what, name string) *Error {
	return newError(CodeNotFound, fmt.Sprintf("there is no %s %q", what, name),
		fmt.Sprintf("create the %s first or correct the name", what))
}

func errExists(what, name string) *Error {
	return newError(CodeExists, fmt.Sprintf("%s %q exists already", what, name),
		"choose another name or change the existing one")
}

func errDenied(message, remedy string) *Error {
	return newError(CodeDenied, message, remedy)
}

func errChangeIDReused(id string) *Error {
	return newError(CodeChangeIDReused, fmt.Sprintf("change id %q was used before for other changes", id),
		"send new changes under a new change id")
}

func errConflict(expected, current uint64, values *Delta) *Error {
	e := newError(CodeConflict,
		fmt.Sprintf("the changes expect revision %d, the configuration is at revision %d", expected, current),
		"compare the current values and send the changes again with the current revision and a new change id")
	e.CurrentRevision = current
	e.Current = values
	return e
}
