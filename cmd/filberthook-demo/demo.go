package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/api/filberthook/v1/filberthookv1connect"
	"filberthook/internal/bench/deployment"
	"filberthook/internal/bench/loadgen"
	"filberthook/internal/engines/fleet"

	"connectrpc.com/connect"
)

// Sizes of the demo's requests.
const (
	streamedAnswers = 8
	answerTokens    = 40
	resends         = 3
	settleTimeout   = 8 * time.Second // within which every host must apply a change
	settlePoll      = 50 * time.Millisecond
)

// demo runs the steps and collects the figures of the summary.
type demo struct {
	deployment *deployment.Deployment
	operator   filberthookv1connect.OperatorServiceClient
	started    time.Time
	key        string
	verified   int
	booked     int
	refusal    loadgen.Result
}

func (s *demo) run(ctx context.Context) error {
	steps := []struct {
		title string
		run   func(context.Context) error
	}{
		{"create endpoints and a calling team, approve the team", s.configure},
		{"wait until every entry host has the configuration and knows an engine", s.settle},
		{"stream answers through every entry host", s.stream},
		{"book once, and resend the booking through every entry host", s.book},
		{"withdraw the team's approval", s.withdraw},
		{"see the refusal at every entry host", s.awaitRefusals},
	}
	for i, step := range steps {
		fmt.Printf("%d. %s\n", i+1, step.title)
		if err := step.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.title, err)
		}
	}
	return nil
}

func (s *demo) configure(ctx context.Context) error {
	s.operator = s.deployment.Operator(0, s.deployment.AdminKey())
	key, sum := fleet.NewKey()
	s.key = key
	changes := []*filberthookv1.Change{
		{Change: &filberthookv1.Change_CreateEndpoint{CreateEndpoint: &filberthookv1.CreateEndpoint{Endpoint: &filberthookv1.Endpoint{
			Name: summaries, Owner: "operations", Kind: filberthookv1.Kind_KIND_MODEL, Repeatable: true, DefaultDeadlineMs: 20_000, Model: model,
		}}}},
		{Change: &filberthookv1.Change_CreateEndpoint{CreateEndpoint: &filberthookv1.CreateEndpoint{Endpoint: &filberthookv1.Endpoint{
			Name: bookings, Owner: "operations", Kind: filberthookv1.Kind_KIND_SERVICE, DefaultDeadlineMs: 5_000,
		}}}},
		{Change: &filberthookv1.Change_CreateTeam{CreateTeam: &filberthookv1.CreateTeam{
			Team: team, Key: &filberthookv1.TeamKey{Id: "first", Sha256: string(sum)},
		}}},
		{Change: &filberthookv1.Change_ApproveTeam{ApproveTeam: &filberthookv1.ApproveTeam{Endpoint: summaries, Team: team}}},
		{Change: &filberthookv1.Change_ApproveTeam{ApproveTeam: &filberthookv1.ApproveTeam{Endpoint: bookings, Team: team}}},
	}
	return s.apply(ctx, "demo-configure", changes)
}

// apply applies changes to the newest revision, retrying under the same change
// id while the control group elects its leader.
func (s *demo) apply(ctx context.Context, id string, changes []*filberthookv1.Change) error {
	for {
		err := s.applyOnce(ctx, id, changes)
		if err == nil || connect.CodeOf(err) != connect.CodeUnavailable {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(settlePoll):
		}
	}
}

func (s *demo) applyOnce(ctx context.Context, id string, changes []*filberthookv1.Change) error {
	current, err := s.operator.GetConfiguration(ctx, connect.NewRequest(&filberthookv1.GetConfigurationRequest{}))
	if err != nil {
		return err
	}
	revision := current.Msg.GetConfiguration().GetRevision()
	_, err = s.operator.Apply(ctx, connect.NewRequest(&filberthookv1.ApplyRequest{
		ChangeId: id, ExpectedRevision: &revision, Changes: changes,
	}))
	return err
}

func (s *demo) settle(ctx context.Context) error {
	if err := s.deployment.AwaitReady(ctx); err != nil {
		return err
	}
	return s.eachEntry(ctx, func(e *deployment.EntryHost) error {
		return s.until(ctx, func() error { return requireWhole(s.chat(ctx, e, 0)) })
	})
}

func (s *demo) stream(ctx context.Context) error {
	return s.eachEntry(ctx, func(e *deployment.EntryHost) error {
		for i := range streamedAnswers {
			if err := requireWhole(s.chat(ctx, e, i)); err != nil {
				return err
			}
			s.verified++
		}
		fmt.Printf("   %s: %d answers streamed and verified\n", e.Name, streamedAnswers)
		return nil
	})
}

func (s *demo) chat(ctx context.Context, e *deployment.EntryHost, i int) loadgen.Result {
	c := loadgen.NewCaller(e.Callers, s.key)
	defer c.Close()
	return c.Chat(ctx, loadgen.Chat{
		Model:     summaries,
		Engine:    model,
		Prompt:    fmt.Sprintf("summarise the assistance history of passenger %s-%d [out=%d]", e.Name, i, answerTokens),
		MaxTokens: answerTokens,
		Stream:    true,
	})
}

func (s *demo) book(ctx context.Context) error {
	const key = "booking-of-passenger-17"
	body := []byte(`{"passenger":17,"gate":"B4","chair":true}`)
	for range resends {
		err := s.eachEntry(ctx, func(e *deployment.EntryHost) error {
			c := loadgen.NewCaller(e.Callers, s.key)
			defer c.Close()
			return s.until(ctx, func() error {
				return requireWhole(c.CallThrough(ctx, "/services/"+bookings, "/bookings", key, body))
			})
		})
		if err != nil {
			return err
		}
	}
	for _, service := range s.deployment.Services {
		s.booked += service.Service.Runs()[key]
	}
	if s.booked != 1 {
		return fmt.Errorf("the booking ran %d times, want once", s.booked)
	}
	fmt.Printf("   sent %d times, ran %d time\n", resends*len(s.deployment.Entries), s.booked)
	return nil
}

func (s *demo) withdraw(ctx context.Context) error {
	return s.apply(ctx, "demo-withdraw", []*filberthookv1.Change{
		{Change: &filberthookv1.Change_WithdrawTeam{WithdrawTeam: &filberthookv1.WithdrawTeam{Endpoint: summaries, Team: team}}},
	})
}

func (s *demo) awaitRefusals(ctx context.Context) error {
	return s.eachEntry(ctx, func(e *deployment.EntryHost) error {
		return s.until(ctx, func() error {
			s.refusal = s.chat(ctx, e, 0)
			if s.refusal.Outcome != loadgen.NotRun {
				return fmt.Errorf("%s answered %v after the withdrawal", e.Name, s.refusal.Outcome)
			}
			return nil
		})
	})
}

func (s *demo) eachEntry(_ context.Context, fn func(*deployment.EntryHost) error) error {
	for _, e := range s.deployment.Entries {
		if err := fn(e); err != nil {
			return err
		}
	}
	return nil
}

// until repeats a step until it succeeds or settleTimeout has passed.
func (s *demo) until(ctx context.Context, step func() error) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		err := step()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(settlePoll):
		}
	}
}

func (s *demo) summary() {
	fmt.Printf("done in %v: %d streamed answers verified, 1 booking run %d time, refusal code %q\n",
		time.Since(s.started).Round(time.Millisecond), s.verified, s.booked, s.refusal.Code)
}

// requireWhole returns an error unless the caller got the complete, correct answer.
func requireWhole(r loadgen.Result) error {
	if r.Outcome == loadgen.Whole {
		return nil
	}
	return fmt.Errorf("outcome %s, status %d, code %q: %v", r.Outcome, r.Status, r.Code, r.Err)
}
