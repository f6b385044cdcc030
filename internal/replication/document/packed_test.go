package document

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// manyRoutes looks like a configuration of n routes.
func manyRoutes(n int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%07d","host":"h%d.example","path_prefix":"/p%d/","kind":"safe","timeout_ms":1500,"latency_goal_ms":150,"priority":2,"service":"s%d","max_attempts":2},`, i*7919, i%40, i*31, i%3)
	}
	return []byte(b.String())
}

func TestPackedDocumentIsSmallAndTheSame(t *testing.T) {
	want := Document{Version: 7, Body: manyRoutes(1800)}
	p, err := Pack(want)
	if err != nil {
		t.Fatal(err)
	}
	// The transfer must take at most 50 ms at 10 Mbit/s.
	if limit := 62_500; len(p.Deflate) > limit {
		t.Errorf("%d bytes for a body of %d, want at most %d", len(p.Deflate), len(want.Body), limit)
	}
	got, err := p.Unpack()
	if err != nil || got.Version != 7 || !bytes.Equal(got.Body, want.Body) {
		t.Errorf("got version %d of %d bytes, %v", got.Version, len(got.Body), err)
	}
}

func TestDamagedOrOversizedPackedDocumentsAreRefused(t *testing.T) {
	p, err := Pack(Document{Version: 1, Body: manyRoutes(100)})
	if err != nil {
		t.Fatal(err)
	}
	p.Deflate = p.Deflate[:len(p.Deflate)/2]
	if _, err := p.Unpack(); err == nil {
		t.Error("a truncated document was accepted")
	}
	p, err = Pack(Document{Version: 1, Body: make([]byte, MaxBytes+1)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Unpack(); err == nil {
		t.Error("a document larger than the limit was accepted")
	}
}

// Guards against a log or snapshot that cannot be read: commands of older releases are in plain
// form, those of large documents in packed form, and one log holds both.
func TestPlainAndPackedCommandsReplaceEachOther(t *testing.T) {
	m := NewMachine(func(Document) {})
	for version, body := range [][]byte{1: []byte("small"), 2: manyRoutes(9000), 3: []byte("small again"), 4: manyRoutes(9000)} {
		if version == 0 {
			continue
		}
		d := Document{Version: uint64(version), Body: body}
		command := d.Encode()
		if d.Large() {
			p, err := Pack(d)
			if err != nil {
				t.Fatal(err)
			}
			command = p.Encode()
		}
		if got := m.Apply(1, command); got != d.Version {
			t.Errorf("version %d: in force %v", version, got)
		}
		if p, ok := m.Packed(d.Version); ok != d.Large() || ok && len(p.Deflate) > len(body)/4 {
			t.Errorf("version %d of %d bytes: packed form of %d bytes, %v", version, len(body), len(p.Deflate), ok)
		}
		snapshot, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := NewMachine(func(Document) {})
		if err := restored.Restore(snapshot); err != nil || !bytes.Equal(restored.Current().Body, body) {
			t.Errorf("version %d: a snapshot of %d bytes restored %d bytes, %v", version, len(snapshot), len(restored.Current().Body), err)
		}
	}
	if got := m.Apply(1, Packed{Version: 9, Deflate: []byte("damaged")}.Encode()); got == nil || m.Current().Version != 4 {
		t.Errorf("a damaged command gave %v, version %d in force", got, m.Current().Version)
	}
}

// Guards against plain commands being taken for packed ones.
func TestDocumentsThatLookPackedStayPlain(t *testing.T) {
	body := Packed{Version: 5, Deflate: []byte("x")}.Encode()
	for _, data := range [][]byte{Document{Version: 3, Body: body}.Encode(), Document{Version: 3, Body: packedTag}.Encode(), Document{Body: packedTag}.Encode()} {
		if d, err := Decode(data); err != nil || !bytes.Equal(d.Encode(), data) {
			t.Errorf("%q decoded to version %d, %v", data, d.Version, err)
		}
	}
}
