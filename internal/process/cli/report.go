package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/control/operator"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/settings"
)

// usageError is a wrong argument or file; nothing was sent.
type usageError struct{ err error }

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

func usage(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// notInForceError reports that a change is accepted but some live hosts have not
// applied it.
type notInForceError struct {
	revision uint64
	hosts    []string
}

// Error implements error.
func (e *notInForceError) Error() string {
	return fmt.Sprintf("revision %d is accepted but not yet in force at %v; look at `filberthook status`", e.revision, e.hosts)
}

// exitCodes maps the reason of a refusal to the exit code.
var exitCodes = map[string]int{
	"conflict":                     ExitConflict,
	"invalid":                      ExitRefused,
	"not_found":                    ExitRefused,
	"already_exists":               ExitRefused,
	"change_id_reused":             ExitRefused,
	"permission_denied":            ExitDenied,
	operator.ReasonUnauthenticated: ExitDenied,
	operator.ReasonUnavailable:     ExitUnavailable,
	operator.ReasonOutcomeUnknown:  ExitUnknown,
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var wrongUsage *usageError
	var wrongFile *settings.Error
	var late *notInForceError
	var noAnswer *noAnswerError
	var unreachable *peer.UnreachableError
	var refused *peer.RemoteError
	var invalid *invalidConfigError
	switch {
	case errors.As(err, &invalid):
		return ExitRefused
	case errors.As(err, &wrongUsage), errors.As(err, &wrongFile):
		return ExitUsage
	case errors.As(err, &late):
		return ExitNotInForce
	case errors.As(err, &noAnswer):
		if noAnswer.sent {
			return ExitUnknown
		}
		return ExitUnavailable
	case errors.As(err, &refused): // by a control host that was reached
		return ExitFailed
	case errors.As(err, &unreachable):
		return ExitUnavailable
	}
	if d := operator.DetailOf(err); d != nil {
		if code, ok := exitCodes[d.Reason]; ok {
			return code
		}
	}
	if connect.CodeOf(err) == connect.CodeUnavailable || errors.Is(err, context.DeadlineExceeded) {
		return ExitUnavailable
	}
	return ExitFailed
}

// failure is the JSON form of an error.
type failure struct {
	Error           string                      `json:"error"`
	Reason          string                      `json:"reason,omitempty"`
	Remedy          string                      `json:"remedy,omitempty"`
	ExitCode        int                         `json:"exit_code"`
	CurrentRevision uint64                      `json:"current_revision,omitempty"`
	Current         []*filberthookv1.Difference `json:"current,omitempty"`
}

// report prints an error and returns the exit code.
func (a *app) report(err error) int {
	f := failure{Error: messageOf(err), ExitCode: exitCode(err)}
	if d := operator.DetailOf(err); d != nil {
		f.Reason, f.Remedy, f.CurrentRevision, f.Current = d.Reason, d.Remedy, d.CurrentRevision, d.Current
	}
	if a.options.output == outputJSON {
		encoder := json.NewEncoder(a.errOut)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(f)
		return f.ExitCode
	}
	fmt.Fprintf(a.errOut, "filberthook: %s\n", f.Error)
	if f.Remedy != "" && !strings.Contains(f.Error, f.Remedy) {
		fmt.Fprintf(a.errOut, "remedy: %s\n", f.Remedy)
	}
	for _, c := range f.Current {
		fmt.Fprintf(a.errOut, "current %s %s: %s\n", c.Aggregate, c.Name, orAbsent(c.Before))
	}
	return f.ExitCode
}

func messageOf(err error) string {
	var noAnswer *noAnswerError
	var refused *connect.Error
	if !errors.As(err, &noAnswer) && errors.As(err, &refused) {
		return refused.Message()
	}
	return err.Error()
}

func orAbsent(value string) string {
	if value == "" {
		return "absent"
	}
	return value
}
