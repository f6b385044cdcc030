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
	var e event
	for {
		line, err := r.lines.ReadBytes('\n')
		e.raw = append(e.raw, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.raw)) > 0 {
				return event{}, errTruncatedEvent
			}
			return event{}, err
		}
		if len(e.raw) > maxEventBytes {
			return event{}, &EventSizeError{maxEventBytes}
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
	}
}
