package document

import (
	"testing"
)

// lastCommand is an Extension that keeps the last command.
type lastCommand struct{ data []byte }

func (l *lastCommand) Apply(command []byte) any {
	l.data = append([]byte(nil), command...)
	return string(command)
}
func (l *lastCommand) Snapshot() ([]byte, error) { return l.data, nil }
func (l *lastCommand) Restore(data []byte) error { l.data = data; return nil }

func extended() (*Machine, *lastCommand) {
	m, e := NewMachine(func(Document) {}), &lastCommand{}
	m.Extend(KindUsage, e)
	return m, e
}

// Guards against state of an extension that is lost with a snapshot, or that changes the document.
func TestSnapshotCarriesExtensions(t *testing.T) {
	m, _ := extended()
	m.Apply(1, Document{7, []byte("seven")}.Encode())
	plain, err := m.Snapshot()
	if err != nil || string(plain) != string(m.Current().Encode()) {
		t.Errorf("snapshot without state of extensions: %q, %v; earlier releases read the document alone", plain, err)
	}
	if got := m.Apply(2, EncodeCommand(KindUsage, []byte("count"))); got != "count" {
		t.Errorf("command: %v", got)
	}
	if got := m.Apply(3, EncodeCommand(99, []byte("x"))); got != uint64(7) {
		t.Errorf("unknown command: %v", got)
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again, e := extended()
	if err := again.Restore(data); err != nil || string(e.data) != "count" || again.Current().Version != 7 || string(again.Current().Body) != "seven" {
		t.Errorf("restored %q and %+v, %v", e.data, again.Current(), err)
	}
	mark := len(extensionMark)
	for cut := mark; cut < len(data)-headerBytes-len("seven"); cut++ {
		if torn, _ := extended(); torn.Restore(data[:cut]) == nil {
			t.Errorf("a snapshot torn after %d of %d bytes was restored", cut, len(data))
		}
	}
	if err := again.Restore(plain); err != nil || len(e.data) != 0 {
		t.Errorf("a snapshot without extensions left %q, %v", e.data, err)
	}
}

// Guards against an earlier release that takes a command or a snapshot for a configuration: it
// decodes both as documents, and ignores those of version 0.
func TestEarlierReleasesIgnoreExtensions(t *testing.T) {
	m, _ := extended()
	m.Apply(1, EncodeCommand(KindUsage, []byte("count")))
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{snapshot, EncodeCommand(KindUsage, []byte("count"))} {
		if d, err := Decode(data); err != nil || d.Version != 0 {
			t.Errorf("decoded as version %d, %v", d.Version, err)
		}
	}
}
