package forward

// badEventError reports an event that cannot be passed on to the caller.
type badEventError string

// Error implements error.
func (e badEventError) Error() string { return string(e) }

const (
	errForeignEvent badEventError = "bytes within the stream are no event"
	errNoPlace      badEventError = "the resumed stream begins with an event without an ID"
)

// sequence is how far a caller has received the events of a stream, from any engine.
type sequence struct {
	lastID string // ID of the last event that was passed on, empty for none
	events int    // that were passed on, without comments
}

// check returns an error if an event cannot follow those that were passed on. begins is set for
// the first event of an answer.
func (s *sequence) check(e event, begins bool) error {
	switch {
	case e.foreign:
		return errForeignEvent
	case begins && s.events > 0 && e.id == "":
		return errNoPlace
	}
	return nil
}

// pass records an event that is passed on.
func (s *sequence) pass(e event) {
	s.events++
	if e.id != "" {
		s.lastID = e.id
	}
}
