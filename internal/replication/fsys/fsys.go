// Package fsys abstracts the file system operations that durable logs and snapshots
// need. OS uses the operating system; Mem keeps files in memory and can simulate a crash
// of the host, which loses unsynced data.
package fsys

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is a file open for writing at its end.
type File interface {
	io.Writer
	io.Closer
	// Sync returns once the file's contents are durable.
	Sync() error
}

// FS is a file system. Names are paths.
type FS interface {
	MkdirAll(dir string) error
	// Create opens an empty file, replacing one of the same name.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// List returns the base names of the files in dir, sorted.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	Truncate(name string, size int64) error
	// Lock locks a file until the returned Closer is closed or the process ends. It
	// fails with ErrLocked if the file is already locked.
	Lock(name string) (io.Closer, error)
	// SyncDir makes creations, renames and removals in dir durable.
	SyncDir(dir string) error
}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OS is the operating system's file system.
type OS struct{}

// MkdirAll implements FS. The folder and its new parent folders are durable on return.
func (OS) MkdirAll(dir string) error {
	dir = filepath.Clean(dir)
	if info, err := os.Stat(dir); err == nil {
		if !info.IsDir() {
			return fmt.Errorf("%s is not a folder: choose another data folder", dir)
		}
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := (OS{}).MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, dirMode); err != nil && !os.IsExist(err) {
		return err
	}
	return OS{}.SyncDir(parent)
}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// Truncate implements FS. The new size is durable on return.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// ErrLocked reports that another process, or another part of this one, holds a folder's lock.
var ErrLocked = errors.New("folder is in use: stop the other process or choose another data folder")

// Lock implements FS.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("lock %s: %w", name, err)
	}
	return f, nil
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// WriteFile atomically replaces a file's contents with the concatenated parts: after a
// crash it holds either the old or the new contents. The new ones are durable on return.
func WriteFile(fs FS, name string, parts ...[]byte) error {
	temp := name + TempSuffix
	f, err := fs.Create(temp)
	if err != nil {
		return err
	}
	err = writeParts(f, parts)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := fs.Rename(temp, name); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(name))
}

func writeParts(f File, parts [][]byte) error {
	for _, part := range parts {
		if _, err := f.Write(part); err != nil {
			return err
		}
	}
	return f.Sync()
}

// UnexpectedFileError reports a file in the data folder that this program did not create.
type UnexpectedFileError struct{ Name string }

// Error implements error.
func (e *UnexpectedFileError) Error() string {
	return fmt.Sprintf("unexpected file %s: move it out of the data folder", e.Name)
}

// TempSuffix is the suffix of files that WriteFile has not yet completed.
const TempSuffix = ".tmp"
