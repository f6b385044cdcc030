package middleware

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"filberthook/internal/network/ident"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/caller"
	"filberthook/internal/serve/claim"
	"filberthook/internal/serve/claimlog"
	"filberthook/internal/serve/request"
)

// ClaimSettings limit the time and number of claimed calls.
type ClaimSettings struct {
	Host       string            `toml:"-"`           // name of this entry host
	Grace      tomltime.Duration `toml:"grace"`       // time after the deadline during which the host still waits for the answer
	Retention  tomltime.Duration `toml:"retention"`   // time for which the control group keeps keys
	MaxRunning int               `toml:"max_running"` // calls in flight, including those whose callers have disconnected
}

// DefaultClaims returns the settings used if the settings file sets none.
func DefaultClaims() ClaimSettings {
	return ClaimSettings{
		Grace:      tomltime.Of(30 * time.Second),
		Retention:  tomltime.Of(claim.DefaultLimits().Retention),
		MaxRunning: 4096,
	}
}

// HeaderReplayed marks an answer that was stored when an earlier send of the same call
// ran.
const HeaderReplayed = "X-Replayed"

// Claims runs a non-repeatable call only after its claim is committed, and stores its
// answer for resends. Repeatable calls pass through.
type Claims struct {
	settings ClaimSettings
	log      *claimlog.Client
	next     http.Handler
	running  sync.WaitGroup // calls in flight, including those whose callers have disconnected
	runSlots chan struct{}  // holds one item per call in flight; its capacity is MaxRunning
}

// NewClaims returns the handler.
func NewClaims(settings ClaimSettings, log *claimlog.Client, next http.Handler) *Claims {
	return &Claims{settings: settings, log: log, next: next, runSlots: make(chan struct{}, settings.MaxRunning)}
}

// Drain waits until all non-repeatable calls have ended and their outcomes are in the
// log. If ctx ends first, it returns an error that says what is left.
func (h *Claims) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		h.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return errors.New("non-repeatable calls are still running; ask for their outcome by key")
	}
	if left := h.log.Drain(ctx); left > 0 {
		return fmt.Errorf("%d outcomes of non-repeatable calls are not stored; ask for them by key", left)
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (h *Claims) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := call.From(r)
	if c.Request.Repeatable() {
		h.next.ServeHTTP(w, r)
		return
	}
	select {
	case h.runSlots <- struct{}{}:
	default:
		c.Refuse(w, request.Refuse(request.QueueFull, "%d non-repeatable calls are under way", cap(h.runSlots)))
		return
	}
	cmd := h.command(c, r)
	if !h.claim(w, r, c, cmd) {
		<-h.runSlots
		return
	}
	h.run(w, r, c, cmd)
}

// claim reports whether the claim was granted. If not, it writes the response.
func (h *Claims) claim(w http.ResponseWriter, r *http.Request, c *call.Call, cmd claim.Command) bool {
	if err := caller.Check(r.Context()); err != nil {
		refusal := request.Refuse(request.CallerGone, "the caller closed its connection").WithCause(err)
		refusal.Disposition = request.NotRun
		c.Refuse(w, refusal)
		return false
	}
	res, err := h.log.Claim(r.Context(), cmd)
	if err != nil {
		c.Refuse(w, claimRefusal(err))
		return false
	}
	c.Resend = false // the claim shows what happened to earlier sends
	if res.Status != claim.Granted {
		answerFromClaim(w, c, res)
		return false
	}
	c.Request.Claimed()
	return true
}

func (h *Claims) command(c *call.Call, r *http.Request) claim.Command {
	return claim.Command{
		Key:      claimKey(c),
		Attempt:  ident.New(),
		Entry:    h.settings.Host,
		BodyHash: bodyHash(c, r),
		Hold:     c.Left() + h.settings.Grace.Duration,
	}
}

func claimKey(c *call.Call) claim.Key {
	return claim.Key{Team: c.Team, Endpoint: c.Endpoint.Name, Idempotency: c.Key}
}

// bodyHash hashes everything that distinguishes calls: method, path, query, content type
// and body.
func bodyHash(c *call.Call, r *http.Request) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%s\n%q\n%q\n%q\n", r.Method, c.Path, c.RawQuery, r.Header.Get("Content-Type"))
	sum.Write(c.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

func claimRefusal(err error) *request.Refusal {
	var unconfirmed *claimlog.UnconfirmedError
	if errors.As(err, &unconfirmed) {
		return request.Refuse(request.ClaimUnconfirmed, "the claim of the call could not be confirmed").WithCause(err)
	}
	return request.Refuse(request.ClaimUnavailable, "the call could not be claimed").WithCause(err)
}

// run sends the claimed call and writes its answer. The call continues if the caller
// disconnects or its deadline passes, so that a resend can get the outcome.
func (h *Claims) run(w http.ResponseWriter, r *http.Request, c *call.Call, cmd claim.Command) {
	rec := newRecorder()
	done := make(chan struct{})
	ctx, cancel := context.WithTimeout(caller.Detach(r.Context()), cmd.Hold)
	h.running.Go(func() {
		defer func() { <-h.runSlots }()
		defer close(done)
		defer cancel()
		h.next.ServeHTTP(rec, r.WithContext(ctx))
		h.recordOutcome(c, cmd, rec)
	})
	select {
	case <-done:
		rec.copyTo(w)
	case <-r.Context().Done():
		h.refuseInProgress(w, c)
	}
}

// refuseInProgress tells the caller that the call is still in flight. The call itself
// does not end.
func (h *Claims) refuseInProgress(w http.ResponseWriter, c *call.Call) {
	refusal := request.Refuse(request.InProgress, "the call is still under way at its deadline")
	c.Counters.Refused(refusal.Code, refusal.Disposition)
	c.WriteRefusal(w, refusal)
}

// recordOutcome writes the outcome of a run to the claim log.
func (h *Claims) recordOutcome(c *call.Call, cmd claim.Command, rec *recorder) {
	outcome := c.Request.Outcome()
	switch {
	case c.Request.State() == request.Answered:
		h.log.Complete(cmd.Key, cmd.Attempt, rec.stored())
	case outcome != nil && outcome.Disposition == request.NotRun:
		h.log.Release(cmd.Key, cmd.Attempt)
	case outcome != nil && outcome.Disposition == request.Ran:
		h.log.Complete(cmd.Key, cmd.Attempt, &claim.StoredAnswer{Dropped: true})
	default:
		h.log.Abandon(cmd.Key, cmd.Attempt)
	}
}

// answerFromClaim writes the response to a call that was claimed before.
func answerFromClaim(w http.ResponseWriter, c *call.Call, res claim.Result) {
	switch res.Status {
	case claim.Stored:
		replay(w, c, res.Answer)
	case claim.InProgress:
		c.Refuse(w, request.Refuse(request.InProgress, "the call is under way through host %s", res.Entry))
	case claim.Unknown:
		c.Refuse(w, request.Refuse(request.OutcomeUnknown, "the call was sent through host %s and its outcome is not known", res.Entry))
	case claim.KeyReused:
		c.Refuse(w, request.Refuse(request.KeyReused, "the idempotency key belongs to another call"))
	case claim.Full:
		c.Refuse(w, request.Refuse(request.ClaimsFull, "the limit of remembered calls is reached"))
	case claim.NotFound:
		c.Refuse(w, request.Refuse(request.KeyNotFound, "no call is known under the idempotency key"))
	default:
		c.Refuse(w, request.Refuse(request.ClaimUnconfirmed, "the claim was answered with %q", res.Status))
	}
}

// replay writes a stored answer.
func replay(w http.ResponseWriter, c *call.Call, answer *claim.StoredAnswer) {
	if answer == nil || answer.Dropped {
		c.Refuse(w, request.Refuse(request.AnswerNotKept, "the call has run, its answer was too large to be kept"))
		return
	}
	c.Answered()
	for _, h := range answer.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set(HeaderReplayed, "1")
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
