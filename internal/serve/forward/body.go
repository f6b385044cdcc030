package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"filberthook/internal/serve/connguard"
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
	case connguard.NotRead(err):
		c.w.Header().Set("Connection", "close") // the rest of the body is not read
		c.detail = err.Error()
		c.refuse("no_memory", c.retryAfter())
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

// readAll reads a body; a negative length is unknown. The buffer grows with what has arrived, so that
// a caller which announces a large body and does not send it uses no memory.
func readAll(r io.Reader, length int64) ([]byte, error) {
	var body []byte
	for int64(len(body)) != length {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, connguard.GrownCapacity(int64(len(body)), length)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) == length:
			return body, nil
		case errors.Is(err, io.EOF) && length < 0:
			return body, nil
		case errors.Is(err, io.EOF):
			return body, io.ErrUnexpectedEOF
		case err != nil:
			return body, err
		}
	}
	return body, nil
}
