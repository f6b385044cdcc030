// Package tomltime decodes and encodes durations in TOML settings, such as "1.6s".
package tomltime

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as text in settings.
type Duration struct{ time.Duration }

// Of returns d as a Duration.
func Of(d time.Duration) Duration { return Duration{d} }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q; write a number and a unit, such as 250ms or 1.6s: %w", text, err)
	}
	d.Duration = parsed
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }
