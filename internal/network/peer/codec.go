package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

// frameHeaderBytes is the length of the big-endian size before each message.
const frameHeaderBytes = 4

// codec prefixes each JSON message with its length and refuses messages over maxBytes.
type codec struct{ maxBytes int }

// MessageSizeError reports a message longer than the limit.
type MessageSizeError struct{ Bytes, Limit int }

func (e *MessageSizeError) Error() string {
	return fmt.Sprintf("message of %d bytes is over the limit of %d: split it or raise the limit on both ends", e.Bytes, e.Limit)
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c codec) WriteObject(w io.Writer, obj any) error {
	body, err := encode(obj)
	if err != nil {
		return err
	}
	if len(body) > c.maxBytes {
		return &MessageSizeError{Bytes: len(body), Limit: c.maxBytes}
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > c.maxBytes {
		return &MessageSizeError{Bytes: size, Limit: c.maxBytes}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	// An Unmarshaler checks the message itself; package json would do so once more.
	if u, ok := v.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(body)
	}
	return json.Unmarshal(body, v)
}

// encode returns a message as JSON. What a Marshaler returns need not be checked.
func encode(obj any) ([]byte, error) {
	if m, ok := obj.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(obj)
}

// deadlineConn sets a deadline for every write, so that a peer that stops reading cannot
// block a writer forever.
type deadlineConn struct {
	net.Conn
	writeTimeout time.Duration
}

func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
