// Package class names the service classes of requests.
package class

import (
	"fmt"
	"strings"
)

// Class is the service class of a request. A lower value is more urgent.
type Class uint8

// Service classes.
const (
	Status  Class = iota // status reads and bookings: a person is waiting
	Check                // short checks
	Summary              // summaries, handover notes and assessments
	Lookup               // background lookups that can wait
	Count   = 4          // number of classes
)

var names = [Count]string{"status", "check", "summary", "lookup"}

// String returns the class's name, as settings and callers spell it.
func (c Class) String() string {
	if int(c) < len(names) {
		return names[c]
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// Parse returns the class with this name.
func Parse(name string) (Class, error) {
	for i, known := range names {
		if name == known {
			return Class(i), nil
		}
	}
	return 0, fmt.Errorf("unknown class %q; use one of %s", name, strings.Join(names[:], ", "))
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	*c = parsed
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
