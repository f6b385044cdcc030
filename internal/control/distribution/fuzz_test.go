package distribution

import (
	"encoding/json"
	"testing"

	"filberthook/internal/engines/fleet"
)

// FuzzNext applies any response to a watcher at revision 4, which must not return to
// an older revision or put a revision in force that differs from the response's.
func FuzzNext(f *testing.F) {
	f.Add([]byte(`{"revision":5,"deltas":[{"revision":5,"teams":{"a":{"name":"a"}}}]}`))
	f.Add([]byte(`{"revision":9,"configuration":{"revision":9,"endpoints":{"e":{"name":"e"}}}}`))
	f.Add([]byte(`{"revision":3,"behind":true}`))
	f.Add([]byte(`{"revision":9,"configuration":{"revision":2}}`))
	f.Add([]byte(`{"revision":9,"configuration":{"revision":10}}`))
	f.Add([]byte(`{"revision":9,"deltas":[{"revision":7},{"revision":9}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var resp WatchResponse
		if json.Unmarshal(data, &resp) != nil {
			return
		}
		current := fleet.NewSnapshot(fleet.Configuration{Revision: 4})
		got, err := nextSnapshot(current, resp)
		if got.Revision < current.Revision {
			t.Fatalf("went back to revision %d", got.Revision)
		}
		if err != nil && got != current {
			t.Fatalf("a refused answer came into force: %v", err)
		}
		if got != current && got.Revision != resp.Revision {
			t.Fatalf("revision %d came into force, the answer names %d", got.Revision, resp.Revision)
		}
	})
}

// FuzzDecodeStored decodes any data as the stored configuration.
func FuzzDecodeStored(f *testing.F) {
	f.Add([]byte(`{"version":1,"sha256":"","configuration":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := decodeStored(data); err == nil && !json.Valid(data) {
			t.Error("a file that is not JSON was taken")
		}
	})
}
