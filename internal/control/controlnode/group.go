package controlnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/lease"
	"filberthook/internal/control/operator"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/raftnet"
	"filberthook/internal/replication/replica"
	"filberthook/internal/replication/statemachine"
)

// noLeaderPause is the pause before another attempt, usually after one that found no leader.
const noLeaderPause = 50 * time.Millisecond

// Log is the replicated log as this package uses it. *replica.Replica
// implements it.
type Log interface {
	Propose(ctx context.Context, data []byte) (any, error)
	ReadBarrier(ctx context.Context) error
	Status() replica.Status
	AddLearner(ctx context.Context, m replica.Member) error
	Promote(ctx context.Context, id uint64) error
	RemoveMember(ctx context.Context, id uint64) error
}

// group is the control group as seen from this replica. It implements
// operator.Group.
type group struct {
	log       Log
	clock     clock
	clients   *raftnet.Pool
	state     operator.State
	bootstrap fleet.KeyHash // of the bootstrap operator in the settings file
	retries   *metrics.Counter
}

// ReadBarrier implements operator.Group.
func (g *group) ReadBarrier(ctx context.Context) error { return g.log.ReadBarrier(ctx) }

// Leader implements operator.Group.
func (g *group) Leader() string { return g.log.Status().LeaderAddress }

// Propose implements operator.Group. It repeats the proposal until ctx ends, while it is
// certain that the attempt had no effect and another may succeed.
func (g *group) Propose(ctx context.Context, cmd statemachine.Command) (statemachine.Response, error) {
	var resp statemachine.Response
	err := g.atLeader(ctx,
		func(ctx context.Context) (err error) {
			resp, err = g.proposeHere(ctx, cmd)
			return err
		},
		func(ctx context.Context, leader string) error {
			req := proposeRequest{Fleet: cmd.Fleet, Lease: cmd.Lease, Claims: cmd.Claim}
			return g.clients.Get(leader).Call(ctx, methodPropose, req, &resp)
		})
	return resp, err
}

// atLeader calls local, and remote with the leader's address if local fails because
// another replica leads. It repeats the attempt while it certainly had no effect.
func (g *group) atLeader(ctx context.Context, local func(context.Context) error, remote func(context.Context, string) error) error {
	for {
		err := local(ctx)
		var notLeader *replica.NotLeaderError
		if errors.As(err, &notLeader) && notLeader.Address != "" {
			err = remote(ctx, notLeader.Address)
			if err != nil {
				err = RemoteOutcome(err)
			}
		}
		if err == nil || !retryable(err) || !pause.For(ctx, noLeaderPause) {
			return err
		}
		g.retries.Inc()
	}
}

// retryable reports whether an attempt had no effect and another may succeed.
func retryable(err error) bool {
	var notApplied *operator.NotAppliedError
	return errors.As(err, &notApplied) && notApplied.Retry
}

// proposeHere proposes a command at this replica, stamped with this replica's clock.
func (g *group) proposeHere(ctx context.Context, cmd statemachine.Command) (statemachine.Response, error) {
	data, err := cmd.Encode(g.clock.stamp())
	if err != nil {
		return statemachine.Response{}, &operator.NotAppliedError{Err: err}
	}
	result, err := g.log.Propose(ctx, data)
	if err != nil {
		return statemachine.Response{}, localOutcome(err)
	}
	resp, ok := result.(statemachine.Response)
	if !ok {
		return resp, &operator.OutcomeUnknownError{Err: fmt.Errorf("the log returned %T", result)}
	}
	return resp, nil
}

// serveProposal proposes a command that another replica forwarded.
func (g *group) serveProposal(ctx context.Context, req proposeRequest) (statemachine.Response, error) {
	if req.Fleet != nil {
		if err := g.checkBootstrap(req.Fleet.Actor); err != nil {
			return statemachine.Response{}, wireOutcome(&operator.NotAppliedError{Err: err})
		}
	}
	cmd := statemachine.Command{Fleet: req.Fleet, Lease: req.Lease, Claim: req.Claims}
	resp, err := g.proposeHere(ctx, cmd)
	return resp, wireOutcome(err)
}

// checkBootstrap refuses an actor that claims to be the bootstrap operator with another
// key. The bootstrap key is not part of the replicated state, so it is checked here.
func (g *group) checkBootstrap(actor fleet.Actor) error {
	if actor.Bootstrap && actor.Key != g.bootstrap {
		return errors.New("the replicas have different bootstrap keys; set the same operators.bootstrap_key_sha256 at all")
	}
	return nil
}

// proposeLease proposes a lease command for a planner.
func (g *group) proposeLease(ctx context.Context, cmd lease.Command) (lease.Result, error) {
	resp, err := g.Propose(ctx, statemachine.Command{Lease: &cmd})
	if err == nil && resp.Lease == nil {
		err = &operator.OutcomeUnknownError{Err: errors.New("the leader returned no outcome")}
	}
	if err != nil {
		return lease.Result{}, wireOutcome(err)
	}
	return *resp.Lease, nil
}

// proposeClaims proposes an encoded batch of claim commands for an entry host.
func (g *group) proposeClaims(ctx context.Context, batch json.RawMessage) (json.RawMessage, error) {
	resp, err := g.Propose(ctx, statemachine.Command{Claim: batch})
	if err != nil {
		return nil, wireOutcome(err)
	}
	return resp.Claim, nil
}
