package httpanswer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
)

const (
	// MaxHeadBytes limits the head of an answer.
	MaxHeadBytes = 64 << 10
	// bufferBytes is enough for the head of an answer, and for small answers entirely.
	bufferBytes = 4 << 10
	// blockMemory is what each further bufferBytes of a head may take as fields.
	blockMemory = 64 << 10
)

// Reader reads the answers that come over a connection.
type Reader struct {
	buffered *bufio.Reader // of source
	source   *source
}

// NewReader returns a Reader of a connection.
func NewReader(connection io.Reader) *Reader {
	s := &source{from: connection}
	return &Reader{buffered: bufio.NewReaderSize(s, bufferBytes), source: s}
}

// Buffered returns how many bytes were read from the connection and belong to no answer yet.
func (r *Reader) Buffered() int { return r.buffered.Buffered() }

// Next reads the head of the next answer to a request with the method, which may be informational. The
// body of the one before must have been read. It reserves the memory that the head takes beyond the buffer;
// reserve may be nil. It returns a *MalformedError, or an error of the connection or of reserve.
func (r *Reader) Next(method string, reserve func(bytes int64) error) (*http.Response, error) {
	unread, _ := r.buffered.Peek(r.buffered.Buffered()) // does not read, so it does not fail
	r.source.beginHead(unread, reserve)
	defer r.source.endHead()
	answer, err := http.ReadResponse(r.buffered, &http.Request{Method: method})
	switch {
	case errors.Is(r.source.err, errTooLarge):
		return nil, &MalformedError{ReasonTooLarge, errTooLarge.Error()}
	case err != nil && errors.Is(r.source.err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil && r.source.err != nil:
		return nil, r.source.err
	case err != nil:
		return nil, &MalformedError{ReasonSyntax, err.Error()}
	}
	if err := r.source.old.check(); err != nil {
		return nil, err
	}
	if err := Check(answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// source reads from a connection. While the head of an answer is expected, it limits the bytes that are
// read, as an instance in trouble may send bytes without an end.
type source struct {
	from     io.Reader
	reserve  func(bytes int64) error // nil for no limit
	inHead   bool
	read     int   // bytes of the head, and of what came with its end
	reserved int   // bytes of it that there is memory for
	err      error // of the last read
	old      oldHead
}

var errTooLarge = fmt.Errorf("the head has more than %d bytes", MaxHeadBytes)

func (s *source) beginHead(unread []byte, reserve func(bytes int64) error) {
	s.inHead, s.read, s.reserved, s.reserve, s.err = true, 0, bufferBytes, reserve, nil
	s.old.begin(unread)
}

func (s *source) endHead() {
	s.inHead, s.reserve = false, nil
	s.old.begin(nil)
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (n int, err error) {
	if !s.inHead {
		return s.from.Read(p)
	}
	if s.err = s.reserveNext(); s.err != nil {
		return 0, s.err
	}
	n, s.err = s.from.Read(p[:min(len(p), s.reserved-s.read)])
	s.read += n
	s.old.note(p[:n])
	return n, s.err
}

// reserveNext returns why no more bytes of the head may be read, nil if some may.
func (s *source) reserveNext() error {
	switch {
	case s.read < s.reserved:
		return nil
	case s.read >= MaxHeadBytes:
		return errTooLarge
	case s.reserve != nil:
		if err := s.reserve(blockMemory); err != nil {
			return err
		}
	}
	s.reserved += bufferBytes
	return nil
}
