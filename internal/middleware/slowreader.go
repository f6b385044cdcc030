package middleware

import (
	"net/http"
	"time"
)

// maxWriteBytes is the most that is written under one deadline.
const maxWriteBytes = 64 << 10

// SlowReader bounds the time that a caller may take to read each part of its
// answer, so that slow readers do not hold memory and slots.
type SlowReader struct {
	timeout time.Duration
	next    http.Handler
}

// NewSlowReader returns the handler.
func NewSlowReader(timeout time.Duration, next http.Handler) *SlowReader {
	return &SlowReader{timeout: timeout, next: next}
}

// ServeHTTP implements http.Handler.
func (h *SlowReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	paced := &pacedWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: h.timeout}
	// Covers what the server flushes after the handler; it then clears the deadline.
	defer func() { _ = paced.control.SetWriteDeadline(time.Now().Add(h.timeout)) }()
	h.next.ServeHTTP(paced, r)
}

// pacedWriter sets a deadline before each write.
type pacedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

// Unwrap lets http.ResponseController reach the connection.
func (w *pacedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *pacedWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(written+maxWriteBytes, len(p))]
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
		n, err := w.ResponseWriter.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
