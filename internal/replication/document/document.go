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

// Encode returns the binary form: the version, then the body.
func (d Document) Encode() []byte {
	out := make([]byte, headerBytes, headerBytes+len(d.Body))
	binary.BigEndian.PutUint64(out, d.Version)
	return append(out, d.Body...)
}

// Decode reads the binary form.
func Decode(data []byte) (Document, error) {
	if len(data) < headerBytes {
		return Document{}, fmt.Errorf("document of %d bytes is shorter than its header: the log was written by another program", len(data))
	}
	return Document{Version: binary.BigEndian.Uint64(data), Body: data[headerBytes:]}, nil
}

// Machine holds the newest document. It implements replica.StateMachine.
// Invariant: the version never decreases.
type Machine struct {
	current  atomic.Pointer[Document]
	onChange func(Document)
}

// NewMachine returns a Machine without a document. The Machine calls onChange with each
// document that comes into force, in order.
func NewMachine(onChange func(Document)) *Machine {
	m := &Machine{onChange: onChange}
	m.current.Store(&Document{})
	return m
}

// Current returns the newest document.
func (m *Machine) Current() Document { return *m.current.Load() }

// Apply implements replica.StateMachine. It returns the version in force, or an error
// if the command cannot be decoded.
func (m *Machine) Apply(_ uint64, data []byte) any {
	d, err := Decode(data)
	if err != nil {
		return err
	}
	m.replaceIfNewer(d)
	return m.Current().Version
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) { return m.Current().Encode(), nil }

// Restore implements replica.StateMachine.
func (m *Machine) Restore(data []byte) error {
	d, err := Decode(data)
	if err != nil {
		return err
	}
	m.replaceIfNewer(d)
	return nil
}

func (m *Machine) replaceIfNewer(d Document) {
	if d.Version <= m.Current().Version {
		return
	}
	m.current.Store(&d)
	m.onChange(d)
}
