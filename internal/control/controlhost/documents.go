package controlhost

import (
	"context"
	"fmt"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/process/saturate"
	"filberthook/internal/replication/document"
)

// confirmTimeout bounds the wait for a quorum when an entry host asks for its first
// configuration.
const confirmTimeout = 200 * time.Millisecond

// serveDocument returns the configuration in force here. A confirmed one is the one that was
// read with a quorum.
func (h *Host) serveDocument(ctx context.Context, req controlapi.DocumentRequest) (controlapi.DocumentResponse, error) {
	if req.Confirm && req.VersionOnly && req.MaxAgeMS > 0 {
		d, age, confirmed := h.confirms.newest(ctx, saturate.Milliseconds(float64(req.MaxAgeMS)))
		return controlapi.DocumentResponse{
			Packed: document.Packed{Version: d.Version}, Confirmed: confirmed, ConfirmedAgeMS: wholeMilliseconds(age),
		}, nil
	}
	d, confirmed := document.Document{}, false
	if req.Confirm {
		d, confirmed = h.confirmedNewest(ctx)
	}
	if !confirmed {
		d = h.documentInForce()
	}
	if req.VersionOnly {
		return controlapi.DocumentResponse{Packed: document.Packed{Version: d.Version}, Confirmed: confirmed}, nil
	}
	packed, err := h.packedDocument(d)
	return controlapi.DocumentResponse{Packed: packed, Confirmed: confirmed}, err
}

// wholeMilliseconds rounds up.
func wholeMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

func (h *Host) documentInForce() document.Document {
	h.mu.Lock()
	defer h.mu.Unlock()
	return document.Document{Version: h.version, Body: h.body}
}

// confirmedNewest waits until this host has applied what is committed in the group. It reports
// false where no leader with a quorum confirms that in time.
func (h *Host) confirmedNewest(ctx context.Context) (document.Document, bool) {
	if h.membership.leader() == "" {
		return document.Document{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	d, err := h.membership.linearizableRead(ctx)
	return d, err == nil
}

// packedDocument returns a document in packed form. The last one is kept, because all entry
// hosts request it at about the same time.
func (h *Host) packedDocument(d document.Document) (document.Packed, error) {
	if opened := h.membership.current.Load(); opened != nil {
		if packed, ok := opened.machine.Packed(d.Version); ok {
			return packed, nil
		}
	}
	h.packMu.Lock()
	defer h.packMu.Unlock()
	if h.packed.Version != d.Version {
		packed, err := document.Pack(d)
		if err != nil {
			return document.Packed{}, fmt.Errorf("configuration %d not packed: %w", d.Version, err)
		}
		h.packed = packed
	}
	return h.packed, nil
}
