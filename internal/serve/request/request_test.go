package request

import (
	"errors"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"pgregory.net/rapid"

	"filberthook/internal/process/invariant"
)

// brokenInvariant returns the name of the invariant that fn violates, or "".
func brokenInvariant(fn func()) (name string) {
	defer func() {
		if v, ok := recover().(*invariant.Violation); ok {
			name = v.Name
		}
	}()
	fn()
	return ""
}

func TestTransitions(t *testing.T) {
	received := func(repeatable bool) *Request {
		r := New("r")
		if repeatable {
			r.AllowRepeats()
		}
		return r
	}
	admitted := func(repeatable bool) *Request {
		r := received(repeatable)
		r.Claimed()
		r.Admit()
		return r
	}
	dispatched := func(repeatable bool) *Request {
		r := admitted(repeatable)
		r.Dispatch("a")
		return r
	}
	sent := func(repeatable bool) *Request {
		r := dispatched(repeatable)
		r.Sent("a")
		return r
	}
	tests := []struct {
		name   string
		req    *Request
		act    func(*Request)
		broken string
		state  State
	}{
		{"dispatch before admission", received(true), func(r *Request) { r.Dispatch("a") }, "request-move-legal", Received},
		{"non-repeatable without a claim", func() *Request {
			r := received(false)
			r.Admit()
			return r
		}(), func(r *Request) { r.Dispatch("a") }, "claim-before-dispatch", Admitted},
		{"repeats allowed too late", admitted(false), (*Request).AllowRepeats, "repeats-decided-first", Admitted},
		{"refuse received", received(true), func(r *Request) { r.Refuse(Refuse(QueueFull, "")) }, "", Refused},
		{"answer from store", received(false), (*Request).Answer, "", Answered},
		{"same attempt twice", dispatched(true), func(r *Request) { r.Dispatch("a") }, "attempt-id-unique", Dispatched},
		{"retry repeatable after bytes were sent", sent(true), func(r *Request) { r.Dispatch("b") }, "", Dispatched},
		{"retry non-repeatable after bytes were sent", sent(false), func(r *Request) { r.Dispatch("b") }, "at-most-once", Dispatched},
		{"retry non-repeatable before bytes were sent", dispatched(false), func(r *Request) { r.Dispatch("b") }, "", Dispatched},
		{"refuse as not run after bytes were sent", sent(true), func(r *Request) { r.Refuse(Refuse(ConnectFailed, "")) }, "true-not-run", Dispatched},
		{"refuse as not run, as the instance said", sent(false), func(r *Request) {
			r.ProvenNotRun("a")
			r.Refuse(Refuse(InstanceRefused, ""))
		}, "", Refused},
		{"refuse as unknown after bytes were sent", sent(false), func(r *Request) { r.Refuse(Refuse(OutcomeUnknown, "")) }, "", Unknown},
		{"stream twice then answer", sent(true), func(r *Request) { r.Stream(); r.Stream(); r.Answer() }, "", Answered},
		{"move out of a final state", sent(true), func(r *Request) { r.Answer(); r.Answer() }, "request-move-legal", Answered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := brokenInvariant(func() { tt.act(tt.req) }); got != tt.broken {
				t.Errorf("broke invariant %q, want %q", got, tt.broken)
			}
			if got := tt.req.State(); got != tt.state {
				t.Errorf("state %s, want %s", got, tt.state)
			}
		})
	}
}

func TestOnlyTheOpenAttemptIsAccepted(t *testing.T) {
	r := New("r")
	r.AllowRepeats()
	r.Admit()
	r.Dispatch("a")
	r.Dispatch("b")
	if r.Accepts("a") || r.Accepts("") || !r.Accepts("b") {
		t.Error("an answer of a closed attempt is accepted, or the open one is not")
	}
	r.DispatchHedge("c")
	if r.Accepts("a") || !r.Accepts("b") || !r.Accepts("c") {
		t.Error("an answer of one of two open attempts is not accepted, or a closed one is")
	}
	r.Answer()
	if r.Accepts("b") {
		t.Error("an answer is accepted after the request ended")
	}
	if r.DispatchHedge("d") || r.State() != Answered {
		t.Error("an attempt was opened after the request ended")
	}
}

// TestRandomTransitionsKeepInvariants calls random methods of a request until one breaks an
// invariant. Until then, a request that may have run must not be refused as not_run, nor
// dispatched again unless it is repeatable, and a final state must not change.
func TestRandomTransitionsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		r := New("r")
		if repeatable {
			r.AllowRepeats()
		}
		r.Claimed()
		var sent, proven = map[string]bool{}, map[string]bool{}
		mayHaveRun := func() bool {
			for id := range sent {
				if !proven[id] {
					return true
				}
			}
			return false
		}
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 6), 1, 12).Draw(t, "ops") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "attempt")
			ranBefore, before := mayHaveRun(), r.State()
			stopped := brokenInvariant(func() {
				switch op {
				case 0:
					r.Admit()
				case 1:
					r.Dispatch(id)
				case 2:
					if _, ok := r.attempts[id]; ok {
						sent[id] = true
					}
					r.Sent(id)
				case 3:
					if _, ok := r.attempts[id]; ok {
						proven[id] = true
					}
					r.ProvenNotRun(id)
				case 4:
					r.Stream()
				case 5:
					r.Answer()
				case 6:
					r.Refuse(Refuse(rapid.SampledFrom([]Code{QueueFull, OutcomeUnknown}).Draw(t, "code"), ""))
				}
			})
			if stopped != "" {
				return
			}
			if op == 1 && !repeatable && ranBefore {
				t.Fatal("dispatched again after a byte may have been sent")
			}
			if op == 6 && r.Outcome().Disposition == NotRun && ranBefore {
				t.Fatal("disposition not_run for a request that may have run")
			}
			if before.Final() && r.State() != before {
				t.Fatalf("moved from %s to %s", before, r.State())
			}
		}
	})
}

func TestEveryReasonIsComplete(t *testing.T) {
	set := metrics.NewSet()
	counters := NewCounters(set)
	seen := map[Code]bool{}
	for _, r := range Reasons() {
		if seen[r.Code] {
			t.Errorf("%s is listed twice", r.Code)
		}
		seen[r.Code] = true
		if r.Status < 400 || r.Remedy == "" || r.Disposition == "" {
			t.Errorf("%s lacks a status, remedy or disposition", r.Code)
		}
		if (r.Status == 429 || r.Status == 503) && r.RetryAfter == 0 {
			t.Errorf("%s has no RetryAfter", r.Code)
		}
		counters.Refused(r.Code, r.Disposition)
		name := `{reason="` + string(r.Code) + `"`
		var out strings.Builder
		set.WritePrometheus(&out)
		if !strings.Contains(out.String(), name) {
			t.Errorf("no counter for %s", r.Code)
		}
	}
}

func TestRefusalNamesRemedyAndCause(t *testing.T) {
	cause := errors.New("cause")
	r := Refuse(QueueFull, "class %s is full", "status").WithCause(cause)
	if !errors.Is(r, cause) || !strings.Contains(r.Error(), r.Remedy) {
		t.Errorf("refusal %q hides its remedy or cause", r)
	}
}
