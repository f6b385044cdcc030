package controlapi

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"filberthook/internal/engines/instances"
)

const (
	// packFrom is the size of changes from which compression is worth its work.
	packFrom = 8 << 10
	// maxUnpacked bounds what changes are decompressed to.
	maxUnpacked = 2 * instances.MaxPageBytes
)

// PackedError reports packed changes that cannot be read.
type PackedError struct{ Err error }

// Error implements error.
func (e *PackedError) Error() string {
	return fmt.Sprintf("packed changes of a control host not read: %v; the control host is of another version", e.Err)
}

// Unwrap returns the cause.
func (e *PackedError) Unwrap() error { return e.Err }

var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // fails for an unknown level only
	return w
}}

// Pack compresses the changes if they are many. Messages are read and checked several times on
// their way, which takes most of the time of a large one.
func (r *WatchResponse) Pack() error {
	size := 0
	for i := range r.Changes {
		size += r.Changes[i].EncodedBytes()
	}
	if size < packFrom {
		return nil
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if err := json.NewEncoder(w).Encode(r.Changes); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	r.Changes, r.Packed = nil, out.Bytes()
	return nil
}

// Unpack undoes Pack. It returns a *PackedError for what Pack has not made.
func (r *WatchResponse) Unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Packed)), maxUnpacked))
	if err != nil {
		return &PackedError{err}
	}
	var changes Changes
	if err := changes.UnmarshalJSON(text); err != nil {
		return &PackedError{err}
	}
	r.Changes, r.Packed = changes, nil
	return nil
}
