package wal

import (
	"encoding/binary"
	"hash/crc32"

	"filberthook/internal/replication/consensus"
)

// A segment is a header followed by frames. A frame is: magic (4 bytes), payload
// length (4), sequence number (8), CRC-32C of length, sequence number and payload (4),
// payload. A payload is a list of records: type (1 byte), length (uvarint), data.
const (
	segmentSuffix      = ".wal"
	segmentMagic       = "FHWAL\x00\x00\x01"
	frameMagic         = 0x464c4652
	segmentHeaderBytes = 20
	frameHeaderBytes   = 20
	maxFrameBytes      = 64 << 20
)

type recordType byte

const (
	recordHardState recordType = iota + 1
	recordEntry
	// recordStart discards all earlier entries: the log restarts after a position.
	recordStart
	// recordContinue holds the position of the last entry before a new segment.
	recordContinue
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func segmentHeader(number uint64) []byte {
	buf := append(make([]byte, 0, segmentHeaderBytes), segmentMagic...)
	buf = binary.LittleEndian.AppendUint64(buf, number)
	return binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf, castagnoli))
}

func validHeader(data []byte, number uint64) bool {
	return len(data) >= segmentHeaderBytes && string(data[:segmentHeaderBytes]) == string(segmentHeader(number))
}

// beginFrame resets buf and reserves room for the frame header.
func (l *Log) beginFrame() {
	l.buf = append(l.buf[:0], make([]byte, frameHeaderBytes)...)
}

// sealFrame fills in the header of the frame in buf.
func (l *Log) sealFrame() {
	binary.LittleEndian.PutUint32(l.buf[0:], frameMagic)
	binary.LittleEndian.PutUint32(l.buf[4:], uint32(len(l.buf)-frameHeaderBytes))
	binary.LittleEndian.PutUint64(l.buf[8:], l.sequence)
	binary.LittleEndian.PutUint32(l.buf[16:], frameChecksum(l.buf))
}

// frameChecksum covers length, sequence number and payload.
func frameChecksum(frame []byte) uint32 {
	sum := crc32.Checksum(frame[4:16], castagnoli)
	return crc32.Update(sum, castagnoli, frame[frameHeaderBytes:])
}

// parseFrame returns the frame at the start of data; ok is false when that frame is
// incomplete or damaged.
func parseFrame(data []byte) (sequence uint64, payload []byte, ok bool) {
	if len(data) < frameHeaderBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, nil, false
	}
	n := int64(binary.LittleEndian.Uint32(data[4:]))
	if n > maxFrameBytes || n > int64(len(data)-frameHeaderBytes) {
		return 0, nil, false
	}
	frame := data[:frameHeaderBytes+n]
	if frameChecksum(frame) != binary.LittleEndian.Uint32(data[16:]) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(data[8:]), frame[frameHeaderBytes:], true
}

func (l *Log) addHardState(h consensus.HardState) {
	l.hard = h
	l.addRecord(recordHardState, encodeUvarints(h.Term, h.Vote, h.VoteIncarnation, h.Commit))
}

func (l *Log) addStart(at Position) {
	l.last = at
	l.addRecord(recordStart, encodeUvarints(at.Index, at.Term))
}

func (l *Log) addContinue(at Position) {
	l.addRecord(recordContinue, encodeUvarints(at.Index, at.Term))
}

func (l *Log) addEntry(e consensus.Entry) {
	l.last = Position{Index: e.Index, Term: e.Term}
	l.addRecord(recordEntry, consensus.AppendEntry(nil, e))
}

func (l *Log) addRecord(t recordType, data []byte) {
	l.buf = append(l.buf, byte(t))
	l.buf = binary.AppendUvarint(l.buf, uint64(len(data)))
	l.buf = append(l.buf, data...)
}

// nextRecord splits the first record off a payload.
func nextRecord(payload []byte) (t recordType, data, rest []byte, ok bool) {
	if len(payload) == 0 {
		return 0, nil, nil, false
	}
	n, width := binary.Uvarint(payload[1:])
	body := payload[1+max(width, 0):]
	if width <= 0 || n > uint64(len(body)) {
		return 0, nil, nil, false
	}
	return recordType(payload[0]), body[:n:n], body[n:], true
}

func encodeUvarints(values ...uint64) []byte {
	var buf []byte
	for _, v := range values {
		buf = binary.AppendUvarint(buf, v)
	}
	return buf
}

// decodeUvarints fills the targets and reports whether data holds exactly that many values.
func decodeUvarints(data []byte, targets ...*uint64) bool {
	for _, t := range targets {
		v, n := binary.Uvarint(data)
		if n <= 0 {
			return false
		}
		*t = v
		data = data[n:]
	}
	return len(data) == 0
}
