// Package httpanswer reads answers over HTTP/1. net/http accepts some that RFC 9112 does not allow and
// whose sender may have meant another head, or another body, than the one that was read.
package httpanswer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Reason is why an answer is malformed, in logs and metrics.
type Reason string

// Reasons of a MalformedError.
const (
	ReasonStatus    Reason = "status"     // below 100 or above 599, or a switch of protocols that nobody asked for
	ReasonFieldName Reason = "field_name" // with a byte that names do not have
	ReasonVersion   Reason = "version"    // other than HTTP/1
	ReasonFraming   Reason = "framing"    // a transfer coding in HTTP/1.0, which has none
	ReasonSyntax    Reason = "syntax"     // what net/http does not accept
	ReasonTooLarge  Reason = "too_large"  // a head or a body over its limit
)

// ReasonUnknownEnd is the Reason of an UnknownEndError.
const ReasonUnknownEnd Reason = "unknown_end"

// ReasonOf returns why an exchange has failed whose answer was broken, empty if it failed otherwise.
func ReasonOf(err error) Reason {
	var malformed *MalformedError
	var unknown *UnknownEndError
	var large *TooLargeError
	switch {
	case errors.As(err, &malformed):
		return malformed.Reason
	case errors.As(err, &unknown):
		return ReasonUnknownEnd
	case errors.As(err, &large):
		return ReasonTooLarge
	}
	return ""
}

// Count counts a broken answer by its reason, if err is that of one.
func Count(set *metrics.Set, err error) {
	if reason := ReasonOf(err); reason != "" {
		set.GetOrCreateCounter(`filberthook_broken_answers_total{reason="` + string(reason) + `"}`).Inc()
	}
}

// MalformedError reports a head that is none of an HTTP/1 answer. Nothing of the answer, and nothing
// that comes after it on its connection, may be used.
type MalformedError struct {
	Reason Reason
	Detail string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("the answer is malformed (%s): %s", e.Reason, e.Detail)
}

// maxStatus is the highest status that a class of RFC 9110 has.
const maxStatus = 599

// Check returns a *MalformedError unless the head of an answer to a request without Upgrade is one of
// RFC 9112, or came over HTTP/2. Answers may be informational.
func Check(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return &MalformedError{ReasonStatus, fmt.Sprintf("status %q", r.Status)}
	}
	if r.ProtoMajor != 1 && (r.TLS == nil || r.TLS.NegotiatedProtocol != "h2") {
		return &MalformedError{ReasonVersion, fmt.Sprintf("version %q", r.Proto)}
	}
	return checkNames(r.Header)
}

func checkNames(fields map[string][]string) error {
	for name := range fields {
		if !isToken(name) {
			return &MalformedError{ReasonFieldName, fmt.Sprintf("field name %q", name)}
		}
	}
	return nil
}

// isToken reports whether a text is a token of RFC 9110, section 5.6.2. net/textproto accepts blanks in
// names, also before the colon: a length or a transfer coding of such a name has no effect there, although
// it has one elsewhere.
func isToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		return !letter && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
	})
}

// UnknownEndError reports an answer that ended with its connection before its request was written, or
// while writing failed. A socket reports a reset once, to a read or to a write: if the write got it, the
// read sees an ordinary end, so that the answer may be a part only.
type UnknownEndError struct{ Err error }

// Error implements error.
func (e *UnknownEndError) Error() string {
	return fmt.Sprintf("the answer has no length and ended before its request was written: %v", e.Err)
}

// Unwrap returns why the request was not written.
func (e *UnknownEndError) Unwrap() error { return e.Err }

// TooLargeError reports an answer's body larger than the limit.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the answer has more than %d bytes", e.Limit)
}

// firstBodyBytes is the space for a body of unknown length, which grows with the body.
const firstBodyBytes = 4 << 10

// ReadBody reads a whole body of a length, negative if that is unknown, and at most limit bytes. It
// reserves memory before it reads into it; reserve may be nil. With an error, which may be that of reserve
// or a *TooLargeError, it returns what it has read.
func ReadBody(from io.Reader, length, limit int64, reserve func(bytes int64) error) ([]byte, error) {
	if length > limit {
		return nil, &TooLargeError{limit}
	}
	space := int64(firstBodyBytes)
	if length >= 0 {
		space = length + 1 // for a read that finds the end
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if reserve != nil {
				if err := reserve(space); err != nil {
					return body, err
				}
			}
			body = append(make([]byte, 0, int64(len(body))+space), body...)
			space = int64(cap(body))
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return body, &TooLargeError{limit}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// EndsWithConnection reports whether the body of an answer has neither a length nor chunks, so that
// only the end of its connection ends it.
func EndsWithConnection(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && r.Body != http.NoBody && len(r.TransferEncoding) == 0
}
