package forward

import (
	"strings"
	"testing"
)

func TestOnlyEventsAreTakenForEvents(t *testing.T) {
	t.Parallel()
	for text, foreign := range map[string]bool{
		"id: 1\ndata: a\n\n":                             false,
		"id:1\r\ndata\r\n\r\n":                           false,
		"\ufeffid: 1\ndata: a\n\n":                       false,
		"weight-versions: 2\nid: 1\ndata: a\n\n":         false,
		": comment: Of Anything {}\nid: 1\ndata: a\n\n":  false,
		": comment\n\n":                                  false,
		"\n":                                             false,
		"event: end\n\n":                                 false,
		"retry: 100\n\n":                                 false,
		"weight-versions: 2\n\n":                         true,
		"full\n\n":                                       true,
		"id: 1\nfull\n\n":                                true,
		"id: 1\ndata: a\nContent-Length: 4\n\n":          true,
		"HTTP/1.1 503 Service Unavailable\r\n\r\n":       true,
		"{\"id\": 1}\n\n":                                true,
		"id: 1\n\ufeffdata: a\n\n":                       true,
		": comment\nupstream connect error: refused\n\n": true,
	} {
		e, err := newEventReader(strings.NewReader(text)).next()
		if err != nil || e.foreign != foreign || string(e.raw) != text {
			t.Errorf("%q: foreign %v, error %v, want %v", text, e.foreign, err, foreign)
		}
	}
}

// eventWith returns an event with an ID.
func eventWith(id string) event { return event{id: id} }

func TestResumedAnswerBeginsWithAnEventThatHasAnID(t *testing.T) {
	t.Parallel()
	var s sequence
	if err := s.check(eventWith(""), true); err != nil {
		t.Errorf("first event of a stream: %v", err)
	}
	s.pass(eventWith("1"))
	if err := s.check(eventWith(""), false); err != nil {
		t.Errorf("event without an ID within an answer: %v", err)
	}
	if err := s.check(eventWith(""), true); err != errNoPlace {
		t.Errorf("event without an ID at the begin of a resumed answer: %v", err)
	}
}
