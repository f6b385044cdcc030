package forward

import (
	"errors"
	"testing"
)

// endlessReader repeats a text and counts what was read.
type endlessReader struct {
	text  string
	total int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], r.text)
	}
	r.total += n
	if r.total > 64<<20 {
		return 0, errors.New("64 MiB were read")
	}
	return n, nil
}

func TestEndlessEventDoesNotFillMemory(t *testing.T) {
	for name, text := range map[string]string{"one line": "a", "many lines": "data: a\n", "carriage returns": "\r"} {
		endless := &endlessReader{text: text}
		_, err := newEventReader(endless).next()
		var size *EventSizeError
		if !errors.As(err, &size) || endless.total > 2*maxEventBytes {
			t.Errorf("%s: ended with %v after %d bytes, want at most %d", name, err, endless.total, 2*maxEventBytes)
		}
	}
}
