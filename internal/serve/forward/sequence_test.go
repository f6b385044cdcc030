package forward

import (
	"strconv"
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
		e, err := newEventReader(strings.NewReader(text), unlimited).next()
		if err != nil || e.foreign != foreign || string(e.raw) != text {
			t.Errorf("%q: foreign %v, error %v, want %v", text, e.foreign, err, foreign)
		}
	}
}

// eventWith returns an event with an ID.
func eventWith(id string) event { return event{id: id} }

func TestEventsFollowThoseThatTheCallerHas(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		before, passed, next string
		begins               bool // the next event is the first of another answer
		want                 error
	}{
		{"", "", "1", true, nil},
		{"", "", "7", true, nil},
		{"", "", "", true, nil},
		{"12", "", "13", true, nil},
		{"12", "", "15", true, nil},
		{"12", "", "12", true, errRepeated},
		{"12", "", "1", true, errRepeated},
		{"x", "", "x", true, errRepeated},
		{"x", "", "y", true, nil},
		{"", "1 2", "3", true, nil},
		{"", "1 2", "", false, nil},
		{"", "1 2", "", true, errNoPlace},
		{"", "1 2", "2", true, errRepeated},
		{"", "1 2", "2", false, errRepeated},
		{"", "1 2", "1", false, errRepeated},
		{"", "1 2", "4", true, errMissing},
		{"", "1 2", "4", false, nil}, // what an engine leaves out of its own stream is its answer
		{"", "1", "4", true, nil},    // it is not known whether IDs are consecutive
		{"", "1 3 4", "6", true, nil},
		{"", "1 2 4", "6", true, nil},
		{"9223372036854775807", "", "-9223372036854775808", true, errRepeated},
		{"", "1 2", "9223372036854775807", true, errMissing},
		{"", "a b", "c", true, nil},
		{"", "a b", "b", true, errRepeated},
	} {
		s := sequence{before: tt.before}
		for id := range strings.FieldsSeq(tt.passed) {
			s.pass(eventWith(id))
		}
		if err := s.check(eventWith(tt.next), tt.begins); err != tt.want {
			t.Errorf("%+v: %v", tt, err)
		}
	}
}

func TestStreamWithoutIDsCannotBeResumed(t *testing.T) {
	t.Parallel()
	s := sequence{before: "12"}
	if !s.resumable() {
		t.Error("a stream that has not begun cannot be resumed")
	}
	s.pass(eventWith(""))
	if s.resumable() {
		t.Error("a stream whose place is unknown can be resumed")
	}
	s.pass(eventWith("13"))
	if !s.resumable() {
		t.Error("a stream with IDs cannot be resumed")
	}
}

func FuzzResumedStream(f *testing.F) {
	f.Add("id: 3\ndata: c\n\nid: 4\ndata: d\n\n")
	f.Add("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull\n\n")
	f.Add(": a\n\ndata: x\n\nid: 3\n\n")
	f.Add("id: 2\n\nid: 9223372036854775807\n\nid: -9223372036854775808\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		s := sequence{lastID: "2", events: 2, steps: 1}
		r := newEventReader(strings.NewReader(text), unlimited)
		for begins := true; ; {
			e, err := r.next()
			if err != nil {
				return
			}
			if e.comment {
				continue
			}
			if s.check(e, begins) != nil {
				return
			}
			if begins && e.id != "3" && isNumber(e.id) {
				t.Errorf("event %q follows event 2", e.raw)
			}
			before, _ := strconv.ParseInt(s.lastID, 10, 64)
			if now, err := strconv.ParseInt(e.id, 10, 64); err == nil && isNumber(s.lastID) && now <= before {
				t.Errorf("event %q follows event %d", e.raw, before)
			}
			begins = false
			s.pass(e)
		}
	})
}

func isNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}
