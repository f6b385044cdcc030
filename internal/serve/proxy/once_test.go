package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/middleware"
	"filberthook/internal/serve/request"
)

// TestNonRepeatableCalls sends a booking, then the same booking again through
// another entry host, and counts its runs.
func TestNonRepeatableCalls(t *testing.T) {
	crossed := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.HeaderAttemptID, "another")
		confirm(w, r)
	}
	tests := []struct {
		name    string
		unreach bool             // the first instance refuses connections
		act     http.HandlerFunc // of the service
		first   request.Code     // empty for an answer
		second  request.Code
		runs    int // at the end
	}{
		{"answered", false, nil, "", "", 1},
		{"first instance not reached", true, nil, "", "", 1},
		{"connection lost after the run", false, drop, request.OutcomeUnknown, request.OutcomeUnknown, 1},
		{"answer of another attempt", false, crossed, request.OutcomeUnknown, request.OutcomeUnknown, 1},
		{"instance did not run it", false, refuseNotRun, request.InstanceRefused, request.InstanceRefused, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newService(t, tt.act)
			instances := []string{s.address()}
			if tt.unreach {
				instances = []string{closedAddress(), s.address()}
			}
			log := newMemoryLog()
			a, b := newEntry(t, log, instances), newEntry(t, log, instances)
			first := a.book("k", "chair 7")
			awaitOutcomes(t, a)
			second := b.book("k", "chair 7")
			awaitOutcomes(t, b)
			check(t, first, tt.first)
			check(t, second, tt.second)
			if tt.first == "" && (first.body != second.body || first.status != second.status ||
				first.header.Get("X-Confirmation") != second.header.Get("X-Confirmation")) {
				t.Errorf("replayed %+v, want %+v", second, first)
			}
			if got := s.ran("k"); got != tt.runs {
				t.Errorf("%d requests reached the service, want %d", got, tt.runs)
			}
		})
	}
}

func check(t *testing.T, r reply, code request.Code) {
	t.Helper()
	if code != "" {
		r.want(t, code)
		return
	}
	if r.status != http.StatusCreated {
		t.Errorf("status %d: %s", r.status, r.body)
	}
}

// awaitOutcomes waits until the log has the outcomes of all calls.
func awaitOutcomes(t *testing.T, e *entry) {
	t.Helper()
	if err := e.chain.Claims.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func TestKeyOfAnotherCallIsRefused(t *testing.T) {
	s := newService(t, nil)
	e := newEntry(t, newMemoryLog(), []string{s.address()})
	e.book("k", "chair 7")
	e.book("k", "chair 8").want(t, request.KeyReused)
	if got := s.ran("k"); got != 1 {
		t.Errorf("%d runs, want 1", got)
	}
}

func TestMintedKeyIsReturnedAndFindsTheAnswer(t *testing.T) {
	s := newService(t, nil)
	e := newEntry(t, newMemoryLog(), []string{s.address()})
	first := e.do(http.MethodPost, pathBook, "chair 7")
	awaitOutcomes(t, e)
	key := first.header.Get(engineapi.HeaderIdempotencyKey)
	again := e.do(http.MethodGet, middleware.PathRequests+booking+"/"+key, "")
	if again.body != first.body || again.header.Get(middleware.HeaderReplayed) == "" {
		t.Errorf("asked for %q, got %+v, want %q", key, again, first.body)
	}
	e.do(http.MethodGet, middleware.PathRequests+booking+"/none", "").want(t, request.KeyNotFound)
	if other := e.do(http.MethodGet, middleware.PathRequests+booking+"/"+key, "", "Authorization", "Bearer other"); other.code != request.KeyNotFound {
		t.Errorf("another team read the answer: %+v", other)
	}
}

func TestAnswerAfterTheDeadlineIsReturnedToResends(t *testing.T) {
	hold := make(chan struct{})
	s := newService(t, func(w http.ResponseWriter, r *http.Request) {
		<-hold
		confirm(w, r)
	})
	log := newMemoryLog()
	a := newEntry(t, log, []string{s.address()}, func(o *options) { o.middleware.Claims.MaxRunning = 1 })
	b := newEntry(t, log, []string{s.address()})
	a.book("k", "chair 7", engineapi.HeaderDeadline, "50").want(t, request.InProgress)
	a.book("k2", "chair 8").wantAs(t, request.QueueFull, request.MayHaveRun) // the first call still runs
	b.book("k", "chair 7").want(t, request.InProgress)
	close(hold)
	awaitOutcomes(t, a)
	check(t, b.book("k", "chair 7"), "")
	check(t, a.book("k2", "chair 8"), "")
	if got := s.ran("k"); got != 1 {
		t.Errorf("%d runs, want 1", got)
	}
}

func TestCallGoesOnWhenItsCallerLeaves(t *testing.T) {
	arrived, hold := make(chan struct{}), make(chan struct{})
	s := newService(t, func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-hold
		confirm(w, r)
	})
	e := newEntry(t, newMemoryLog(), []string{s.address()})
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error)
	go func() {
		_, err := e.send(ctx, http.MethodPost, pathBook, "chair 7", engineapi.HeaderIdempotencyKey, "k")
		left <- err
	}()
	<-arrived
	leave()
	if err := <-left; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	close(hold)
	awaitOutcomes(t, e)
	check(t, e.book("k", "chair 7"), "")
	if got := s.ran("k"); got != 1 {
		t.Errorf("%d runs, want 1", got)
	}
}

// TestHostWithoutMajority checks what a host still serves if it cannot reach a majority
// of the control hosts.
func TestHostWithoutMajority(t *testing.T) {
	s := newService(t, nil)
	log := newMemoryLog()
	e := newEntry(t, log, []string{s.address()}, func(o *options) { o.claims.ClaimTimeout = tomltime.Of(100 * time.Millisecond) })
	log.setDown(true)
	e.book("k", "chair 7").wantAs(t, request.ClaimUnavailable, request.MayHaveRun)
	e.do(http.MethodPost, pathBook, "chair 7").want(t, request.ClaimUnavailable) // without a key it must be the first send
	if got := s.ran("k"); got != 0 {
		t.Errorf("a call that was refused as not run ran %d times", got)
	}
	if status := e.do(http.MethodGet, pathBook, ""); status.status != http.StatusCreated {
		t.Errorf("a status read was not served: %+v", status)
	}
	log.setDown(false)
	check(t, newEntry(t, log, []string{s.address()}).book("k", "chair 7"), "")
}

// TestResendOfCompletedCallIsNotReportedAsNotRun resends a booking that has run,
// with faults that cause a refusal before its claim is read. No refusal may say that the
// booking did not run.
func TestResendOfCompletedCallIsNotReportedAsNotRun(t *testing.T) {
	s := newService(t, nil)
	log := newMemoryLog()
	first := newEntry(t, log, []string{s.address()})
	check(t, first.book("k", "chair 7"), "")
	awaitOutcomes(t, first)
	tests := []struct {
		name   string
		change func(*options)
		down   bool
		header []string
		want   request.Code
	}{
		{"log is down", func(o *options) { o.claims.ClaimTimeout = tomltime.Of(50 * time.Millisecond) }, true, nil, request.ClaimUnavailable},
		{"no slot", func(o *options) { o.middleware.Gate.Slots, o.middleware.Gate.Queue = 0, [4]int{} }, false, nil, request.QueueFull},
		{"team at its limit", func(o *options) { o.middleware.Team.Concurrency = 0 }, false, nil, request.TeamConcurrency},
		{"no memory", func(o *options) { o.middleware.Body.MaxHeld = 1 }, false, nil, request.BodyMemoryFull},
		{"no time", func(*options) {}, false, []string{engineapi.HeaderDeadline, "0"}, request.DeadlineUnreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(t, log, []string{s.address()}, tt.change)
			log.setDown(tt.down)
			defer log.setDown(false)
			e.book("k", "chair 7", tt.header...).wantAs(t, tt.want, request.MayHaveRun)
		})
	}
}

// TestConcurrentResendsRunOnce sends the same bookings through three hosts concurrently.
func TestConcurrentResendsRunOnce(t *testing.T) {
	const keys, hosts, sends = 20, 3, 3
	s := newService(t, nil)
	log := newMemoryLog()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]map[string]bool{}
	for range hosts {
		e := newEntry(t, log, []string{s.address()})
		for k := range keys * sends {
			key := fmt.Sprint("k", k%keys)
			wg.Go(func() {
				r := e.book(key, "chair "+key)
				if r.code != "" && r.code != request.InProgress {
					t.Errorf("refused: %+v", r)
				}
				if r.code != "" {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if answers[key] == nil {
					answers[key] = map[string]bool{}
				}
				answers[key][r.body] = true
			})
		}
	}
	wg.Wait()
	for k := range keys {
		key := fmt.Sprint("k", k)
		if got := s.ran(key); got != 1 || len(answers[key]) != 1 {
			t.Errorf("%s ran %d times and gave %d different answers", key, got, len(answers[key]))
		}
	}
}

func TestStopWaitsForCallsUnderWay(t *testing.T) {
	arrived, hold := make(chan struct{}), make(chan struct{})
	s := newService(t, func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-hold
		confirm(w, r)
	})
	e := newEntry(t, newMemoryLog(), []string{s.address()})
	answer := make(chan reply)
	go func() { answer <- e.book("k", "chair 7") }()
	<-arrived
	e.chain.Stop.Begin()
	e.book("k2", "chair 8").wantAs(t, request.Stopping, request.MayHaveRun)
	e.do(http.MethodPost, pathBook, "chair 8").want(t, request.Stopping)
	ended, end := context.WithCancel(t.Context())
	end()
	if left := e.chain.Stop.Wait(ended); left != 1 {
		t.Errorf("%d requests under way, want 1", left)
	}
	if err := e.chain.Claims.Drain(ended); err == nil {
		t.Error("a call under way was not reported")
	}
	close(hold)
	check(t, <-answer, "")
	if left := e.chain.Stop.Wait(t.Context()); left != 0 {
		t.Errorf("%d requests left", left)
	}
	awaitOutcomes(t, e)
}

// TestSlowReadIsHedged blocks a status read at one instance; another one answers it.
func TestSlowReadIsHedged(t *testing.T) {
	hold := make(chan struct{})
	slow := newService(t, func(w http.ResponseWriter, r *http.Request) {
		<-hold
		confirm(w, r)
	})
	defer close(hold)
	quick := newService(t, nil)
	e := newEntry(t, newMemoryLog(), []string{slow.address(), quick.address()}, func(o *options) {
		o.proxy.Retry.HedgeAfter = tomltime.Of(10 * time.Millisecond)
	})
	check(t, e.do(http.MethodGet, pathBook, ""), "")
	if got := e.metric(`filberthook_retries_total{reason="hedged"}`); got != 1 {
		t.Errorf("%d hedged attempts, want 1", got)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if resp, err := e.send(ctx, http.MethodPost, pathBook, "chair 7"); err == nil {
		t.Errorf("a booking was answered by another instance: %v", resp.Status)
	}
	if got := len(quick.seen); got != 1 {
		t.Errorf("%d requests reached the other instance, want the read only", got)
	}
}

// TestHedgesRace makes answers and second attempts coincide. A dispatch after the answer would
// violate an invariant and end the process.
func TestHedgesRace(t *testing.T) {
	const reads = 400
	near := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
		confirm(w, r)
	}
	instances := []string{newService(t, near).address(), newService(t, near).address()}
	e := newEntry(t, newMemoryLog(), instances, func(o *options) {
		o.proxy.Retry.HedgeAfter = tomltime.Of(time.Millisecond)
		o.proxy.Retry.Budget.Burst = reads
	})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range reads / 8 {
				check(t, e.do(http.MethodGet, pathBook, ""), "")
			}
		})
	}
	wg.Wait()
	if e.metric(`filberthook_retries_total{reason="hedged"}`) == 0 {
		t.Error("no attempt was hedged")
	}
}
