package distribution

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"filberthook/internal/engines/fleet"
)

// storeFile is the name of the stored configuration in the data folder.
const storeFile = "configuration.json"

// storeVersion is the version of the file format.
const storeVersion = 1

// storedFile is the content of the file.
type storedFile struct {
	Version       int             `json:"version"`
	SHA256        string          `json:"sha256"` // of Configuration
	Configuration json.RawMessage `json:"configuration"`
}

// Store stores the last configuration in force in a data folder. With an empty
// folder name it stores nothing.
type Store struct{ dir string }

// NewStore returns a store in a folder.
func NewStore(dir string) Store { return Store{dir: dir} }

// CorruptError reports that the stored configuration cannot be used.
type CorruptError struct {
	File string
	Err  error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("stored configuration %s is damaged: %v; remove the file, the host then fetches the configuration again", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// Load returns the stored configuration, nil when there is none.
func (s Store) Load() (*fleet.Snapshot, error) {
	if s.dir == "" {
		return nil, nil
	}
	file := filepath.Join(s.dir, storeFile)
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read stored configuration: %w", err)
	}
	c, err := decodeStored(data)
	if err != nil {
		return nil, &CorruptError{File: file, Err: err}
	}
	return fleet.NewSnapshot(c), nil
}

func decodeStored(data []byte) (fleet.Configuration, error) {
	var st storedFile
	var c fleet.Configuration
	if err := json.Unmarshal(data, &st); err != nil {
		return c, err
	}
	if st.Version != storeVersion {
		return c, fmt.Errorf("version %d, this program reads version %d", st.Version, storeVersion)
	}
	if checksum(st.Configuration) != st.SHA256 {
		return c, errors.New("checksum differs")
	}
	return c, json.Unmarshal(st.Configuration, &c)
}

func checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Save writes a configuration and syncs file and folder. After an error the previous
// content is still there.
func (s Store) Save(snapshot *fleet.Snapshot) error {
	if s.dir == "" {
		return nil
	}
	body, err := json.Marshal(snapshot.Configuration())
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	data, err := json.Marshal(storedFile{Version: storeVersion, SHA256: checksum(body), Configuration: body})
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return fmt.Errorf("make data folder: %w", err)
	}
	temporary := filepath.Join(s.dir, storeFile+".new")
	if err := writeSynced(temporary, data); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	if err := os.Rename(temporary, filepath.Join(s.dir, storeFile)); err != nil {
		return fmt.Errorf("replace configuration: %w", err)
	}
	return syncDir(s.dir)
}

func writeSynced(file string, data []byte) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return errors.Join(d.Sync(), d.Close())
}
