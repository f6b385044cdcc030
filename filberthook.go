// Package filberthook embeds the processes of filberthook in a Go program: an
// entry host between callers and endpoints, or a replica of the control group.
// The daemons under cmd are thin programs around it.
package filberthook

import (
	"context"
	"errors"
	"log/slog"

	"filberthook/internal/control/controlnode"
	"filberthook/internal/process/settings"
	"filberthook/internal/serve/entry"

	"github.com/VictoriaMetrics/metrics"
)

// EntrySettings are the settings of an entry host, as in its TOML file.
type EntrySettings = settings.Entry

// ControlSettings are the settings of a control replica, as in its TOML file.
type ControlSettings = settings.Control

// SettingsError lists every invalid setting of a file, each with its remedy.
type SettingsError = settings.Error

// CutError reports that the stop of an entry host cut running requests.
type CutError = entry.CutError

// DefaultEntrySettings returns the defaults of settings that a file may leave out.
func DefaultEntrySettings() EntrySettings { return settings.DefaultEntry() }

// LoadEntrySettings reads and checks a settings file. The error is a
// *SettingsError.
func LoadEntrySettings(file string) (EntrySettings, error) {
	s := settings.DefaultEntry()
	err := settings.Load(file, &s)
	return s, err
}

// LoadControlSettings reads and checks a settings file. The error is a
// *SettingsError.
func LoadControlSettings(file string) (ControlSettings, error) {
	var s ControlSettings
	err := settings.Load(file, &s)
	return s, err
}

// Entry is an entry host.
type Entry struct{ node *entry.Node }

// NewEntry opens the addresses of the settings and assembles an entry host. Its
// metrics are registered in set. Run must be called next.
func NewEntry(s EntrySettings, logger *slog.Logger, set *metrics.Set) (*Entry, error) {
	listeners, err := entry.Listen(s.Listen)
	if err != nil {
		return nil, err
	}
	node, err := entry.New(s, listeners, logger, set)
	if err != nil {
		return nil, errors.Join(err, listeners.Close())
	}
	return &Entry{node: node}, nil
}

// Run serves until ctx ends, then stops gracefully. The error is a *CutError
// when requests were cut.
func (e *Entry) Run(ctx context.Context) error { return e.node.Run(ctx) }

// CallersAddress returns the address that serves callers.
func (e *Entry) CallersAddress() string { return e.node.CallersAddress() }

// StatusAddress returns the address of metrics, health and the status page.
func (e *Entry) StatusAddress() string { return e.node.StatusAddress() }

// Kill cuts running requests during a graceful stop.
func (e *Entry) Kill() { e.node.Kill() }

// Control is a replica of the control group.
type Control struct{ node *controlnode.Node }

// NewControl opens the data folder and the addresses of the settings. Its
// metrics are registered in set. Run must be called next.
func NewControl(s ControlSettings, logger *slog.Logger, set *metrics.Set) (*Control, error) {
	node, err := controlnode.New(s, logger, set)
	if err != nil {
		return nil, err
	}
	return &Control{node: node}, nil
}

// Run serves until ctx ends, then hands over its leadership and stops.
func (c *Control) Run(ctx context.Context) error { return c.node.Run(ctx) }
