package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"filberthook/internal/engines/engineapi"
)

const (
	// streamEnd is the data of the last event of a complete stream.
	streamEnd = "[DONE]"
	// errorType is the type of an event that is no part of an answer.
	errorType = "error"
)

// eventWriter writes server-sent events to a caller. The id of an event with an output
// token is the number of tokens up to and including it.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	began   bool // the answer's header is written
	buf     []byte
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w)}
}

// begin writes the answer's header, once.
func (e *eventWriter) begin() {
	if e.began {
		return
	}
	e.began = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-cache")
	e.w.WriteHeader(http.StatusOK)
}

// token writes an event with output token number n, from 1.
func (e *eventWriter) token(n int, data string) error {
	e.buf = append(e.buf[:0], "id: "...)
	e.buf = strconv.AppendInt(e.buf, int64(n), 10)
	e.buf = append(e.buf, '\n')
	return e.send(data)
}

// plain writes an event without a token.
func (e *eventWriter) plain(data string) error {
	e.buf = e.buf[:0]
	return e.send(data)
}

// failure writes the error event that ends an incomplete stream.
func (e *eventWriter) failure(data []byte) error {
	e.buf = append(e.buf[:0], "event: "+errorType+"\n"...)
	return e.send(string(data))
}

// send appends the data to the buffer, writes it and flushes.
func (e *eventWriter) send(data string) error {
	e.begin()
	e.buf = appendData(e.buf, data)
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	return e.control.Flush()
}

// appendData appends data as the fields of one event.
func appendData(buf []byte, data string) []byte {
	for {
		line, rest, more := strings.Cut(data, "\n")
		buf = append(buf, "data: "...)
		buf = append(buf, line...)
		buf = append(buf, '\n')
		if !more {
			return append(buf, '\n')
		}
		data = rest
	}
}

// tokenMark is part of every chunk with a token, as engines usually format it. It cannot
// occur within a JSON string, where its quotes would be escaped.
const tokenMark = `"finish_reason":null`

// chunkKind is what the data of an engine's event is.
type chunkKind uint8

const (
	chunkUnknown chunkKind = iota // no part of an answer, such as an error
	chunkToken
	chunkUsage // counts tokens
	chunkLast  // holds the finish reason
)

// kindOfChunk returns what the data of an engine's event is.
func kindOfChunk(data string) chunkKind {
	if strings.Contains(data, tokenMark) {
		return chunkToken
	}
	var chunk engineapi.Completion
	switch err := json.Unmarshal([]byte(data), &chunk); {
	case err != nil:
		return chunkUnknown
	case len(chunk.Choices) == 0 && chunk.Usage != nil:
		return chunkUsage
	case len(chunk.Choices) == 0:
		return chunkUnknown
	case chunk.Choices[0].FinishReason == nil:
		return chunkToken
	default:
		return chunkLast
	}
}
