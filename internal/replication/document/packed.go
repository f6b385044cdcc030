package document

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
)

const (
	// MaxBytes bounds the decompressed body of a packed document.
	MaxBytes = 8 << 20
	// maxPlainBytes bounds commands in plain form. Releases before the packed form accept commands
	// of this size and ignore packed ones, so all smaller documents stay in plain form.
	maxPlainBytes = 1 << 20
)

// packedTag follows a version of 0, with which no plain document is proposed.
var packedTag = []byte("packed\x00\x01")

// packedHeaderBytes is the length of the version 0, the tag and the version of a packed document.
var packedHeaderBytes = headerBytes + len(packedTag) + headerBytes

// Packed is a compressed document, for entry hosts on slow links: a configuration of
// 1,800 routes shrinks from 315 kB to about a tenth of that.
type Packed struct {
	Version uint64 `json:"version"`
	Deflate []byte `json:"deflate"` // the body, RFC 1951
}

// Pack compresses a document.
func Pack(d Document) (Packed, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return Packed{}, err
	}
	if _, err := w.Write(d.Body); err != nil {
		return Packed{}, err
	}
	if err := w.Close(); err != nil {
		return Packed{}, err
	}
	return Packed{Version: d.Version, Deflate: out.Bytes()}, nil
}

// Unpack decompresses the document.
func (p Packed) Unpack() (Document, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(p.Deflate)), MaxBytes+1)
	body, err := io.ReadAll(r)
	if err != nil {
		return Document{}, fmt.Errorf("decompress document version %d: %w; fetch it from another control host", p.Version, err)
	}
	if len(body) > MaxBytes {
		return Document{}, fmt.Errorf("document version %d decompresses to more than %d bytes: send a smaller configuration", p.Version, MaxBytes)
	}
	return Document{Version: p.Version, Body: body}, nil
}

// Large reports whether the document's command is in packed form.
func (d Document) Large() bool { return headerBytes+len(d.Body) > maxPlainBytes }

// Encode returns the packed binary form: version 0, a tag, the version, then the deflated body.
func (p Packed) Encode() []byte {
	out := make([]byte, headerBytes, packedHeaderBytes+len(p.Deflate))
	out = append(out, packedTag...)
	out = binary.BigEndian.AppendUint64(out, p.Version)
	return append(out, p.Deflate...)
}

// decodePacked reads the packed binary form; ok is false for anything else. The result aliases data.
func decodePacked(data []byte) (p Packed, ok bool) {
	if len(data) < packedHeaderBytes || binary.BigEndian.Uint64(data) != 0 || !bytes.HasPrefix(data[headerBytes:], packedTag) {
		return Packed{}, false
	}
	return Packed{Version: binary.BigEndian.Uint64(data[packedHeaderBytes-headerBytes:]), Deflate: data[packedHeaderBytes:]}, true
}
