package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes is the largest accepted event of a stream.
const maxEventBytes = 1 << 20

// event is one complete server-sent event, byte for byte.
type event struct {
	raw []byte // including the blank line that ends it; valid until the next event is read
	id  string // empty when the event has none
	// comment is set if there is no field, only comments, which say nothing about the progress
	// of the answer.
	comment bool
	// foreign is set if it is no event, such as a page or the head of another answer.
	foreign bool
}

// eventReader splits a stream into complete events. If an instance stops within an
// event, the partial event is never passed on.
type eventReader struct {
	lines   *bufio.Reader
	reserve func(bytes int64) error // memory for events larger than smallEventBytes
	buffer  []byte                  // of the current event
	begun   bool                    // a line was read
}

const (
	// smallEventBytes is the size of events that need no reservation.
	smallEventBytes = 4 << 10
	minEventBuffer  = 256
)

func newEventReader(r io.Reader, reserve func(bytes int64) error) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, 2<<10), reserve: reserve}
}

var errTruncatedEvent = errors.New("stream ended within an event or without any")

// EventSizeError reports an event larger than the limit.
type EventSizeError struct{ Limit int }

// Error implements error.
func (e *EventSizeError) Error() string {
	return fmt.Sprintf("stream event exceeds %d bytes", e.Limit)
}

// next returns the next complete event, or io.EOF after the last one.
func (r *eventReader) next() (event, error) {
	e := event{comment: true, raw: r.buffer[:0]}
	known := false // a field that events have
	for begin := 0; ; begin = len(e.raw) {
		if err := r.appendLine(&e); err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.raw)) > 0 {
				return event{}, errTruncatedEvent
			}
			return event{}, err
		}
		text := bytes.TrimRight(e.raw[begin:], "\r\n")
		if !r.begun {
			text, r.begun = bytes.TrimPrefix(text, byteOrderMark), true
		}
		if len(text) == 0 {
			e.foreign = e.foreign || !e.comment && !known
			return e, nil
		}
		if text[0] != ':' {
			e.comment = false
			kind := kindOfLine(text)
			known = known || kind == eventField
			e.foreign = e.foreign || kind == noField
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
	}
}

// appendLine appends the next line, as far as it comes, to an event.
func (r *eventReader) appendLine(e *event) error {
	for {
		part, err := r.lines.ReadSlice('\n')
		if len(e.raw)+len(part) > maxEventBytes {
			return &EventSizeError{maxEventBytes}
		}
		if err := r.grow(e, len(part)); err != nil {
			return err
		}
		e.raw = append(e.raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// grow makes room for n more bytes of an event.
func (r *eventReader) grow(e *event, n int) error {
	need, have := len(e.raw)+n, cap(e.raw)
	if need <= have {
		return nil
	}
	size := max(minEventBuffer, need, min(2*have, maxEventBytes))
	if size > smallEventBytes {
		if err := r.reserve(int64(size - have)); err != nil {
			return err
		}
	}
	r.buffer = append(make([]byte, 0, size), e.raw...)
	e.raw = r.buffer
	return nil
}

var byteOrderMark = []byte("\xef\xbb\xbf")

// lineKind is what a line of a stream is.
type lineKind uint8

const (
	noField    lineKind = iota
	eventField          // a field of server-sent events
	ownField            // a field of the platform's, which is lowercase as those are
)

// kindOfLine returns the kind of a line that is neither blank nor a comment.
func kindOfLine(line []byte) lineKind {
	name, _, colon := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "data", "event", "id", "retry":
		return eventField
	}
	own := colon && !bytes.ContainsFunc(name, func(c rune) bool {
		return c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9')
	})
	if own {
		return ownField
	}
	return noField
}
