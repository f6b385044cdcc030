package claimlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/serve/claim"
	"filberthook/internal/serve/request"
)

// fault is how a fakeLog fails one proposal.
type fault int

const (
	faultNone      fault = iota
	faultRefused         // not applied; returns NotAppliedError
	faultReplyLost       // applied, but the result is lost
	faultTimeout         // not applied; returns only when the context ends
	faultLate            // applied long after the proposer timed out
)

// fakeLog applies batches to one replica and injects faults.
type fakeLog struct {
	decide func() fault // called under mu

	mu      sync.Mutex // guards the fields below
	replica claim.Replica
	calls   int
	sizes   []int
	start   time.Time
}

func newFakeLog(decide func() fault) *fakeLog {
	return &fakeLog{decide: decide, replica: claim.NewReplica(claim.DefaultLimits()), start: time.Now()}
}

var errLost = errors.New("reply lost")

func (l *fakeLog) Propose(ctx context.Context, batch json.RawMessage) (json.RawMessage, error) {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	f := l.decide()
	l.calls++
	l.mu.Unlock()
	switch f {
	case faultRefused:
		return nil, &NotAppliedError{Err: errors.New("no leader")}
	case faultReplyLost:
		l.apply(batch)
		return nil, errLost
	case faultTimeout:
		<-ctx.Done()
		return nil, ctx.Err()
	case faultLate:
		time.AfterFunc(5*time.Second, func() { l.apply(batch) })
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return l.apply(batch), nil
}

func (l *fakeLog) apply(batch json.RawMessage) json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b claim.Batch
	_ = json.Unmarshal(batch, &b)
	l.sizes = append(l.sizes, len(b.Commands))
	return l.replica.Apply(time.Since(l.start), batch)
}

// faultSequence returns a decide function that injects the faults in turn, then none.
func faultSequence(faults ...fault) func() fault {
	return func() fault {
		if len(faults) == 0 {
			return faultNone
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}

func newClient(t *testing.T, log Log, settings Settings) *Client {
	set := metrics.NewSet()
	c := New(log, settings, request.NewCounters(set), set)
	t.Cleanup(c.Close)
	return c
}

func command(attempt, key string) claim.Command {
	return claim.Command{
		Key:      claim.Key{Team: "t", Endpoint: "booking", Idempotency: key},
		Attempt:  attempt,
		BodyHash: "h",
		Hold:     time.Minute,
	}
}

func TestClaim(t *testing.T) {
	always := func(f fault) func() fault { return func() fault { return f } }
	tests := []struct {
		name   string
		decide func() fault
		status claim.Status // of the claim, empty for an error
		err    any          // target of errors.As
		second claim.Status // of a second attempt's claim after the faults have ended
	}{
		{"no faults", faultSequence(), claim.Granted, nil, claim.InProgress},
		{"refused once", faultSequence(faultRefused), claim.Granted, nil, claim.InProgress},
		{"reply lost, own claim found", faultSequence(faultReplyLost), claim.Granted, nil, claim.InProgress},
		{"timeout once", faultSequence(faultTimeout), claim.Granted, nil, claim.InProgress},
		{"always refused", always(faultRefused), "", new(*UnavailableError), claim.Granted},
		{"replies always lost", always(faultReplyLost), "", new(*UnconfirmedError), claim.Granted},
		{"always times out", always(faultTimeout), "", new(*UnconfirmedError), claim.Granted},
		{"applied late", always(faultLate), "", new(*UnconfirmedError), claim.Granted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newFakeLog(tt.decide)
				c := newClient(t, log, DefaultSettings())
				start := time.Now()
				res, err := c.Claim(t.Context(), command("a", "k"))
				if res.Status != tt.status {
					t.Errorf("status %q, want %q", res.Status, tt.status)
				}
				if tt.err != nil && !errors.As(err, tt.err) {
					t.Errorf("error %v, want a %T", err, tt.err)
				}
				if elapsed := time.Since(start); elapsed > DefaultSettings().ClaimTimeout.Duration {
					t.Errorf("answered after %v, longer than the claim timeout", elapsed)
				}
				log.clearFaults()
				time.Sleep(30 * time.Second)
				second, err := c.Claim(t.Context(), command("b", "k"))
				if err != nil || second.Status != tt.second {
					t.Errorf("second attempt got %q, %v, want %q", second.Status, err, tt.second)
				}
				c.Close()
			})
		})
	}
}

func (l *fakeLog) clearFaults() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decide = faultSequence()
}

func TestClaimsFailFastWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog(func() fault { return faultTimeout })
		c := newClient(t, log, DefaultSettings())
		_, _ = c.Claim(t.Context(), command("a", "1"))
		time.Sleep(DefaultSettings().ClaimTimeout.Duration)
		probe := make(chan struct{})
		go func() {
			defer close(probe)
			_, _ = c.Claim(t.Context(), command("b", "2"))
		}()
		synctest.Wait()
		start := time.Now()
		_, err := c.Claim(t.Context(), command("c", "3"))
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) || time.Since(start) != 0 {
			t.Errorf("claim failed after %v with %v, want an UnavailableError without delay", time.Since(start), err)
		}
		<-probe
		log.clearFaults()
		time.Sleep(time.Second)
		if res, err := c.Claim(t.Context(), command("d", "4")); err != nil || res.Status != claim.Granted {
			t.Errorf("%q, %v after the log came back", res.Status, err)
		}
		c.Close()
	})
}

func TestCompleteIsRetriedUntilItIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog(faultSequence(faultNone, faultRefused, faultTimeout, faultReplyLost))
		c := newClient(t, log, DefaultSettings())
		if res, _ := c.Claim(t.Context(), command("a", "k")); res.Status != claim.Granted {
			t.Fatalf("status %q", res.Status)
		}
		c.Complete(command("a", "k").Key, "a", &claim.StoredAnswer{Status: 200, Body: []byte("x")})
		if left := c.Drain(t.Context()); left != 0 {
			t.Fatalf("%d commands left", left)
		}
		res, err := c.Lookup(t.Context(), command("", "k").Key)
		if err != nil || res.Status != claim.Stored || string(res.Answer.Body) != "x" {
			t.Errorf("%+v, %v, want the stored answer", res, err)
		}
		c.Close()
	})
}

func TestQueuedCommandsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		settings.Proposers = 1
		log := newFakeLog(faultSequence())
		c := newClient(t, log, settings)
		var wg sync.WaitGroup
		for i := range 65 {
			wg.Go(func() { _, _ = c.Claim(t.Context(), command(fmt.Sprint(i), fmt.Sprint(i))) })
		}
		wg.Wait()
		if log.calls > 3 {
			t.Errorf("%d proposals for 65 concurrent commands, want at most 3 (sizes %v)", log.calls, log.sizes)
		}
		c.Close()
	})
}

func TestDrainReturnsUnsentCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog(func() fault { return faultRefused })
		c := newClient(t, log, DefaultSettings())
		c.Release(command("a", "k").Key, "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if left := c.Drain(ctx); left != 1 {
			t.Errorf("%d commands left, want 1", left)
		}
		c.Close()
	})
}

// randomFault draws faults from a fixed seed. Half of all proposals fail.
func randomFault(seed uint64) func() fault {
	rng := rand.New(rand.NewPCG(seed, seed))
	return func() fault {
		return []fault{faultNone, faultNone, faultNone, faultNone, faultRefused, faultReplyLost, faultTimeout, faultLate}[rng.IntN(8)]
	}
}
