package connguard

import (
	"errors"
	"io"
	"net/http"
	"time"

	"filberthook/internal/serve/membudget"
)

const (
	// firstBodyBytes is reserved before the first read of a body. Each further reservation doubles
	// what is reserved, up to maxBodyStep.
	firstBodyBytes = 4 << 10
	// maxBodyStep bounds what is reserved for a body that ends where its reservation does.
	maxBodyStep = 1 << 20
	// discardTime is how long the server may read what is left of a body that next has not read, so
	// that its client can read the answer. Without it the server waits for the rest of the body.
	discardTime = time.Second
)

// GrownCapacity returns the capacity of a buffer for a body of which n bytes have filled it. It is
// what Bodies has reserved once a further byte is read. A negative length is unknown.
func GrownCapacity(n, length int64) int64 {
	grown := n + min(max(firstBodyBytes, n), maxBodyStep)
	if length > n {
		return min(grown, length)
	}
	return grown
}

// Bodies returns a handler that reserves memory before next reads a body, factor times its bytes,
// until next returns. Reads fail with the errors of package membudget.
func Bodies(b *membudget.Budget, factor int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		controller := http.NewResponseController(w)
		hold := b.OpenRequest(time.Now(), func() {
			// Ignore the error: the connection has ended.
			_ = controller.SetReadDeadline(longAgo)
		})
		defer hold.Release()
		r = r.WithContext(r.Context()) // a copy, as the server uses the request
		b := &body{ReadCloser: r.Body, hold: hold, factor: factor, length: r.ContentLength}
		r.Body = b
		defer func() {
			if !b.ended {
				// Ignore the error: the connection has ended.
				_ = controller.SetReadDeadline(time.Now().Add(discardTime))
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// NotRead reports whether reading a body ended for want of memory. The request may be refused with
// 503, as it has not run.
func NotRead(err error) bool {
	var full *membudget.ExhaustedError
	var evicted *membudget.EvictedError
	return errors.As(err, &full) || errors.As(err, &evicted)
}

// body reserves memory as it is read.
type body struct {
	io.ReadCloser
	hold     *membudget.Hold
	factor   int64
	length   int64 // as announced, below 0 if unknown
	reserved int64
	read     int64
	ended    bool // all of it was read
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.read == b.reserved {
		if err := b.reserve(); err != nil {
			return 0, err
		}
	}
	if b.hold.Evicted() {
		return 0, &membudget.EvictedError{}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.reserved-b.read)])
	b.read += int64(n)
	b.hold.Progress(int64(n), time.Now())
	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
		b.hold.Complete()
	case err != nil && b.hold.Evicted():
		err = &membudget.EvictedError{}
	}
	return n, err
}

// reserve makes room for the next part of the body.
func (b *body) reserve() error {
	step := GrownCapacity(b.reserved, b.length) - b.reserved
	if err := b.hold.Reserve(step * b.factor); err != nil {
		return err
	}
	b.reserved += step
	return nil
}
