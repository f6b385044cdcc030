// Package claimlog is the entry host's client for claims. It sends claim commands
// to the replicated log in batches and retries commands that were not applied.
// Commands that record an outcome are retried in the background until they are
// applied.
package claimlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/claim"
	"filberthook/internal/serve/request"
	"filberthook/internal/serve/retry"
)

// Log appends an encoded claim.Batch to the replicated log and returns the
// encoded claim.BatchResult once the batch is committed and applied. After a
// *NotAppliedError the batch was not applied and never will be; after any other
// error it may have been applied or may be applied later.
type Log interface {
	Propose(ctx context.Context, batch json.RawMessage) (json.RawMessage, error)
}

// NotAppliedError reports that a batch was not applied and never will be.
type NotAppliedError struct{ Err error }

// Error implements error.
func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("not applied: %v; try again", e.Err)
}

// Unwrap returns the cause.
func (e *NotAppliedError) Unwrap() error { return e.Err }

// Settings are the limits and time-outs of a Client.
type Settings struct {
	MaxBatch       int                   `toml:"max_batch"`       // commands in one proposal
	Proposers      int                   `toml:"proposers"`       // concurrent proposals
	Queue          int                   `toml:"queue"`           // commands waiting for a proposer
	Background     int                   `toml:"background"`      // commands being retried in the background
	ProposeTimeout tomltime.Duration     `toml:"propose_timeout"` // for one proposal
	ClaimTimeout   tomltime.Duration     `toml:"claim_timeout"`   // for all proposals of one claim, with retries
	ProbeInterval  tomltime.Duration     `toml:"probe_interval"`  // between claims attempted while the log is down
	Backoff        retry.BackoffSettings `toml:"backoff"`
}

// DefaultSettings returns settings for a log whose replicas are in one region.
func DefaultSettings() Settings {
	return Settings{
		MaxBatch:       64,
		Proposers:      4,
		Queue:          4096,
		Background:     4096,
		ProposeTimeout: tomltime.Of(time.Second),
		ClaimTimeout:   tomltime.Of(2 * time.Second),
		ProbeInterval:  tomltime.Of(250 * time.Millisecond),
		Backoff:        retry.BackoffSettings{Base: tomltime.Of(20 * time.Millisecond), Max: tomltime.Of(500 * time.Millisecond)},
	}
}

// UnavailableError reports that a claim was not made, or could not be looked up,
// because the log is out of reach or the queue is full.
type UnavailableError struct{ Err error }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("claim not made: %v; resend later", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnconfirmedError reports that a claim may have been applied. It is being released
// in the background, so the attempt must not be dispatched.
type UnconfirmedError struct{ Err error }

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("claim not confirmed, will be released: %v; resend later", e.Err)
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.Err }

// Causes of failed submissions.
var (
	errQueueFull = errors.New("too many commands wait")
	errLogDown   = errors.New("the log has been out of reach")
)

// Client sends claim commands to a Log. It is safe for concurrent use.
type Client struct {
	log      Log
	settings Settings
	counters *request.Counters
	lost     *metrics.Counter
	batches  *metrics.Counter
	commands *metrics.Counter

	queue      chan *submission
	background chan struct{} // holds one item per background task
	tasks      sync.WaitGroup
	stopping   context.Context // canceled by Close; ends proposers and background tasks
	stop       context.CancelFunc

	health health
}

// New returns a Client whose proposers run until Close.
func New(log Log, settings Settings, counters *request.Counters, set *metrics.Set) *Client {
	c := &Client{
		log:        log,
		settings:   settings,
		counters:   counters,
		lost:       set.GetOrCreateCounter("filberthook_claims_background_lost_total"),
		batches:    set.GetOrCreateCounter("filberthook_claims_batches_total"),
		commands:   set.GetOrCreateCounter("filberthook_claims_commands_total"),
		queue:      make(chan *submission, settings.Queue),
		background: make(chan struct{}, settings.Background),
	}
	c.stopping, c.stop = context.WithCancel(context.Background())
	for range settings.Proposers {
		go c.runProposer()
	}
	return c
}

// Drain waits until all background commands are applied or ctx ends. It returns the
// number of commands that are left.
func (c *Client) Drain(ctx context.Context) int {
	done := make(chan struct{})
	go func() {
		c.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
		return len(c.background)
	}
}

// Close stops the proposers and all background tasks.
func (c *Client) Close() { c.stop() }

// Claim claims the key for an attempt. The attempt may be dispatched only if the
// status of the result is Granted. The error is an
// *UnavailableError or an *UnconfirmedError.
func (c *Client) Claim(ctx context.Context, cmd claim.Command) (claim.Result, error) {
	cmd.Kind = claim.KindClaim
	if !c.health.mayTry(time.Now(), c.settings) {
		return claim.Result{}, &UnavailableError{Err: errLogDown}
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.ClaimTimeout.Duration)
	defer cancel()
	mayBeApplied := false
	for n := 1; ; n++ {
		res, err := c.submit(ctx, cmd)
		if err == nil {
			return res, nil
		}
		mayBeApplied = mayBeApplied || !notApplied(err)
		if c.health.down(time.Now(), c.settings) || !c.waitBackoff(ctx, n) {
			return claim.Result{}, c.giveUp(cmd, mayBeApplied, err)
		}
		c.counters.Retried(request.RetryProposal)
	}
}

// giveUp returns the error of a failed claim, and releases the claim if it may have
// been applied.
func (c *Client) giveUp(cmd claim.Command, mayBeApplied bool, err error) error {
	if !mayBeApplied {
		return &UnavailableError{Err: err}
	}
	c.Release(cmd.Key, cmd.Attempt)
	return &UnconfirmedError{Err: err}
}

// Complete stores the answer of an attempt in the background.
func (c *Client) Complete(key claim.Key, attempt string, answer *claim.StoredAnswer) {
	c.retryInBackground(claim.Command{Kind: claim.KindComplete, Key: key, Attempt: attempt, Answer: answer})
}

// Release drops the claim of an attempt that was not dispatched, in the background.
func (c *Client) Release(key claim.Key, attempt string) {
	c.retryInBackground(claim.Command{Kind: claim.KindRelease, Key: key, Attempt: attempt})
}

// Abandon records in the background that the outcome of an attempt is unknown.
func (c *Client) Abandon(key claim.Key, attempt string) {
	c.retryInBackground(claim.Command{Kind: claim.KindAbandon, Key: key, Attempt: attempt})
}

// Lookup reads the claim of a key. The error is an *UnavailableError.
func (c *Client) Lookup(ctx context.Context, key claim.Key) (claim.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ClaimTimeout.Duration)
	defer cancel()
	res, err := c.submit(ctx, claim.Command{Kind: claim.KindLookup, Key: key})
	if err != nil {
		return claim.Result{}, &UnavailableError{Err: err}
	}
	return res, nil
}

// retryInBackground submits a command until it is applied or the client is closed. It
// drops the command when too many are being retried. A dropped command costs only time:
// its claim becomes unknown when the hold ends.
func (c *Client) retryInBackground(cmd claim.Command) {
	select {
	case c.background <- struct{}{}:
	default:
		c.lost.Inc()
		return
	}
	c.tasks.Go(func() {
		defer func() { <-c.background }()
		for n := 1; ; n++ {
			if _, err := c.submit(c.stopping, cmd); err == nil {
				return
			}
			if !c.waitBackoff(c.stopping, n) {
				c.lost.Inc()
				return
			}
		}
	})
}

// waitBackoff waits for the backoff after n failed attempts. It returns false if ctx
// ends first.
func (c *Client) waitBackoff(ctx context.Context, n int) bool {
	timer := time.NewTimer(retry.Backoff(c.settings.Backoff, n, rand.Float64()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func notApplied(err error) bool {
	var na *NotAppliedError
	return errors.As(err, &na)
}

// submission is one queued command and its result.
type submission struct {
	cmd    claim.Command
	taken  atomic.Bool // set by the proposer that sends it, or by a submitter whose context has ended
	result claim.Result
	err    error
	done   chan struct{} // closed after result and err are set
}

// submit queues a command for the proposers and waits for its result.
func (c *Client) submit(ctx context.Context, cmd claim.Command) (claim.Result, error) {
	s := &submission{cmd: cmd, done: make(chan struct{})}
	select {
	case c.queue <- s:
	default:
		return claim.Result{}, &NotAppliedError{Err: errQueueFull}
	}
	select {
	case <-s.done:
		return s.result, s.err
	case <-ctx.Done():
		if s.taken.CompareAndSwap(false, true) {
			return claim.Result{}, &NotAppliedError{Err: ctx.Err()}
		}
		return claim.Result{}, fmt.Errorf("proposal under way: %w", ctx.Err())
	}
}
