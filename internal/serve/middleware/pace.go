package middleware

import (
	"net/http"
	"time"

	"filberthook/internal/process/tomltime"
)

// maxWriteBytes is the most that is written under one deadline.
const maxWriteBytes = 64 << 10

// PaceSettings bound how slowly a caller may send and read.
type PaceSettings struct {
	ReadTimeout  tomltime.Duration `toml:"read_timeout"`  // for the whole body of a request
	WriteTimeout tomltime.Duration `toml:"write_timeout"` // for the caller to take one part of its answer
}

// DefaultPace returns the limits used when none are set.
func DefaultPace() PaceSettings {
	return PaceSettings{ReadTimeout: tomltime.Of(10 * time.Second), WriteTimeout: tomltime.Of(15 * time.Second)}
}

// Pace bounds the time that a caller may take to send its body and to read
// each part of its answer, so that slow callers do not hold memory and slots.
type Pace struct {
	settings PaceSettings
	next     http.Handler
}

// NewPace returns the handler.
func NewPace(settings PaceSettings, next http.Handler) *Pace {
	return &Pace{settings: settings, next: next}
}

// ServeHTTP implements http.Handler.
func (h *Pace) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	paced := &pacedWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: h.settings.WriteTimeout.Duration}
	if r.ContentLength != 0 {
		// The deadline also ends the server's own reading of a refused body.
		// Body clears it once it has the whole body. Without a body the server
		// reads ahead, and a deadline would look like a caller that left.
		_ = paced.control.SetReadDeadline(time.Now().Add(h.settings.ReadTimeout.Duration))
	}
	// Covers what the server flushes after the handler; it then clears the deadline.
	defer func() { _ = paced.control.SetWriteDeadline(time.Now().Add(h.settings.WriteTimeout.Duration)) }()
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
		chunk := p[written:min(written+maxWriteBytes, len(p))]
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
		n, err := w.ResponseWriter.Write(chunk)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
