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
	raw []byte // including the blank line that ends it
	id  string // empty when the event has none
	// comment is set if there is no field, only comments, which say nothing about the progress
	// of the answer.
	comment bool
}

// eventReader splits a stream into complete events. If an instance stops within an
// event, the partial event is never passed on.
type eventReader struct {
	lines *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, 2<<10)}
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
	e := event{comment: true}
	for begin := 0; ; begin = len(e.raw) {
		if err := r.appendLine(&e); err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.raw)) > 0 {
				return event{}, errTruncatedEvent
			}
			return event{}, err
		}
		text := bytes.TrimRight(e.raw[begin:], "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if text[0] != ':' {
			e.comment = false
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
		e.raw = append(e.raw, part...)
		if len(e.raw) > maxEventBytes {
			return &EventSizeError{maxEventBytes}
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
