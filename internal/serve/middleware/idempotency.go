package middleware

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/request"
)

// headerLastEventID is the header with which a caller resumes a stream. It holds the
// number of output tokens that the caller has received.
const headerLastEventID = "Last-Event-ID"

// mintedPrefix is the prefix of idempotency keys minted by entry hosts.
const mintedPrefix = "fh-"

// Idempotency sets the idempotency key of each request, minting one if the caller sends
// none, and reads the position at which a stream is to be resumed.
type Idempotency struct {
	retention time.Duration // time for which claims are kept
	next      http.Handler
}

// NewIdempotency returns the handler.
func NewIdempotency(retention time.Duration, next http.Handler) *Idempotency {
	return &Idempotency{retention: retention, next: next}
}

// ServeHTTP implements http.Handler.
func (h *Idempotency) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := call.From(r)
	if refusal := h.setKey(c, r); refusal != nil {
		c.Refuse(w, refusal)
		return
	}
	w.Header().Set(engineapi.HeaderIdempotencyKey, c.Key)
	h.next.ServeHTTP(w, r)
}

func (h *Idempotency) setKey(c *call.Call, r *http.Request) *request.Refusal {
	key := r.Header.Get(engineapi.HeaderIdempotencyKey)
	switch {
	case key == "":
		c.Key, c.Minted = mintKey(time.Now()), true
	case !wellFormedID(key):
		return request.Refuse(request.InvalidRequest, "%s must be 1 to %d visible ASCII characters", engineapi.HeaderIdempotencyKey, maxIDBytes)
	case !c.Request.Repeatable() && expired(key, time.Now(), h.retention):
		return request.Refuse(request.KeyExpired, "the key was made more than %v ago", h.retention)
	default:
		c.Key = key
		c.Resend = !c.Request.Repeatable()
	}
	return setDelivered(c, r)
}

func setDelivered(c *call.Call, r *http.Request) *request.Refusal {
	value := r.Header.Get(headerLastEventID)
	if value == "" {
		return nil
	}
	if !c.Stream || c.Minted {
		return request.Refuse(request.InvalidRequest, "%s needs a stream and the idempotency key of its first request", headerLastEventID)
	}
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil || n > maxOutputTokens {
		return request.Refuse(request.InvalidRequest, "%s must be the number of the last event received", headerLastEventID)
	}
	c.Delivered = int(n)
	return nil
}

// mintKey returns a new key that contains the time of its creation.
func mintKey(now time.Time) string {
	return mintedPrefix + strconv.FormatInt(now.UnixMilli(), 36) + "-" + rand.Text()
}

// expired reports whether a minted key is older than the retention of claims. The age of
// keys made by callers is unknown, so they never expire here.
func expired(key string, now time.Time, retention time.Duration) bool {
	rest, ok := strings.CutPrefix(key, mintedPrefix)
	if !ok {
		return false
	}
	stamp, _, _ := strings.Cut(rest, "-")
	ms, err := strconv.ParseInt(stamp, 36, 64)
	return err == nil && now.Sub(time.UnixMilli(ms)) >= retention
}
