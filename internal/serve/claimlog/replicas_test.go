package claimlog

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
)

var (
	errNoEffect = errors.New("no effect")
	errUnknown  = errors.New("unknown")
)

// fakeCaller fails with err, or returns "ok" if err is nil.
type fakeCaller struct {
	err   error
	calls int
}

func (c *fakeCaller) Call(_ context.Context, _ string, _, result any) error {
	c.calls++
	if c.err == nil {
		*result.(*json.RawMessage) = json.RawMessage(`"ok"`)
	}
	return c.err
}

func TestReplicasTryTheNextOnlyIfNothingWasApplied(t *testing.T) {
	tests := []struct {
		name       string
		errs       []error
		calls      []int
		ok         bool
		notApplied bool
	}{
		{"first answers", []error{nil, nil}, []int{1, 0}, true, false},
		{"first had no effect", []error{errNoEffect, nil}, []int{1, 1}, true, false},
		{"first may have had an effect", []error{errUnknown, nil}, []int{1, 0}, false, false},
		{"none had an effect", []error{errNoEffect, errNoEffect}, []int{1, 1}, false, true},
		{"no replica", nil, nil, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var callers []Caller
			for _, err := range tt.errs {
				callers = append(callers, &fakeCaller{err: err})
			}
			r := NewReplicas(callers, "m", func(err error) bool { return errors.Is(err, errNoEffect) })
			_, err := r.Propose(t.Context(), nil)
			if (err == nil) != tt.ok || notApplied(err) != tt.notApplied {
				t.Errorf("got %v, want success %v, not applied %v", err, tt.ok, tt.notApplied)
			}
			for i, want := range tt.calls {
				if got := callers[i].(*fakeCaller).calls; got != want {
					t.Errorf("replica %d was called %d times, want %d", i, got, want)
				}
			}
		})
	}
}
