package settings

import (
	"io"
	"log/slog"
)

// Logger returns a logger that writes to w. The settings must have been
// checked.
func (l Log) Logger(w io.Writer) *slog.Logger {
	var level slog.Level
	if l.Level != "" {
		// Check refuses unknown levels; an unchecked unknown level means info.
		_ = level.UnmarshalText([]byte(l.Level))
	}
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "text" {
		return slog.New(slog.NewTextHandler(w, options))
	}
	return slog.New(slog.NewJSONHandler(w, options))
}
