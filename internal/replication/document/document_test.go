package document

import (
	"testing"

	"pgregory.net/rapid"
)

func TestOnlyAHigherVersionReplaces(t *testing.T) {
	var seen []Document
	m := NewMachine(func(d Document) { seen = append(seen, d) })
	steps := []struct {
		version uint64
		body    string
		want    uint64
	}{
		{5, "five", 5},
		{3, "three", 5},
		{5, "other content of five", 5},
		{9, "nine", 9},
	}
	for _, s := range steps {
		got := m.Apply(1, Document{s.version, []byte(s.body)}.Encode())
		if got != s.want {
			t.Errorf("version %d: in force %v, want %d", s.version, got, s.want)
		}
	}
	if len(seen) != 2 || string(seen[0].Body) != "five" || string(seen[1].Body) != "nine" {
		t.Errorf("onChange received %v, want five and nine", seen)
	}
}

func TestSnapshotRestoresTheDocument(t *testing.T) {
	m := NewMachine(func(Document) {})
	m.Apply(1, Document{7, []byte("seven")}.Encode())
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again := NewMachine(func(Document) {})
	if err := again.Restore(data); err != nil {
		t.Fatal(err)
	}
	if d := again.Current(); d.Version != 7 || string(d.Body) != "seven" {
		t.Errorf("restored %+v", d)
	}
	if err := again.Restore([]byte{1}); err == nil {
		t.Error("a torn snapshot was restored")
	}
}

func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := uint64(0)
		m := NewMachine(func(d Document) {
			if d.Version <= last {
				t.Fatalf("version %d came into force after %d", d.Version, last)
			}
			last = d.Version
		})
		highest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64()).Draw(t, "versions") {
			m.Apply(1, Document{Version: v}.Encode())
			highest = max(highest, v)
		}
		if m.Current().Version != highest {
			t.Fatalf("in force %d, want %d", m.Current().Version, highest)
		}
	})
}
