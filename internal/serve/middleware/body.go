package middleware

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"filberthook/internal/serve/call"
	"filberthook/internal/serve/limit"
	"filberthook/internal/serve/request"
)

// BodySettings limit request bodies.
type BodySettings struct {
	MaxBytes int64 `toml:"max_bytes"` // of one body
	MaxHeld  int64 `toml:"max_held"`  // of all bodies in memory together
}

// DefaultBody returns limits large enough for complete charter files.
func DefaultBody() BodySettings {
	return BodySettings{MaxBytes: 8 << 20, MaxHeld: 512 << 20}
}

// Body reads the request's body within the limits of size and memory. Pace limits the
// time.
type Body struct {
	settings BodySettings
	memory   *limit.Memory
	next     http.Handler
}

// NewBody returns the handler.
func NewBody(settings BodySettings, memory *limit.Memory, next http.Handler) *Body {
	return &Body{settings: settings, memory: memory, next: next}
}

// ServeHTTP implements http.Handler.
func (h *Body) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := call.From(r)
	charged, refusal := h.charge(r)
	if refusal != nil {
		c.Refuse(w, refusal)
		return
	}
	defer h.memory.Return(charged)
	body, refusal := h.read(w, r)
	if refusal != nil {
		c.Refuse(w, refusal)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // see Pace
	c.Body = body
	h.next.ServeHTTP(w, r)
}

// charge reserves memory for the body: its declared length, or MaxBytes if it declares
// none.
func (h *Body) charge(r *http.Request) (int64, *request.Refusal) {
	need := r.ContentLength
	if need > h.settings.MaxBytes {
		return 0, request.Refuse(request.BodyTooLarge, "the body has %d bytes, allowed are %d", need, h.settings.MaxBytes)
	}
	if need < 0 {
		need = h.settings.MaxBytes
	}
	if !h.memory.Take(need) {
		return 0, request.Refuse(request.BodyMemoryFull, "%d bytes are held for requests", h.memory.Used())
	}
	return need, nil
}

func (h *Body) read(w http.ResponseWriter, r *http.Request) ([]byte, *request.Refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limited := http.MaxBytesReader(w, r.Body, h.settings.MaxBytes)
	if r.ContentLength < 0 {
		body, err := io.ReadAll(limited)
		return body, bodyRefusal(err)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(limited, body)
	return body, bodyRefusal(err)
}

func bodyRefusal(err error) *request.Refusal {
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large):
		return request.Refuse(request.BodyTooLarge, "more than %d bytes came", large.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return request.Refuse(request.BodyTooSlow, "the body did not come in time")
	default:
		return request.Refuse(request.InvalidRequest, "the body broke off").WithCause(err)
	}
}
