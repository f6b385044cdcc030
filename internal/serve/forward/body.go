package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"filberthook/internal/serve/routes"
)

// readBody reads the whole body within the limits. If that fails it answers the request
// and returns false, or aborts the connection if the body did not arrive.
func (c *call) readBody(limits routes.Limits) bool {
	if limits.HeaderBytes > 0 && headerBytes(c.r) > limits.HeaderBytes {
		c.fail(http.StatusRequestHeaderFieldsTooLarge, "header_too_large")
		return false
	}
	if c.r.Body == http.NoBody {
		return true
	}
	maxBytes := limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultBodyBytes
	}
	if c.r.ContentLength > maxBytes {
		limitDiscarding(c.w)
		c.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	body, err := readBodyWithin(c.w, c.r, maxBytes, c.deadline)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		c.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	case err != nil:
		c.outcome, c.reason = "cut", "body_not_read"
		c.abort()
	}
	c.body = body
	return true
}

// readBodyWithin reads a body of at most maxBytes, until the deadline.
func readBodyWithin(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) ([]byte, error) {
	controller := http.NewResponseController(w)
	// Ignore the error: some tests use connections that do not support deadlines.
	_ = controller.SetReadDeadline(deadline)
	body, err := readAll(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength)
	_ = controller.SetReadDeadline(time.Time{})
	return body, err
}

// readAll reads a body; a negative length is unknown.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}
