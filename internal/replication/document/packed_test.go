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
