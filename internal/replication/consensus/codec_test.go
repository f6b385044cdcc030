package consensus_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"filberthook/internal/replication/consensus"
)

var sampleMessages = []consensus.Message{
	{Type: consensus.MessagePreVote, From: 1, To: 2, Incarnation: 1 << 63, Term: 3, LogTerm: 2, Index: 9, Force: true},
	{Type: consensus.MessageAppend, From: 1, To: 2, Term: 3, LogTerm: 2, Index: 9, Commit: 8, Entries: []consensus.Entry{
		{Term: 2, Index: 10, Type: consensus.EntryNormal, Data: []byte("command")},
		{Term: 3, Index: 11, Type: consensus.EntryMembership, Data: consensus.NewMembership([]consensus.Member{{ID: 1}}).Encode()},
	}},
	{Type: consensus.MessageAppendResponse, From: 2, To: 1, Term: 3, Index: 9, Hint: 4, LogTerm: 1, Reject: true},
	{Type: consensus.MessageSnapshotChunk, From: 1, To: 2, Term: 3, Chunk: &consensus.SnapshotChunk{
		Index: 7, Term: 2, Offset: 4, Total: 9, Checksum: 5, Data: []byte("piece"),
		Membership: consensus.Membership{
			Members: []consensus.Member{{ID: 1, Address: "host-1", Zone: "bio", Incarnation: 4}, {ID: 3, Learner: true}},
			Retired: []uint64{2},
		},
	}},
}

func TestMessageRoundTrip(t *testing.T) {
	for _, m := range sampleMessages {
		got, err := consensus.DecodeMessage(consensus.EncodeMessage(&m))
		if err != nil {
			t.Errorf("%+v: %v", m, err)
			continue
		}
		if diff := cmp.Diff(&m, got, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("round trip (-want +got):\n%s", diff)
		}
		if from, err := consensus.MessageSender(consensus.EncodeMessage(&m)); from != m.From || err != nil {
			t.Errorf("sender %d, error %v, want %d", from, err, m.From)
		}
	}
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	valid := consensus.EncodeMessage(&sampleMessages[1])
	change := func(f func(m *consensus.Message)) []byte {
		m := sampleMessages[1]
		m.Entries = append([]consensus.Entry(nil), m.Entries...)
		f(&m)
		return consensus.EncodeMessage(&m)
	}
	cases := []struct {
		name string
		data []byte
	}{
		{"empty", nil},
		{"other version", append([]byte{99}, valid[1:]...)},
		{"truncated", valid[:len(valid)-3]},
		{"trailing bytes", append(bytes.Clone(valid), 0)},
		{"too long", make([]byte, consensus.MaxMessageBytes+1)},
		{"no sender", change(func(m *consensus.Message) { m.From = 0 })},
		{"to itself", change(func(m *consensus.Message) { m.To = m.From })},
		{"term out of range", change(func(m *consensus.Message) { m.Term = 1 << 63 })},
		{"index out of range", change(func(m *consensus.Message) { m.Index, m.Entries = 1<<63, nil })},
		{"unknown type", change(func(m *consensus.Message) { m.Type = 200 })},
		{"gap between entries", change(func(m *consensus.Message) { m.Entries[1].Index++ })},
		{"entry of a later term", change(func(m *consensus.Message) { m.Entries[1].Term = 4 })},
		{"chunk without data", change(func(m *consensus.Message) { m.Type = consensus.MessageSnapshotChunk })},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, _ = consensus.MessageSender(c.data) // must not panic
			var format *consensus.FormatError
			if _, err := consensus.DecodeMessage(c.data); !errors.As(err, &format) {
				t.Errorf("decoding gave %v", err)
			}
		})
	}
}

// FuzzDecodeMessage decodes arbitrary bytes. A decoded message must survive a round trip.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range sampleMessages {
		f.Add(consensus.EncodeMessage(&m))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := consensus.DecodeMessage(data)
		if err != nil {
			return
		}
		again, err := consensus.DecodeMessage(consensus.EncodeMessage(m))
		if err != nil {
			t.Fatalf("encoded message does not decode: %v", err)
		}
		if diff := cmp.Diff(m, again, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("round trip (-want +got):\n%s", diff)
		}
	})
}

// FuzzDecodeMembership decodes arbitrary bytes. A decoded membership must respect
// MaxVoters and survive a round trip.
func FuzzDecodeMembership(f *testing.F) {
	f.Add(sampleMessages[3].Chunk.Membership.Encode())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := consensus.DecodeMembership(data)
		if err != nil {
			return
		}
		if m.Voters() > consensus.MaxVoters {
			t.Errorf("decoded %d voters", m.Voters())
		}
		if again, err := consensus.DecodeMembership(m.Encode()); err != nil || !cmp.Equal(m, again, cmpopts.EquateEmpty()) {
			t.Errorf("round trip gave %+v, %v", again, err)
		}
	})
}
