// Package dirlock keeps a data folder to one process at a time. The lock ends
// with the process, however it ends.
package dirlock

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// fileName is the name of the locked file in the folder.
const fileName = "LOCK"

// HeldError refuses a folder that another process uses.
type HeldError struct{ Dir string }

func (e *HeldError) Error() string {
	return fmt.Sprintf("data folder %s is in use by another process: stop it, or give each process a folder of its own", e.Dir)
}

// Lock is a held lock.
type Lock struct{ file *os.File }

// Acquire creates the folder if need be and locks it. The error is a
// *HeldError when another process holds the lock.
func Acquire(dir string) (*Lock, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, fileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return &Lock{file: f}, nil
	}
	f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, &HeldError{Dir: dir}
	}
	return nil, fmt.Errorf("lock data folder %s: %w", dir, err)
}

// Release gives the lock back.
func (l *Lock) Release() error { return l.file.Close() }
