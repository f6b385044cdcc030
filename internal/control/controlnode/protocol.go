package controlnode

import (
	"encoding/json"

	"filberthook/internal/control/distribution"
	"filberthook/internal/control/lease"
	"filberthook/internal/control/operator"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/replication/statemachine"
)

// Peer calls that a control replica serves, besides distribution.MethodWatch.
const (
	MethodClaims       = "control.claims"        // encoded claim.Batch to encoded claim.BatchResult; from entry hosts, at any replica
	methodPropose      = "control.propose"       // proposeRequest to statemachine.Response; between replicas, at the leader
	methodReports      = "control.reports"       // reportsRequest to reportsResponse; between replicas
	methodMembers      = "control.members"       // membersRequest to membersResponse; between replicas, at the leader
	methodChangeMember = "control.change_member" // operator.MemberChange to changeMemberResponse; between replicas, at the leader
)

// proposeRequest asks the leader to propose a command, stamped with the leader's clock.
type proposeRequest struct {
	Fleet  *fleet.Command  `json:"fleet,omitempty"`
	Lease  *lease.Command  `json:"lease,omitempty"`
	Claims json.RawMessage `json:"claims,omitempty"` // encoded claim.Batch
}

type reportsRequest struct{}

type reportsResponse struct {
	Reports []distribution.HostReport `json:"reports"`
}

type membersRequest struct{}

type membersResponse struct {
	Members []operator.Member `json:"members"`
	Commit  uint64            `json:"commit"`
}

type changeMemberResponse struct{}

// Codes of the errors returned to replicas and entry hosts.
const (
	codeTryAgain       = 101 // nothing was applied; a later attempt may succeed
	codeRefused        = 102 // nothing was applied
	codeOutcomeUnknown = 103
)

// callError carries the outcome of a failed call to another process.
type callError struct {
	Code    int64  `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (e *callError) Error() string { return e.Message }

// RPCCode implements peer.CodedError.
func (e *callError) RPCCode() int64 { return e.Code }

var _ statemachine.SubMachine = (*claims)(nil)
