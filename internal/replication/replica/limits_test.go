package replica

import (
	"context"
	"errors"
	"testing"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

func TestLimits(t *testing.T) {
	r, err := Open(Config{ID: 1, Dir: "data", FS: fsys.NewMem()}, &commandLog{}, memTransport{})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	t.Run("queued bytes", func(t *testing.T) {
		const size = 512 << 10
		m := consensus.Message{Type: consensus.MessageAppend, From: 2, To: 1, Term: 1, Entries: []consensus.Entry{
			{Index: 1, Term: 1, Type: consensus.EntryNormal, Data: make([]byte, size)},
		}}
		const sent = 2 * maxQueuedBytes / size
		for range sent {
			if err := r.Receive(consensus.EncodeMessage(&m)); err != nil {
				t.Fatal(err)
			}
		}
		if n := r.queuedBytes.Load(); n > maxQueuedBytes {
			t.Errorf("%d bytes are queued", n)
		}
		if dropped, queued := r.counters.queueFull.Get(), uint64(len(r.messages)); dropped == 0 || dropped+queued != sent {
			t.Errorf("%d messages dropped and %d queued of %d", dropped, queued, sent)
		}
	})
	for name, size := range map[string]int{"empty command": 0, "long command": consensus.MaxEntryBytes + 1} {
		t.Run(name, func(t *testing.T) {
			var refused *consensus.RefusedError
			_, err := r.Propose(context.Background(), make([]byte, size))
			if !errors.As(err, &refused) || refused.Reason != consensus.ReasonSize {
				t.Errorf("proposal gave %v", err)
			}
		})
	}
}
