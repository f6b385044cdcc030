// Package backup encodes the configuration as a file for operators to keep. A backup has
// a checksum and is verified before it is used.
package backup

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"filberthook/internal/engines/fleet"
)

// format and version identify the file format.
const (
	format  = "filberthook-configuration"
	version = 1
)

// file is the content of a backup.
type file struct {
	Format        string          `json:"format"`
	Version       int             `json:"version"`
	Revision      uint64          `json:"revision"`
	SHA256        string          `json:"sha256"` // of Configuration
	Configuration json.RawMessage `json:"configuration"`
}

// DamagedError reports why a backup cannot be used.
type DamagedError struct{ Reason string }

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("the backup cannot be used: %s; take another backup", e.Reason)
}

// Encode returns a backup of a configuration.
func Encode(c fleet.Configuration) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode backup: %w", err)
	}
	return json.Marshal(file{Format: format, Version: version, Revision: c.Revision, SHA256: sum(body), Configuration: body})
}

// Decode verifies a backup and returns its configuration. The error is a
// *DamagedError.
func Decode(data []byte) (fleet.Configuration, error) {
	var f file
	var c fleet.Configuration
	if err := json.Unmarshal(data, &f); err != nil {
		return c, &DamagedError{Reason: "it is not valid JSON"}
	}
	switch {
	case f.Format != format:
		return c, &DamagedError{Reason: fmt.Sprintf("its format is %q, not %q", f.Format, format)}
	case f.Version != version:
		return c, &DamagedError{Reason: fmt.Sprintf("its version is %d, this program reads version %d", f.Version, version)}
	case sum(f.Configuration) != f.SHA256:
		return c, &DamagedError{Reason: "its checksum differs"}
	}
	if err := json.Unmarshal(f.Configuration, &c); err != nil {
		return c, &DamagedError{Reason: "its configuration cannot be read"}
	}
	if c.Revision != f.Revision {
		return c, &DamagedError{Reason: fmt.Sprintf("it names revision %d and holds revision %d", f.Revision, c.Revision)}
	}
	return c, nil
}

func sum(data []byte) string {
	s := sha256.Sum256(data)
	return hex.EncodeToString(s[:])
}
