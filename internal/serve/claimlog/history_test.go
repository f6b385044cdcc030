package claimlog

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"filberthook/internal/serve/claim"
)

// operation is the input of one porcupine operation: a command of an attempt on a key.
type operation struct {
	kind    claim.Kind
	attempt string
}

// outcome is the output of an operation. The status is empty if the result is unknown:
// the operation may or may not have taken effect.
type outcome struct{ status claim.Status }

// keyState is the claim of one key: the attempt that holds it and whether its answer
// is stored.
type keyState struct {
	holder string
	stored bool
}

// claimModel is the sequential specification of one key.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		return stepKey(state.(keyState), input.(operation), output.(outcome))
	},
	Equal: func(a, b any) bool { return a == b },
}

func stepKey(s keyState, op operation, out outcome) []any {
	next, status := s, claim.NotHeld
	switch {
	case op.kind == claim.KindClaim && s.holder == "":
		next, status = keyState{holder: op.attempt}, claim.Granted
	case op.kind == claim.KindClaim && s.stored:
		status = claim.Stored
	case op.kind == claim.KindClaim && s.holder == op.attempt:
		status = claim.Granted
	case op.kind == claim.KindClaim:
		status = claim.InProgress
	case s.holder == op.attempt && op.kind == claim.KindComplete:
		next, status = keyState{holder: s.holder, stored: true}, claim.Done
	case s.holder == op.attempt && op.kind == claim.KindRelease && !s.stored:
		next, status = keyState{}, claim.Done
	}
	if out.status == "" {
		return []any{s, next}
	}
	if out.status == status {
		return []any{next}
	}
	return nil
}

// historyRecorder collects the operations and dispatches of each key.
type historyRecorder struct {
	mu         sync.Mutex
	start      time.Time
	clock      int64 // logical time, so that operations at the same moment are ordered
	histories  map[string][]porcupine.Operation
	dispatches map[string]int // dispatches per key; guarded by mu
}

func (r *historyRecorder) now() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	return r.clock
}

func (r *historyRecorder) add(key string, client int, op operation, call int64, out outcome, returned int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if out.status == "" {
		returned = 1 << 60 // it may take effect at any later time
	}
	r.histories[key] = append(r.histories[key], porcupine.Operation{
		ClientId: client, Input: op, Call: call, Output: out, Return: returned,
	})
}

// entry simulates an entry host; all of them use the same few keys.
type entry struct {
	id  int
	c   *Client
	rec *historyRecorder
	rng *rand.Rand
}

// serve makes one attempt on a key. A granted claim is either dispatched and completed,
// or released as after a connection that failed before any byte was sent.
func (e *entry) serve(t *testing.T, key string, n int) {
	cmd := command(fmt.Sprintf("%d-%d-%s", e.id, n, key), key)
	call := e.rec.now()
	res, err := e.c.Claim(t.Context(), cmd)
	if err != nil {
		e.rec.add(key, e.id, operation{claim.KindClaim, cmd.Attempt}, call, outcome{}, 0)
		e.rec.add(key, e.id, operation{claim.KindRelease, cmd.Attempt}, call, outcome{}, 0)
		return
	}
	e.rec.add(key, e.id, operation{claim.KindClaim, cmd.Attempt}, call, outcome{res.Status}, e.rec.now())
	if res.Status != claim.Granted {
		return
	}
	call = e.rec.now()
	if e.rng.IntN(3) == 0 {
		e.c.Release(cmd.Key, cmd.Attempt)
		e.rec.add(key, e.id, operation{claim.KindRelease, cmd.Attempt}, call, outcome{}, 0)
		return
	}
	e.rec.mu.Lock()
	e.rec.dispatches[key]++
	e.rec.mu.Unlock()
	e.c.Complete(cmd.Key, cmd.Attempt, &claim.StoredAnswer{Status: 200})
	e.rec.add(key, e.id, operation{claim.KindComplete, cmd.Attempt}, call, outcome{}, 0)
}

// TestHistoriesOfClaims runs three entry hosts that claim the same keys through a log
// that loses, delays and refuses proposals. Each key's history must be linearizable and
// each key dispatched at most once.
func TestHistoriesOfClaims(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	rec := &historyRecorder{start: time.Now(), histories: map[string][]porcupine.Operation{}, dispatches: map[string]int{}}
	log := newFakeLog(randomFault(seed))
	var hosts sync.WaitGroup
	for id := range 3 {
		e := &entry{id: id, c: newClient(t, log, DefaultSettings()), rec: rec, rng: rand.New(rand.NewPCG(seed, uint64(id)))}
		hosts.Go(func() {
			for n := range 16 {
				e.serve(t, fmt.Sprint("key", e.rng.IntN(4)), n)
			}
			e.c.Drain(t.Context())
			e.c.Close()
		})
	}
	hosts.Wait()
	time.Sleep(10 * time.Second) // late proposals
	for key, runs := range rec.dispatches {
		if runs > 1 {
			t.Errorf("%s was dispatched %d times, want at most once", key, runs)
		}
	}
	for key, history := range rec.histories {
		if res := porcupine.CheckOperationsTimeout(claimModel.ToModel(), history, 20*time.Second); res != porcupine.Ok {
			t.Errorf("history of %s: %v", key, res)
		}
	}
}
