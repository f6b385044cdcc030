package middleware

import (
	"bytes"
	"net/http"
	"slices"
	"strings"

	"filberthook/internal/serve/claim"
)

// recorder is an http.ResponseWriter that buffers the answer.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newRecorder() *recorder { return &recorder{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(p)
}

// copyTo writes the buffered answer to w.
func (r *recorder) copyTo(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.WriteHeader(max(r.status, http.StatusOK))
	_, _ = w.Write(r.body.Bytes())
}

// stored converts the buffered answer to the form that claims store.
func (r *recorder) stored() *claim.StoredAnswer {
	answer := &claim.StoredAnswer{Status: max(r.status, http.StatusOK), Body: r.body.Bytes()}
	for name, values := range r.header {
		for _, v := range values {
			answer.Headers = append(answer.Headers, claim.Header{Name: name, Value: v})
		}
	}
	slices.SortFunc(answer.Headers, func(a, b claim.Header) int {
		return strings.Compare(a.Name+"\n"+a.Value, b.Name+"\n"+b.Value)
	})
	return answer
}
