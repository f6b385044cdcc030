package httpanswer

import "bytes"

// oldVersion is the beginning of answers for which net/http ignores Transfer-Encoding and removes it from
// the header. RFC 9112, section 6.1: their framing is faulty.
const oldVersion = "HTTP/1.0"

// oldHead is the head of an answer as it comes, if it is of oldVersion.
type oldHead struct {
	start  []byte // of the answer, as far as oldVersion is long
	fields []byte // what follows start; nil for other versions
	done   bool   // the head has ended, or is longer than one may be
}

// begin expects the head of another answer, of which some bytes may have been read.
func (h *oldHead) begin(read []byte) {
	h.start, h.fields, h.done = h.start[:0], nil, false
	h.note(read)
}

// note records bytes of the answer.
func (h *oldHead) note(b []byte) {
	if h.done {
		return
	}
	n := min(len(b), len(oldVersion)-len(h.start))
	h.start = append(h.start, b[:n]...)
	if string(h.start) == oldVersion {
		h.fields = append(h.fields, b[n:]...)
	}
}

// check returns a *MalformedError if the head has a field Transfer-Encoding.
func (h *oldHead) check() error {
	for line := range bytes.Lines(h.fields) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")) {
			return &MalformedError{ReasonFraming, "HTTP/1.0 with a transfer coding"}
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			h.fields, h.done = nil, true
			break
		}
	}
	if len(h.fields) > MaxHeadBytes {
		h.fields, h.done = nil, true
	}
	return nil
}
