package dirlock

import (
	"errors"
	"path/filepath"
	"testing"
)

func TestOneHolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	first, err := Acquire(dir)
	if err != nil {
		t.Fatal(err)
	}
	var held *HeldError
	if _, err := Acquire(dir); !errors.As(err, &held) {
		t.Errorf("second lock: %v, want a HeldError", err)
	}
	if err := first.Release(); err != nil {
		t.Fatal(err)
	}
	again, err := Acquire(dir)
	if err != nil {
		t.Fatalf("after the release: %v", err)
	}
	if err := again.Release(); err != nil {
		t.Error(err)
	}
}
