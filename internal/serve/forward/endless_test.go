package forward

import (
	"errors"
	"io"
	"strings"
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

func unlimited(int64) error { return nil }

func TestEndlessEventDoesNotFillMemory(t *testing.T) {
	for name, text := range map[string]string{"one line": "a", "many lines": "data: a\n", "carriage returns": "\r"} {
		endless := &endlessReader{text: text}
		_, err := newEventReader(endless, unlimited).next()
		var size *EventSizeError
		if !errors.As(err, &size) || endless.total > 2*maxEventBytes {
			t.Errorf("%s: ended with %v after %d bytes, want at most %d", name, err, endless.total, 2*maxEventBytes)
		}
	}
}

func TestLargeEventsReserveTheirMemory(t *testing.T) {
	const limit = 100 << 10
	reserved, errFull := int64(0), errors.New("no memory")
	reserve := func(n int64) error {
		if reserved+n > limit {
			return errFull
		}
		reserved += n
		return nil
	}
	small := "data: " + strings.Repeat("a", smallEventBytes-20) + "\n\n"
	r := newEventReader(io.MultiReader(strings.NewReader(strings.Repeat(small, 100)), &endlessReader{text: "data: a\n"}), reserve)
	for range 100 {
		if e, err := r.next(); err != nil || string(e.raw) != small || reserved != 0 {
			t.Fatalf("an event of %d bytes, %v, %d reserved, want %d bytes and none reserved", len(e.raw), err, reserved, len(small))
		}
	}
	if _, err := r.next(); !errors.Is(err, errFull) || reserved < limit/4 {
		t.Errorf("an event without an end ended with %v after %d bytes were reserved", err, reserved)
	}
}
