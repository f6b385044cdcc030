package fsys

import (
	"fmt"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"sync"
)

// Mem is an in-memory file system. File.Sync makes contents durable and SyncDir makes
// names durable; Crash drops everything else. It is safe for concurrent use.
type Mem struct {
	mu         sync.Mutex
	files      map[string]*memFile // as the running process sees them
	durable    map[string]*memFile // names that survive a crash
	locks      map[string]*memLock
	ignoreSync bool
	failSync   error
}

type memFile struct {
	data   []byte
	synced int // bytes that survive a crash
}

// NewMem returns an empty file system.
func NewMem() *Mem {
	return &Mem{files: map[string]*memFile{}, durable: map[string]*memFile{}, locks: map[string]*memLock{}}
}

// IgnoreSync makes all later calls of File.Sync succeed without effect.
func (m *Mem) IgnoreSync() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ignoreSync = true
}

// FailSync makes all later calls of File.Sync return err; nil restores normal operation.
func (m *Mem) FailSync(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failSync = err
}

// Crash discards unsynced data, except that keep(n) of the n unsynced bytes at the end
// of each file survive, as a torn write. A nil keep discards all of them. Later writes
// to files that are still open have no effect.
func (m *Mem) Crash(keep func(unsynced int) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := make(map[string]*memFile, len(m.durable))
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		f := m.durable[name]
		size := f.synced
		if unsynced := len(f.data) - size; keep != nil && unsynced > 0 {
			size += keep(unsynced)
		}
		after[name] = &memFile{data: slices.Clone(f.data[:size]), synced: size}
	}
	m.files = after
	clear(m.locks)
	m.durable = maps.Clone(after)
}

// Corrupt inverts one byte of a file.
func (m *Mem) Corrupt(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[name].data[offset] ^= 0xff
}

// MkdirAll implements FS. It does nothing: folders exist implicitly.
func (m *Mem) MkdirAll(string) error { return nil }

// Create implements FS.
func (m *Mem) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &memFile{}
	m.files[name] = f
	return &memHandle{fs: m, file: f}, nil
}

// Append implements FS.
func (m *Mem) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, err := m.find("append", name)
	if err != nil {
		return nil, err
	}
	return &memHandle{fs: m, file: f}, nil
}

// find returns the named file. The caller holds m.mu.
func (m *Mem) find(op, name string) (*memFile, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, &fs.PathError{Op: op, Path: name, Err: fs.ErrNotExist}
	}
	return f, nil
}

// ReadFile implements FS.
func (m *Mem) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, err := m.find("read", name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(f.data), nil
}

// List implements FS.
func (m *Mem) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.files {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Rename implements FS.
func (m *Mem) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, err := m.find("rename", from)
	if err != nil {
		return err
	}
	delete(m.files, from)
	m.files[to] = f
	return nil
}

// Remove implements FS.
func (m *Mem) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.find("remove", name); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

// Truncate implements FS.
func (m *Mem) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, err := m.find("truncate", name)
	if err != nil {
		return err
	}
	f.data = f.data[:min(int(size), len(f.data))]
	f.synced = len(f.data)
	return nil
}

type memLock struct {
	fs   *Mem
	name string
}

// Lock implements FS. A crash releases all locks.
func (m *Mem) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locks[name] != nil {
		return nil, fmt.Errorf("lock %s: %w", name, ErrLocked)
	}
	l := &memLock{fs: m, name: name}
	m.locks[name] = l
	return l, nil
}

// Close releases the lock.
func (l *memLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.fs.locks[l.name] == l {
		delete(l.fs.locks, l.name)
	}
	return nil
}

// SyncDir implements FS.
func (m *Mem) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	inDir := func(name string, _ *memFile) bool { return filepath.Dir(name) == filepath.Clean(dir) }
	maps.DeleteFunc(m.durable, inDir)
	for name, f := range m.files {
		if inDir(name, f) {
			m.durable[name] = f
		}
	}
	return nil
}

type memHandle struct {
	fs   *Mem
	file *memFile
}

// Write implements io.Writer.
func (h *memHandle) Write(p []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	h.file.data = append(h.file.data, p...)
	return len(p), nil
}

// Sync implements File.
func (h *memHandle) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.fs.failSync != nil {
		return h.fs.failSync
	}
	if !h.fs.ignoreSync {
		h.file.synced = len(h.file.data)
	}
	return nil
}

// Close implements io.Closer.
func (h *memHandle) Close() error { return nil }
