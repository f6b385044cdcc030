// Package document implements the replicated state of one document, the operator's
// whole configuration. The document with the highest version is in force; one with an
// equal or lower version is ignored.
package document

import (
	"encoding/binary"
	"fmt"
	"sync/atomic"
)

// Document is one version of the configuration. Version 0 means no configuration.
type Document struct {
	Version uint64 `json:"version"`
	Body    []byte `json:"body"` // as the operator sent it
}

// headerBytes is the length of the version in the encoded form.
const headerBytes = 8

// Encode returns the plain binary form: the version, then the body.
func (d Document) Encode() []byte {
	out := make([]byte, headerBytes, headerBytes+len(d.Body))
	binary.BigEndian.PutUint64(out, d.Version)
	return append(out, d.Body...)
}

// Decode reads the plain and the packed binary form.
func Decode(data []byte) (Document, error) {
	if packed, ok := decodePacked(data); ok {
		return packed.Unpack()
	}
	if len(data) < headerBytes {
		return Document{}, fmt.Errorf("document of %d bytes is shorter than its header: the log was written by another program", len(data))
	}
	return Document{Version: binary.BigEndian.Uint64(data), Body: data[headerBytes:]}, nil
}

// Machine holds the newest document. It implements replica.StateMachine.
// Invariant: the version never decreases.
type Machine struct {
	current    atomic.Pointer[Document]
	packed     atomic.Pointer[Packed] // the newest document that was replicated in packed form
	onChange   func(Document)
	extensions map[Kind]Extension
}

// NewMachine returns a Machine without a document. The Machine calls onChange with each
// document that comes into force, in order.
func NewMachine(onChange func(Document)) *Machine {
	m := &Machine{onChange: onChange, extensions: map[Kind]Extension{}}
	m.current.Store(&Document{})
	m.packed.Store(&Packed{})
	return m
}

// Current returns the newest document.
func (m *Machine) Current() Document { return *m.current.Load() }

// Packed returns the packed form of a version if it was replicated in that form.
func (m *Machine) Packed(version uint64) (Packed, bool) {
	p := *m.packed.Load()
	return p, version != 0 && p.Version == version
}

// Apply implements replica.StateMachine. It returns the version in force, the result of an
// extension's command, or an error if the command cannot be decoded.
func (m *Machine) Apply(_ uint64, data []byte) any {
	if result, ok := m.applyCommand(data); ok {
		return result
	}
	if err := m.replaceIfNewer(data); err != nil {
		return err
	}
	return m.Current().Version
}

// Snapshot implements replica.StateMachine. A document that was replicated in packed form stays
// in it, so that a replica that lags behind receives fewer bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	current := m.Current()
	if p, ok := m.Packed(current.Version); ok {
		return m.appendExtensions(p.Encode())
	}
	return m.appendExtensions(current.Encode())
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(data []byte) error {
	data, err := m.restoreExtensions(data)
	if err != nil {
		return err
	}
	return m.replaceIfNewer(data)
}

func (m *Machine) replaceIfNewer(data []byte) error {
	packed, isPacked := decodePacked(data)
	if isPacked && packed.Version <= m.Current().Version {
		return nil // operators repeat their calls; decompressing the body again would block the log
	}
	d, err := Decode(data)
	if err != nil {
		return err
	}
	if d.Version <= m.Current().Version {
		return nil
	}
	if isPacked {
		m.packed.Store(&packed)
	} else {
		m.packed.Store(&Packed{}) // frees an earlier one
	}
	m.current.Store(&d)
	m.onChange(d)
	return nil
}
