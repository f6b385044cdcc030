package forward

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"filberthook/internal/serve/upstream"
)

// badEventError reports an event that cannot be passed on to the caller.
type badEventError string

// Error implements error.
func (e badEventError) Error() string { return string(e) }

const (
	errForeignEvent badEventError = "bytes within the stream are no event"
	errNoPlace      badEventError = "the resumed stream begins with an event without an ID"
	errRepeated     badEventError = "an event that the caller has comes again"
	errMissing      badEventError = "the resumed stream leaves out an event"
)

// sequence is how far a caller has received the events of a stream, from any engine. Their IDs
// increase. If all that it has were consecutive, the one after them is known.
type sequence struct {
	before string // ID of the last event that the caller had before this request, empty for none
	lastID string // ID of the last event that was passed on, empty for none
	events int    // that were passed on, without comments
	steps  int    // events that were passed on right after the one whose ID is one less
	gaps   int    // other events that were passed on after one with an ID
}

// check returns an error if an event cannot follow those that were passed on. begins is set for
// the first event of an answer.
func (s *sequence) check(e event, begins bool) error {
	resumed := begins && s.events > 0
	last := s.lastID
	if last == "" {
		last = s.before
	}
	from, to, known := numbers(last, e.id)
	switch {
	case e.foreign:
		return errForeignEvent
	case resumed && e.id == "":
		return errNoPlace
	case known && to <= from, begins && last != "" && e.id == last:
		return errRepeated
	case resumed && known && to-1 > from && s.steps > 0 && s.gaps == 0:
		return errMissing
	}
	return nil
}

// pass records an event that is passed on.
func (s *sequence) pass(e event) {
	s.events++
	if e.id == "" {
		return
	}
	if s.lastID != "" {
		if from, to, known := numbers(s.lastID, e.id); known && to > from && to-1 == from {
			s.steps++
		} else {
			s.gaps++
		}
	}
	s.lastID = e.id
}

// resumable reports whether another engine can be told where to go on.
func (s *sequence) resumable() bool { return s.events == 0 || s.lastID != "" }

// numbers returns two IDs as numbers; known is false if one of them is none.
func numbers(a, b string) (x, y int64, known bool) {
	x, errX := strconv.ParseInt(a, 10, 64)
	y, errY := strconv.ParseInt(b, 10, 64)
	return x, y, errX == nil && errY == nil
}

var errOtherMediaType = errors.New("answer to a resumed stream has another content type than the stream")

// checkStream returns an error if an answer is not the endpoint's, or not the rest of the stream
// that has begun.
func (c *call) checkStream(answer *upstream.Answer, p *streamProgress) error {
	switch {
	case !c.server.dialect.DecodeAnswer(answer.StatusCode, answer.Header).Signed:
		return errUnsigned
	case p.started && mediaType(answer.Header) != p.mediaType:
		return errOtherMediaType
	}
	return nil
}

// mediaType returns the content type without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}
