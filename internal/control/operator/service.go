// Package operator serves the operators' calls. It authenticates operators, turns their
// requests into commands of the control group and returns the replicated state.
package operator

import (
	"context"
	"crypto/subtle"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"filberthook/api/filberthook/v1/filberthookv1connect"
	"filberthook/internal/control/distribution"
	"filberthook/internal/control/lease"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/replication/statemachine"
)

// Limits on calls.
const (
	MaxRequestBytes = 16 << 20
	callTimeout     = 10 * time.Second
	barrierTimeout  = 3 * time.Second
)

// State is the replicated state as this replica has applied it.
type State interface {
	Configuration() fleet.Configuration
	DryRun(cmd fleet.Command) fleet.Result
	Audit(limit int) []fleet.AuditEntry
	Leases() []lease.Lease
}

// Group is the control group.
type Group interface {
	// Propose applies a command through the leader, wherever that is.
	Propose(ctx context.Context, cmd statemachine.Command) (statemachine.Response, error)
	// ReadBarrier returns once this replica has applied everything that was committed
	// before the call.
	ReadBarrier(ctx context.Context) error
	// Members returns the replicas and the last committed log position.
	Members(ctx context.Context) ([]Member, uint64, error)
	// ChangeMember adds, promotes or removes one replica.
	ChangeMember(ctx context.Context, change MemberChange) error
	// Leader returns the address of the leader, empty when unknown.
	Leader() string
}

// Hosts collects what the entry hosts report, such as the revision they have in force.
type Hosts interface {
	// Reports returns the newest report of each host and the addresses of the replicas
	// that did not answer.
	Reports(ctx context.Context) (reports []distribution.HostReport, unreachable []string)
}

// Settings are the settings of a Service.
type Settings struct {
	Replica   string        // host name of this replica
	Bootstrap fleet.KeyHash // hash of the first admin's key
	Now       func() time.Time
	Logger    *slog.Logger
	Metrics   *metrics.Set
}

// Service implements the OperatorService of the schema.
type Service struct {
	filberthookv1connect.UnimplementedOperatorServiceHandler

	settings Settings
	state    State
	group    Group
	hosts    Hosts
}

// Handler returns the path prefix of the service and its HTTP handler.
func Handler(settings Settings, state State, group Group, hosts Hosts) (string, http.Handler) {
	s := &Service{settings: settings, state: state, group: group, hosts: hosts}
	return filberthookv1connect.NewOperatorServiceHandler(s,
		connect.WithInterceptors(connect.UnaryInterceptorFunc(s.intercept)),
		connect.WithReadMaxBytes(MaxRequestBytes))
}

// caller is the authenticated operator of a call.
type caller struct {
	actor fleet.Actor
	role  fleet.Role
	stale bool // the replica could not confirm that it is up to date
}

type callerKey struct{}

func callerOf(ctx context.Context) caller {
	c, _ := ctx.Value(callerKey{}).(caller)
	return c
}

// intercept confirms that this replica is up to date, authenticates the
// operator and counts the outcome of each call.
func (s *Service) intercept(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, timeoutOf(req.Spec().Procedure))
		defer cancel()
		resp, err := s.serve(ctx, req, next)
		s.count(req.Spec().Procedure, err)
		return resp, err
	}
}

// timeoutOf returns the time limit of a call.
func timeoutOf(procedure string) time.Duration {
	if procedure == filberthookv1connect.OperatorServiceGetStatusProcedure {
		return maxStatusWait + callTimeout
	}
	return callTimeout
}

func (s *Service) serve(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	stale := false
	if err := s.barrier(ctx); err != nil {
		// The status must be readable at a replica that reaches no quorum.
		if req.Spec().Procedure != filberthookv1connect.OperatorServiceGetStatusProcedure {
			return nil, unavailable(err)
		}
		stale = true
	}
	c, err := s.authenticate(req.Header().Get("Authorization"))
	if err != nil {
		return nil, err
	}
	c.stale = stale
	return next(context.WithValue(ctx, callerKey{}, c), req)
}

func (s *Service) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return s.group.ReadBarrier(ctx)
}

const bearerPrefix = "Bearer "

func (s *Service) authenticate(header string) (caller, error) {
	if len(header) <= len(bearerPrefix) || header[:len(bearerPrefix)] != bearerPrefix {
		return caller{}, unauthenticated("the call carries no key")
	}
	key := header[len(bearerPrefix):]
	hash := fleet.HashKey(key)
	if subtle.ConstantTimeCompare([]byte(hash), []byte(s.settings.Bootstrap)) == 1 {
		actor := fleet.Actor{Name: fleet.BootstrapName, Key: hash, Bootstrap: true}
		return caller{actor: actor, role: fleet.RoleAdmin}, nil
	}
	op, ok := s.state.Configuration().AuthenticateOperator(key)
	if !ok {
		return caller{}, unauthenticated("the key is unknown")
	}
	return caller{actor: fleet.Actor{Name: op.Name, Key: op.Key}, role: op.Role}, nil
}

// requireAdmin refuses operators that are not admins.
func requireAdmin(ctx context.Context) error {
	c := callerOf(ctx)
	if c.role == fleet.RoleAdmin {
		return nil
	}
	return refusal(&fleet.Error{
		Code: fleet.CodeDenied, ChangeIndex: -1,
		Message: fmt.Sprintf("operator %q has role %s", c.actor.Name, c.role),
		Remedy:  "ask an admin to make this call",
	})
}

func (s *Service) count(procedure string, err error) {
	reason := "ok"
	if err != nil {
		reason = reasonOf(err)
	}
	name := fmt.Sprintf(`filberthook_operator_calls_total{procedure=%q,outcome=%q}`, procedure, reason)
	s.settings.Metrics.GetOrCreateCounter(name).Inc()
}
