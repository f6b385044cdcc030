package middleware

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"filberthook/internal/process/invariant"
)

func TestBrokenInvariantStopsTheProcess(t *testing.T) {
	original := stopProcess
	defer func() { stopProcess = original }()
	var stopped *invariant.Violation
	stopProcess = func(v *invariant.Violation) { stopped = v }
	serve := func(act func()) (recovered any) {
		defer func() { recovered = recover() }()
		h := NewViolation(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { act() }))
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		return nil
	}
	if got := serve(func() { panic(http.ErrAbortHandler) }); got != http.ErrAbortHandler || stopped != nil {
		t.Errorf("an unrelated panic gave %v and stopped the process with %v", got, stopped)
	}
	serve(func() { invariant.Check(false, "at-most-once", "in a test") })
	if stopped == nil || stopped.Name != "at-most-once" {
		t.Errorf("stopped with %v, want the violation", stopped)
	}
}
