package proxy_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/claimlog"
	"filberthook/internal/serve/request"
)

// faultyLog refuses some proposals, and loses the results of some that it applied.
type faultyLog struct {
	*memoryLog
	mu  sync.Mutex
	rng *rand.Rand // guarded by mu
}

func (l *faultyLog) draw(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}

func (l *faultyLog) Propose(ctx context.Context, batch json.RawMessage) (json.RawMessage, error) {
	fault := l.draw(5)
	if fault == 0 {
		return nil, &claimlog.NotAppliedError{Err: errors.New("no leader")}
	}
	res, err := l.memoryLog.Propose(ctx, batch)
	if fault == 1 {
		return nil, errors.New("result lost")
	}
	return res, err
}

// booked is the answer to one send of a booking.
type booked struct {
	code request.Code // empty for an answer
	body string       // of an answer
}

// bookingState is the model's state of one booking.
type bookingState struct {
	answer  string // empty before the run
	unknown bool   // sent, and its outcome is permanently unknown
}

// bookingModel is the sequential specification of one key: all sends get the same answer,
// and none gets an answer after the outcome became unknown.
var bookingModel = porcupine.Model{
	Init: func() any { return bookingState{} },
	Step: func(state, _, output any) (bool, any) {
		s, out := state.(bookingState), output.(booked)
		reason, _ := request.Lookup(out.code)
		switch {
		case out.code == "" && s.unknown:
			return false, s
		case out.code == "":
			return s.answer == "" || s.answer == out.body, bookingState{answer: out.body}
		case out.code == request.OutcomeUnknown:
			return s.answer == "", bookingState{unknown: true}
		default:
			return reason.Disposition == request.NotRun || out.code == request.InProgress, s
		}
	},
}

// unreliable returns a handler that confirms most bookings, refuses some as not run and
// loses the answers of some.
func unreliable(seed uint64, refused *sync.Map) http.HandlerFunc {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		act := rng.IntN(6)
		mu.Unlock()
		switch act {
		case 0:
			refused.Store(r.Header.Get(engineapi.HeaderAttemptID), true)
			refuseNotRun(w, r)
		case 1:
			_, _ = io.ReadAll(r.Body)
			drop(w, r)
		default:
			confirm(w, r)
		}
	}
}

// TestCallHistoriesAreLinearizable sends bookings through three hosts while the log and
// the service fail. The history of each key must be linearizable.
func TestCallHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runCalls(t, seed)
		})
	}
}

func runCalls(t *testing.T, seed uint64) {
	const hosts, sends, keys = 3, 12, 3
	var refused sync.Map
	s := newService(t, unreliable(seed, &refused))
	log := &faultyLog{memoryLog: newMemoryLog(), rng: rand.New(rand.NewPCG(seed, 2))}
	var mu sync.Mutex
	histories := map[string][]porcupine.Operation{}
	start := time.Now()
	var wg sync.WaitGroup
	for host := range hosts {
		e := newEntry(t, log, []string{s.address()}, func(o *options) {
			o.claims.Backoff.Max = tomltime.Of(5 * time.Millisecond)
		})
		wg.Go(func() {
			for i := range sends {
				key := fmt.Sprint("k", i%keys)
				called := time.Since(start)
				r := e.book(key, "chair "+key)
				op := porcupine.Operation{ClientId: host, Call: int64(called), Output: booked{r.code, r.body}, Return: int64(time.Since(start))}
				if r.code != "" {
					op.Output = booked{code: r.code}
				}
				mu.Lock()
				histories[key] = append(histories[key], op)
				mu.Unlock()
			}
			awaitOutcomes(t, e)
		})
	}
	wg.Wait()
	for key, history := range histories {
		if !porcupine.CheckOperations(bookingModel, history) {
			t.Errorf("history of %s is not linearizable: %+v", key, history)
		}
	}
	checkRuns(t, s, histories, &refused)
}

// checkRuns compares the dispositions that callers got with the service's runs.
func checkRuns(t *testing.T, s *service, histories map[string][]porcupine.Operation, refused *sync.Map) {
	t.Helper()
	for key, history := range histories {
		ran := s.runsExceptRefused(key, refused)
		reported := request.NotRun
		for _, op := range history {
			code := op.Output.(booked).code
			if code == "" || code == request.OutcomeUnknown {
				reported = request.Ran
			}
		}
		if ran > 1 || ran == 1 && reported == request.NotRun {
			t.Errorf("%s ran %d times, its callers got disposition %s", key, ran, reported)
		}
	}
}
