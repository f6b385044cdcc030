package controlwatch

import (
	"fmt"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/instances"
)

// filling returns changes that take about so many bytes.
func filling(bytes int) controlapi.Changes {
	var out controlapi.Changes
	for size := 0; size < bytes; {
		c := instances.Change{Instance: instances.Instance{ID: fmt.Sprint("i-", len(out))}}
		size += c.EncodedBytes()
		out = append(out, c)
	}
	return out
}

func TestPagesGrowAgainOnceFullOnesArriveQuickly(t *testing.T) {
	p := pageSize(firstPage)
	for p.timedOut() {
	}
	if p != minPage {
		t.Fatalf("pages of %d bytes after timeouts, want %d", p, minPage)
	}
	p.answered(filling(minPage/4), 0)
	p.answered(filling(minPage), quickPage+time.Millisecond)
	if p != minPage {
		t.Errorf("pages of %d bytes after a small answer and a slow one, want %d", p, minPage)
	}
	for range 20 {
		p.answered(filling(int(p)), quickPage)
	}
	if p != instances.MaxPageBytes {
		t.Errorf("pages of %d bytes after full ones that arrived quickly, want %d", p, instances.MaxPageBytes)
	}
}
