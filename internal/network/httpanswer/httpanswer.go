// Package httpanswer decides whether an answer that was read over HTTP/1 may be taken for one.
package httpanswer

import "net/http"

// EndsWithConnection reports whether the body of an answer has neither a length nor chunks, so that
// only the end of its connection ends it.
func EndsWithConnection(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && r.Body != http.NoBody && len(r.TransferEncoding) == 0
}
