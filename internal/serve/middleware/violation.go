package middleware

import (
	"net/http"

	"filberthook/internal/process/invariant"
)

// Violation ends the process if a handler violates an invariant. Otherwise the HTTP
// server would recover from the panic and continue serving.
type Violation struct{ next http.Handler }

// NewViolation returns the handler.
func NewViolation(next http.Handler) *Violation { return &Violation{next: next} }

// ServeHTTP implements http.Handler.
func (h *Violation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case *invariant.Violation:
			stopProcess(v)
		default:
			panic(v)
		}
	}()
	h.next.ServeHTTP(w, r)
}

// stopProcess panics in a new goroutine, where nothing recovers. Tests replace it.
var stopProcess = func(v *invariant.Violation) {
	go panic(v)
	select {}
}
