package middleware

import (
	"net/http"
	"time"

	"filberthook/internal/process/tomltime"
)

// maxWriteBytes is the maximum size of one write, which gets its own deadline.
const maxWriteBytes = 64 << 10

// PaceSettings limit how slowly a caller may send and read.
type PaceSettings struct {
	ReadTimeout  tomltime.Duration `toml:"read_timeout"`  // for receiving the whole body of a request
	WriteTimeout tomltime.Duration `toml:"write_timeout"` // for sending one chunk of the answer
}

// DefaultPace returns the limits used if the settings file sets none.
func DefaultPace() PaceSettings {
	return PaceSettings{ReadTimeout: tomltime.Of(10 * time.Second), WriteTimeout: tomltime.Of(15 * time.Second)}
}

// Pace limits the time in which a caller must send its body and read each chunk of the
// answer, so that slow callers do not hold memory and slots.
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
		// The deadline also covers the body of a refused request, which the
		// server itself reads to its end. Body clears the deadline once it has
		// the whole body. For a request without a body no deadline is set: the
		// server reads ahead, and an expired deadline would look like a
		// disconnected caller.
		_ = paced.control.SetReadDeadline(time.Now().Add(h.settings.ReadTimeout.Duration))
	}
	// Covers the data that the server flushes after the handler returns; the server then
	// clears the deadline.
	defer func() { _ = paced.control.SetWriteDeadline(time.Now().Add(h.settings.WriteTimeout.Duration)) }()
	h.next.ServeHTTP(paced, r)
}

// pacedWriter writes in chunks and sets a deadline before each.
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
