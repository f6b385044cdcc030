package request

import (
	"fmt"
	"net/http"
	"time"
)

// Disposition states whether a request ran at an endpoint.
type Disposition string

// Dispositions.
const (
	NotRun     Disposition = "not_run" // no endpoint started the request, and none will
	Ran        Disposition = "ran"     // an endpoint ran the request, or part of it
	MayHaveRun Disposition = "unknown" // an endpoint may have run the request, or may still run it
)

// Code is the machine-readable name of a reason. Codes are stable across versions.
type Code string

// Codes of refusals and failures.
const (
	Unauthenticated     Code = "unauthenticated"
	TeamNotApproved     Code = "team_not_approved"
	EndpointNotFound    Code = "endpoint_not_found"
	PathNotFound        Code = "path_not_found"
	MethodNotAllowed    Code = "method_not_allowed"
	InvalidRequest      Code = "invalid_request"
	BodyTooLarge        Code = "body_too_large"
	BodyTooSlow         Code = "body_too_slow"
	BodyMemoryFull      Code = "body_memory_full"
	QueueFull           Code = "queue_full"
	TeamConcurrency     Code = "team_concurrency"
	TeamTokenRate       Code = "team_token_rate"
	DeadlineUnreachable Code = "deadline_unreachable"
	DeadlinePassed      Code = "deadline_passed"
	DeadlineCutRun      Code = "deadline_cut_run"
	NoInstance          Code = "no_instance"
	ConnectFailed       Code = "connect_failed"
	InstanceRefused     Code = "instance_refused"
	InstanceFailed      Code = "instance_failed"
	StreamBroken        Code = "stream_broken"
	SlowReader          Code = "slow_reader"
	AnswerTooLarge      Code = "answer_too_large"
	AnswerMemoryFull    Code = "answer_memory_full"
	AnswerNotKept       Code = "answer_not_kept"
	KeyReused           Code = "key_reused"
	KeyNotFound         Code = "key_not_found"
	KeyExpired          Code = "key_expired"
	InProgress          Code = "in_progress"
	ClaimUnavailable    Code = "claim_unavailable"
	ClaimUnconfirmed    Code = "claim_unconfirmed"
	LookupUnavailable   Code = "lookup_unavailable"
	ClaimsFull          Code = "claims_full"
	OutcomeUnknown      Code = "outcome_unknown"
	CallerGone          Code = "caller_gone"
	Stopping            Code = "stopping"
	Quarantined         Code = "quarantined"
)

// Reason is a reason for which a request ends without an answer.
type Reason struct {
	Code        Code
	Status      int // HTTP status
	Disposition Disposition
	Remedy      string
	RetryAfter  time.Duration // default; 0 if a resend does not help
}

// StatusCallerGone is the HTTP status in logs for a caller that disconnected before
// its answer. It is never sent.
const StatusCallerGone = 499

var reasons = []Reason{
	{Unauthenticated, http.StatusUnauthorized, NotRun, "send a valid team key as bearer token", 0},
	{TeamNotApproved, http.StatusForbidden, NotRun, "ask the endpoint's owner to approve the calling team", 0},
	{EndpointNotFound, http.StatusNotFound, NotRun, "check the model or service name, or ask an operator to create the endpoint", 0},
	{PathNotFound, http.StatusNotFound, NotRun, "use one of the documented paths", 0},
	{MethodNotAllowed, http.StatusMethodNotAllowed, NotRun, "use the documented method of this path", 0},
	{InvalidRequest, http.StatusBadRequest, NotRun, "correct the request; the message names the fault", 0},
	{BodyTooLarge, http.StatusRequestEntityTooLarge, NotRun, "send a smaller body", 0},
	{BodyTooSlow, http.StatusRequestTimeout, NotRun, "send the body without pauses", time.Second},
	{BodyMemoryFull, http.StatusServiceUnavailable, NotRun, "resend after the advised time", time.Second},
	{QueueFull, http.StatusServiceUnavailable, NotRun, "resend after the advised time", time.Second},
	{TeamConcurrency, http.StatusTooManyRequests, NotRun, "run fewer requests at once, or ask an operator for a higher limit", time.Second},
	{TeamTokenRate, http.StatusTooManyRequests, NotRun, "send fewer tokens, or ask an operator for a higher rate", time.Second},
	{DeadlineUnreachable, http.StatusServiceUnavailable, NotRun, "allow more time, or resend after the advised time", time.Second},
	{DeadlinePassed, http.StatusGatewayTimeout, NotRun, "allow more time, or resend after the advised time", time.Second},
	{DeadlineCutRun, http.StatusGatewayTimeout, MayHaveRun, "allow more time; the request may be repeated", time.Second},
	{NoInstance, http.StatusServiceUnavailable, NotRun, "resend after the advised time; operators: check that instances announce themselves", 2 * time.Second},
	{ConnectFailed, http.StatusServiceUnavailable, NotRun, "resend after the advised time", time.Second},
	{InstanceRefused, http.StatusServiceUnavailable, NotRun, "resend after the advised time", time.Second},
	{InstanceFailed, http.StatusBadGateway, MayHaveRun, "resend with the same idempotency key", time.Second},
	{StreamBroken, http.StatusBadGateway, Ran, "reconnect with the same idempotency key and Last-Event-ID", time.Second},
	{SlowReader, http.StatusGatewayTimeout, Ran, "read the answer without pauses; reconnect with the same idempotency key and Last-Event-ID", 0},
	{AnswerTooLarge, http.StatusBadGateway, Ran, "ask for a smaller answer, or an operator to raise the limit", 0},
	{AnswerMemoryFull, http.StatusServiceUnavailable, Ran, "resend after the advised time; the request may be repeated", time.Second},
	{AnswerNotKept, http.StatusGone, Ran, "the request has run; read its effect from the service", 0},
	{KeyReused, http.StatusUnprocessableEntity, NotRun, "use a new idempotency key for a different request", 0},
	{KeyNotFound, http.StatusNotFound, MayHaveRun, "resend the request with the same idempotency key; it runs at most once", 0},
	{KeyExpired, http.StatusGone, MayHaveRun, "read the request's effect from the service, then use a new idempotency key", 0},
	{InProgress, http.StatusConflict, MayHaveRun, "ask again by idempotency key after the advised time", time.Second},
	{ClaimUnavailable, http.StatusServiceUnavailable, NotRun, "resend with the same idempotency key after the advised time; a majority of control hosts is out of reach", 2 * time.Second},
	{ClaimUnconfirmed, http.StatusServiceUnavailable, NotRun, "resend with the same idempotency key after the advised time", 2 * time.Second},
	{LookupUnavailable, http.StatusServiceUnavailable, MayHaveRun, "ask again after the advised time; a majority of control hosts is out of reach", 2 * time.Second},
	{ClaimsFull, http.StatusServiceUnavailable, NotRun, "resend after the advised time; operators: raise the limit of claims", 30 * time.Second},
	{OutcomeUnknown, http.StatusBadGateway, MayHaveRun, "ask by idempotency key, or read the request's effect from the service; a resend does not run it again", 2 * time.Second},
	{CallerGone, StatusCallerGone, MayHaveRun, "resend with the same idempotency key", 0},
	{Quarantined, http.StatusServiceUnavailable, NotRun, "resend after the advised time; operators: find what the request does to the instances that ran it", 2 * time.Second},
	{Stopping, http.StatusServiceUnavailable, NotRun, "resend at once; another host serves the request", time.Second},
}

// reasonByCode is read only after initialisation.
var reasonByCode = indexReasons()

func indexReasons() map[Code]Reason {
	byCode := make(map[Code]Reason, len(reasons))
	for _, r := range reasons {
		byCode[r.Code] = r
	}
	return byCode
}

// Reasons returns all reasons, in a fixed order.
func Reasons() []Reason { return append([]Reason(nil), reasons...) }

// Lookup returns the reason of a code.
func Lookup(code Code) (Reason, bool) {
	r, ok := reasonByCode[code]
	return r, ok
}

// Refusal is the error with which a request ends without an answer.
type Refusal struct {
	Reason
	Detail string
	Err    error // cause, may be nil; not shown to callers
}

// Refuse returns a Refusal with the reason's default RetryAfter. It panics if the code
// is not one of this package's.
func Refuse(code Code, format string, args ...any) *Refusal {
	r, ok := reasonByCode[code]
	if !ok {
		panic("request: unknown code " + string(code))
	}
	return &Refusal{Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the time after which the caller may resend, and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithCause sets the cause and returns r.
func (r *Refusal) WithCause(err error) *Refusal {
	r.Err = err
	return r
}

// resendRemedy is the remedy if an earlier send of the call may have run.
const resendRemedy = "resend with the same idempotency key after the advised time; it runs at most once"

// ForResend returns the refusal for a send that may not be the first one of its
// call. It replaces NotRun, which would be true of this send only, by MayHaveRun.
func (r *Refusal) ForResend() *Refusal {
	if r.Disposition != NotRun {
		return r
	}
	resent := *r
	resent.Disposition = MayHaveRun
	resent.Remedy = resendRemedy
	resent.Detail += "; this send did not run, an earlier one under the same key may have"
	return &resent
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", r.Code, r.Disposition, r.Detail, r.Remedy)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }
