package fsys

import (
	"path/filepath"
	"slices"
	"testing"
)

func write(t *testing.T, fs FS, name, data string, sync bool) {
	t.Helper()
	f, err := fs.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte(data)); err != nil {
		t.Fatal(err)
	}
	if sync {
		if err := f.Sync(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestCrashLosesUnsyncedData(t *testing.T) {
	cases := []struct {
		name     string
		sync     bool
		syncDir  bool
		keep     func(int) int
		want     string
		survives bool
	}{
		{"nothing synced", false, false, nil, "", false},
		{"only contents synced", true, false, nil, "", false},
		{"only the name synced", false, true, nil, "", true},
		{"only the name synced, torn", false, true, func(n int) int { return n / 2 }, "abc", true},
		{"both synced", true, true, nil, "abcdef", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fs := NewMem()
			write(t, fs, "d/f", "abcdef", c.sync)
			if c.syncDir {
				if err := fs.SyncDir("d"); err != nil {
					t.Fatal(err)
				}
			}
			fs.Crash(c.keep)
			data, err := fs.ReadFile("d/f")
			if (err == nil) != c.survives || string(data) != c.want {
				t.Errorf("read %q, error %v", data, err)
			}
		})
	}
}

// Mem and OS must behave the same.
func TestFileSystemsAgree(t *testing.T) {
	for _, c := range []struct {
		name string
		fs   FS
		dir  string
	}{{"mem", NewMem(), "d"}, {"os", OS{}, filepath.Join(t.TempDir(), "a", "b")}} {
		t.Run(c.name, func(t *testing.T) {
			if err := c.fs.MkdirAll(c.dir); err != nil {
				t.Fatal(err)
			}
			name := filepath.Join(c.dir, "f")
			write(t, c.fs, name, "old contents", true)
			if err := WriteFile(c.fs, name, []byte("new "), []byte("contents")); err != nil {
				t.Fatal(err)
			}
			if err := c.fs.Truncate(name, 3); err != nil {
				t.Fatal(err)
			}
			f, err := c.fs.Append(name)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := f.Write([]byte("er")); err != nil {
				t.Fatal(err)
			}
			if err := f.Close(); err != nil {
				t.Fatal(err)
			}
			if data, err := c.fs.ReadFile(name); err != nil || string(data) != "newer" {
				t.Errorf("read %q, %v", data, err)
			}
			if names, err := c.fs.List(c.dir); err != nil || !slices.Equal(names, []string{"f"}) {
				t.Errorf("list %v, %v", names, err)
			}
			if err := c.fs.Remove(name); err != nil {
				t.Fatal(err)
			}
			if _, err := c.fs.ReadFile(name); err == nil {
				t.Error("removed file was read")
			}
		})
	}
}
