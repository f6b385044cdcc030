package consensus

import (
	"encoding/binary"
	"fmt"
)

const (
	// MaxEntryBytes bounds the data of one entry: a command of 4 MiB that cannot be compressed,
	// with what its encoding adds. Replicas of releases with a lower limit refuse larger entries.
	MaxEntryBytes = 4<<20 + 64<<10
	// MaxMessageBytes bounds one encoded message.
	MaxMessageBytes      = 8 << 20
	maxEntriesPerMessage = 1 << 16
	messageVersion       = 1
	// maxPosition bounds terms and indexes, so that adding to them cannot overflow.
	maxPosition = 1 << 62
)

// FormatError reports bytes that are not a valid message, entry or membership.
type FormatError struct{ Detail string }

// Error implements error.
func (e *FormatError) Error() string {
	return "malformed data: " + e.Detail + "; check that its writer runs the same version"
}

func appendBool(buf []byte, v bool) []byte {
	if v {
		return append(buf, 1)
	}
	return append(buf, 0)
}

func appendBytes(buf, data []byte) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(data)))
	return append(buf, data...)
}

// AppendEntry appends the encoded entry to buf.
func AppendEntry(buf []byte, e Entry) []byte {
	buf = binary.AppendUvarint(buf, e.Term)
	buf = binary.AppendUvarint(buf, e.Index)
	buf = append(buf, byte(e.Type))
	return appendBytes(buf, e.Data)
}

// DecodeEntry decodes data as exactly one entry. The entry aliases data.
func DecodeEntry(data []byte) (Entry, error) {
	d := decoder{buf: data}
	e := d.entry()
	if err := d.finish(); err != nil {
		return Entry{}, fmt.Errorf("decode entry: %w", err)
	}
	return e, nil
}

// EncodeMessage returns the message in its wire format.
func EncodeMessage(m *Message) []byte {
	buf := make([]byte, 0, 96+entriesSize(m.Entries))
	buf = append(buf, messageVersion, byte(m.Type))
	for _, v := range [...]uint64{m.From, m.To, m.Incarnation, m.ToIncarnation, m.Term, m.LogTerm, m.Index, m.Commit, m.Context, m.Hint} {
		buf = binary.AppendUvarint(buf, v)
	}
	buf = appendBool(buf, m.Reject)
	buf = appendBool(buf, m.Force)
	buf = binary.AppendUvarint(buf, uint64(len(m.Entries)))
	for _, e := range m.Entries {
		buf = AppendEntry(buf, e)
	}
	buf = appendBool(buf, m.Chunk != nil)
	if m.Chunk != nil {
		buf = appendChunk(buf, m.Chunk)
	}
	return buf
}

func appendChunk(buf []byte, c *SnapshotChunk) []byte {
	for _, v := range [...]uint64{c.Index, c.Term, c.Offset, c.Total, c.Checksum} {
		buf = binary.AppendUvarint(buf, v)
	}
	buf = appendBytes(buf, c.Membership.Encode())
	return appendBytes(buf, c.Data)
}

// DecodeMessage reads what EncodeMessage wrote. It returns a *FormatError for
// anything else. The message aliases data.
func DecodeMessage(data []byte) (*Message, error) {
	if len(data) > MaxMessageBytes {
		return nil, &FormatError{Detail: fmt.Sprintf("message of %d bytes, at most %d", len(data), MaxMessageBytes)}
	}
	d := decoder{buf: data}
	if v := d.byte(); d.err == nil && v != messageVersion {
		return nil, &FormatError{Detail: fmt.Sprintf("message version %d, want %d", v, messageVersion)}
	}
	m := &Message{Type: MessageType(d.byte())}
	for _, p := range [...]*uint64{&m.From, &m.To, &m.Incarnation, &m.ToIncarnation, &m.Term, &m.LogTerm, &m.Index, &m.Commit, &m.Context, &m.Hint} {
		*p = d.uvarint()
	}
	m.Reject = d.bool()
	m.Force = d.bool()
	n := d.count(maxEntriesPerMessage)
	for range n {
		e := d.entry()
		if d.err != nil {
			break
		}
		m.Entries = append(m.Entries, e)
	}
	if d.bool() {
		m.Chunk = d.chunk()
	}
	if err := d.finish(); err != nil {
		return nil, err
	}
	return m, m.validate()
}

// MessageSender returns the replica that an encoded message names as its sender,
// so that a transport can compare it with the peer that sent it.
func MessageSender(data []byte) (uint64, error) {
	if len(data) < 2 || data[0] != messageVersion {
		return 0, &FormatError{Detail: "message header"}
	}
	d := decoder{buf: data[2:]}
	from := d.uvarint()
	return from, d.err
}

// Urgent reports whether an encoded message must not wait for large ones. Appends and snapshot
// chunks may be large. Appends stay in order: a replica rejects one that overtakes another, and
// both are sent again.
func Urgent(data []byte) bool {
	if len(data) < 2 {
		return false
	}
	t := MessageType(data[1])
	return t != 0 && t < messageTypeEnd && t != MessageAppend && t != MessageSnapshotChunk
}

// validate checks the properties of a message that the algorithm relies on.
func (m *Message) validate() error {
	if m.Type == 0 || m.Type >= messageTypeEnd {
		return &FormatError{Detail: fmt.Sprintf("message type %d", m.Type)}
	}
	if m.From == 0 || m.To == 0 || m.From == m.To {
		return &FormatError{Detail: fmt.Sprintf("message from %d to %d", m.From, m.To)}
	}
	if max(m.Term, m.LogTerm, m.Index, m.Commit) > maxPosition {
		return &FormatError{Detail: fmt.Sprintf("term %d, index %d or commit %d out of range", m.Term, m.Index, m.Commit)}
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term > m.Term {
			return &FormatError{Detail: fmt.Sprintf("entry %d of term %d does not follow", e.Index, e.Term)}
		}
	}
	return m.validateChunk()
}

func (m *Message) validateChunk() error {
	if m.Type != MessageSnapshotChunk {
		return nil
	}
	c := m.Chunk
	if c == nil || c.Index == 0 || max(c.Index, c.Term) > maxPosition || c.Total > MaxSnapshotBytes || c.Offset > c.Total || uint64(len(c.Data)) > c.Total-c.Offset {
		return &FormatError{Detail: "snapshot chunk out of bounds"}
	}
	return nil
}

// decoder reads fields from buf; after the first error all reads return zero.
type decoder struct {
	buf []byte
	err error
}

func (d *decoder) fail(detail string) {
	if d.err == nil {
		d.err = &FormatError{Detail: detail}
	}
	d.buf = nil
}

func (d *decoder) byte() byte {
	if len(d.buf) == 0 {
		d.fail("truncated")
		return 0
	}
	b := d.buf[0]
	d.buf = d.buf[1:]
	return b
}

func (d *decoder) bool() bool {
	b := d.byte()
	if b > 1 {
		d.fail("boolean out of range")
	}
	return b == 1
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.buf)
	if n <= 0 {
		d.fail("truncated or oversized integer")
		return 0
	}
	d.buf = d.buf[n:]
	return v
}

func (d *decoder) count(limit uint64) uint64 {
	n := d.uvarint()
	if n > limit || n > uint64(len(d.buf)) {
		d.fail("count out of range")
		return 0
	}
	return n
}

func (d *decoder) bytes(limit uint64) []byte {
	n := d.uvarint()
	if n > limit || n > uint64(len(d.buf)) {
		d.fail("length out of range")
		return nil
	}
	if n == 0 {
		return nil
	}
	b := d.buf[:n:n]
	d.buf = d.buf[n:]
	return b
}

func (d *decoder) entry() Entry {
	e := Entry{Term: d.uvarint(), Index: d.uvarint(), Type: EntryType(d.byte()), Data: d.bytes(MaxEntryBytes)}
	if d.err == nil && e.Type != EntryNormal && e.Type != EntryMembership {
		d.fail("entry type out of range")
	}
	return e
}

func (d *decoder) chunk() *SnapshotChunk {
	c := &SnapshotChunk{Index: d.uvarint(), Term: d.uvarint(), Offset: d.uvarint(), Total: d.uvarint(), Checksum: d.uvarint()}
	encoded := d.bytes(MaxMessageBytes)
	c.Data = d.bytes(MaxMessageBytes)
	if d.err != nil {
		return nil
	}
	m, err := DecodeMembership(encoded)
	if err != nil {
		d.fail("membership of snapshot chunk")
		return nil
	}
	c.Membership = m
	return c
}

func (d *decoder) finish() error {
	if d.err == nil && len(d.buf) > 0 {
		d.fail("trailing bytes")
	}
	return d.err
}

func entriesSize(entries []Entry) int {
	n := 0
	for _, e := range entries {
		n += entrySize(e)
	}
	return n
}

// entryOverhead bounds the encoded size of an entry without its data, in bytes.
const entryOverhead = 24

func entrySize(e Entry) int { return entryOverhead + len(e.Data) }
