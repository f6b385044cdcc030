package document

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
)

// Extension is further replicated state beside the document. Its methods are those of a state
// machine; they are called one at a time.
type Extension interface {
	// Apply executes a command and returns its result.
	Apply(command []byte) any
	// Snapshot returns the state, empty if it is that of a new Extension.
	Snapshot() ([]byte, error)
	// Restore replaces the state. An empty one is that of a new Extension.
	Restore(data []byte) error
}

// Kind names an Extension in the log and in snapshots. A kind is never given to another one.
type Kind byte

// KindUsage names the windows of usage reports.
const KindUsage Kind = 1

// extensionMark begins commands and snapshots of extensions: version 0, and a tag with which neither
// a configuration, which is JSON, nor a packed document begins.
var extensionMark = slices.Concat(make([]byte, headerBytes), []byte("\x00extension\x00"))

// sectionHeaderBytes is the length of the kind and the size before each extension in a snapshot.
const sectionHeaderBytes = 5

// EncodeCommand returns the log entry of an extension's command. Releases without extensions
// ignore it, as they ignore every document of version 0.
func EncodeCommand(kind Kind, command []byte) []byte {
	return slices.Concat(extensionMark, []byte{byte(kind)}, command)
}

// Extend adds an extension. It must be called before the Machine is used.
func (m *Machine) Extend(kind Kind, e Extension) { m.extensions[kind] = e }

// applyCommand executes the command of an extension; ok is false for other log entries. Commands
// of unknown kinds change nothing.
func (m *Machine) applyCommand(data []byte) (result any, ok bool) {
	rest, ok := bytes.CutPrefix(data, extensionMark)
	if !ok || len(rest) == 0 {
		return nil, false
	}
	e := m.extensions[Kind(rest[0])]
	if e == nil {
		return nil, false
	}
	return e.Apply(rest[1:]), true
}

// appendExtensions returns the snapshot of a document and the extensions: the document alone while
// the extensions are empty; otherwise version 0 and the mark, the extensions with their kinds and
// sizes, a zero byte, and the document. Releases without extensions ignore the latter.
func (m *Machine) appendExtensions(document []byte) ([]byte, error) {
	out := slices.Clone(extensionMark)
	empty := true
	for _, kind := range slices.Sorted(maps.Keys(m.extensions)) {
		data, err := m.extensions[kind].Snapshot()
		if err != nil {
			return nil, err
		}
		if len(data) == 0 {
			continue
		}
		empty = false
		out = append(out, byte(kind))
		out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
		out = append(out, data...)
	}
	if empty {
		return document, nil
	}
	return append(append(out, 0), document...), nil
}

// restoreExtensions restores the extensions from a snapshot and returns the document that follows.
func (m *Machine) restoreExtensions(data []byte) ([]byte, error) {
	states := map[Kind][]byte{}
	if rest, ok := bytes.CutPrefix(data, extensionMark); ok {
		for len(rest) > sectionHeaderBytes && rest[0] != 0 {
			size := uint64(binary.BigEndian.Uint32(rest[1:]))
			kind := Kind(rest[0])
			if rest = rest[sectionHeaderBytes:]; size > uint64(len(rest)) {
				return nil, fmt.Errorf("snapshot ends within extension %d: the file is torn", kind)
			}
			states[kind], rest = rest[:size], rest[size:]
		}
		if len(rest) == 0 || rest[0] != 0 {
			return nil, fmt.Errorf("snapshot ends before its document: the file is torn")
		}
		data = rest[1:]
	}
	for kind, e := range m.extensions {
		if err := e.Restore(states[kind]); err != nil {
			return nil, fmt.Errorf("extension %d of the snapshot: %w", kind, err)
		}
	}
	return data, nil
}
