package fleet

import "fmt"

// Reason is the stable machine-readable reason of a refused call.
type Reason string

// Reasons of refused calls.
const (
	ReasonUnknownKey      Reason = "unknown_key"
	ReasonRevokedKey      Reason = "revoked_key"
	ReasonUnknownEndpoint Reason = "unknown_endpoint"
	ReasonNotApproved     Reason = "not_approved"
)

// AuthorizeError refuses a call before any of it has run.
type AuthorizeError struct {
	Reason   Reason
	Team     string // empty for an unknown key
	Endpoint string
	Owner    string // owner of the endpoint, for ReasonNotApproved
}

// Error implements error. The message never holds the key.
func (e *AuthorizeError) Error() string {
	return e.message() + "; " + e.Remedy()
}

func (e *AuthorizeError) message() string {
	switch e.Reason {
	case ReasonRevokedKey:
		return fmt.Sprintf("the key of team %q was revoked", e.Team)
	case ReasonUnknownEndpoint:
		return fmt.Sprintf("there is no endpoint %q", e.Endpoint)
	case ReasonNotApproved:
		return fmt.Sprintf("team %q is not approved for endpoint %q", e.Team, e.Endpoint)
	default:
		return "the key is unknown"
	}
}

// Remedy tells the caller what to do.
func (e *AuthorizeError) Remedy() string {
	switch e.Reason {
	case ReasonRevokedKey:
		return "use the team's new key"
	case ReasonUnknownEndpoint:
		return "correct the endpoint's name or ask an operator to create it"
	case ReasonNotApproved:
		return fmt.Sprintf("ask its owner %q to approve the team", e.Owner)
	default:
		return "send the team's key as a bearer token"
	}
}
