package controlapi

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"math"
	"strconv"
	"time"

	"filberthook/internal/engines/notice"
	"filberthook/internal/engines/placement"
)

// Load reports name hundreds of instances several times a second at each entry host. Their
// large parts are encoded in binary, as base64 in one JSON string, since decoding them as
// JSON values would be most of the work of an exchange.

// Backlogs are prompt tokens that await prefill, by instance and priority from 0.
type Backlogs map[string][]int64

// CacheUpdates are updates of engines' caches.
type CacheUpdates []placement.CacheUpdate

// maxNoticeAge is longer than any host keeps a notice.
const maxNoticeAge = 24 * time.Hour

// Notices are what instances have said about themselves.
type Notices []notice.Report

var errTruncated = errors.New("load report ends early: the sending host is of another version")

// MarshalText implements encoding.TextMarshaler.
func (b Backlogs) MarshalText() ([]byte, error) {
	raw := binary.AppendUvarint(nil, uint64(len(b)))
	for id, tokens := range b {
		raw = appendString(raw, id)
		raw = binary.AppendUvarint(raw, uint64(len(tokens)))
		for _, v := range tokens {
			raw = binary.AppendVarint(raw, v)
		}
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Backlogs) UnmarshalText(text []byte) error {
	r, err := newReader(text)
	if err != nil {
		return err
	}
	n := r.count()
	*b = make(Backlogs, n)
	for range n {
		id := r.text()
		tokens := make([]int64, r.count())
		for i := range tokens {
			tokens[i] = r.varint()
		}
		(*b)[id] = tokens
	}
	return r.err
}

// MarshalText implements encoding.TextMarshaler.
func (u CacheUpdates) MarshalText() ([]byte, error) {
	raw := binary.AppendUvarint(nil, uint64(len(u)))
	for _, update := range u {
		raw = appendString(raw, update.Instance)
		raw = appendKeys(raw, update.PrefixKeys)
		raw = appendKeys(raw, update.Prefilled)
		raw = binary.BigEndian.AppendUint32(raw, math.Float32bits(float32(update.PrefillRate)))
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (u *CacheUpdates) UnmarshalText(text []byte) error {
	r, err := newReader(text)
	if err != nil {
		return err
	}
	*u = make(CacheUpdates, r.count())
	for i := range *u {
		(*u)[i] = placement.CacheUpdate{Instance: r.text(), PrefixKeys: r.keys(), Prefilled: r.keys(), PrefillRate: r.rate()}
	}
	return r.err
}

// MarshalText implements encoding.TextMarshaler.
func (n Notices) MarshalText() ([]byte, error) {
	raw := binary.AppendUvarint(nil, uint64(len(n)))
	for _, report := range n {
		raw = appendString(raw, report.Instance)
		raw = binary.AppendVarint(raw, report.Born)
		raw = binary.BigEndian.AppendUint32(raw, math.Float32bits(float32(report.Limit)))
		raw = binary.AppendVarint(raw, report.Age.Milliseconds())
		raw = binary.AppendVarint(raw, flag(report.Leaving))
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It leaves out notices that no instance gives.
func (n *Notices) UnmarshalText(text []byte) error {
	r, err := newReader(text)
	if err != nil {
		return err
	}
	count := r.count()
	*n = make(Notices, 0, count)
	for range count {
		report := notice.Report{Instance: r.text(), Born: r.varint(), Limit: r.decimal()}
		ageMS := r.varint()
		report.Leaving = r.varint() != 0
		if !(report.Limit >= 0 && report.Limit <= math.MaxFloat32) || ageMS < 0 || ageMS > maxNoticeAge.Milliseconds() {
			continue // says nothing of the others
		}
		report.Age = time.Duration(ageMS) * time.Millisecond
		*n = append(*n, report)
	}
	return r.err
}

// flag encodes a truth value.
func flag(v bool) int64 {
	if v {
		return 1
	}
	return 0
}

func appendString(raw []byte, s string) []byte {
	return append(binary.AppendUvarint(raw, uint64(len(s))), s...)
}

func appendKeys(raw []byte, keys placement.PrefixKeys) []byte {
	raw = binary.AppendUvarint(raw, uint64(len(keys)))
	for _, key := range keys {
		raw = binary.BigEndian.AppendUint64(raw, key)
	}
	return raw
}

// reader decodes binary parts. After an error it returns zero values.
type reader struct {
	left []byte
	err  error
}

func newReader(text []byte) (*reader, error) {
	raw, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return nil, errors.Join(errTruncated, err)
	}
	return &reader{left: raw}, nil
}

// take returns the next n bytes, nil if there are fewer.
func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.left) {
		r.left, r.err = nil, errTruncated
		return nil
	}
	out := r.left[:n]
	r.left = r.left[n:]
	return out
}

// count returns a number of elements, each of which takes at least a byte.
func (r *reader) count() int {
	v, n := binary.Uvarint(r.left)
	if n <= 0 || v > uint64(len(r.left)) {
		r.left, r.err = nil, errTruncated
		return 0
	}
	r.left = r.left[n:]
	return int(v)
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.left)
	if n <= 0 {
		r.left, r.err = nil, errTruncated
		return 0
	}
	r.left = r.left[n:]
	return v
}

func (r *reader) text() string { return string(r.take(r.count())) }

func (r *reader) keys() placement.PrefixKeys {
	n := r.count()
	raw := r.take(8 * n)
	if len(raw) == 0 {
		return nil
	}
	out := make(placement.PrefixKeys, n)
	for i := range out {
		out[i] = binary.BigEndian.Uint64(raw[8*i:])
	}
	return out
}

// decimal returns the shortest decimal number that is encoded like the next rate: the one that
// was encoded, if that had up to six digits.
func (r *reader) decimal() float64 {
	rounded := r.rate()
	// What FormatFloat returns can be parsed.
	v, _ := strconv.ParseFloat(strconv.FormatFloat(rounded, 'g', -1, 32), 64)
	return v
}

func (r *reader) rate() float64 {
	raw := r.take(4)
	if raw == nil {
		return 0
	}
	return float64(math.Float32frombits(binary.BigEndian.Uint32(raw)))
}
