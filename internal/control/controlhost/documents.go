package controlhost

import (
	"context"
	"fmt"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/replication/document"
)

// confirmTimeout bounds the wait for a quorum when an entry host asks for its first
// configuration.
const confirmTimeout = 200 * time.Millisecond

// serveDocument returns the configuration in force here.
func (h *Host) serveDocument(ctx context.Context, req controlapi.DocumentRequest) (controlapi.DocumentResponse, error) {
	confirmed := req.Confirm && h.confirmNewest(ctx)
	packed, err := h.packedDocument()
	return controlapi.DocumentResponse{Packed: packed, Confirmed: confirmed}, err
}

// confirmNewest waits until this host has applied what is committed in the group. It reports
// false where no leader with a quorum confirms that in time.
func (h *Host) confirmNewest(ctx context.Context) bool {
	if h.membership.leader() == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := h.membership.linearizableRead(ctx)
	return err == nil
}

// packedDocument returns the configuration in force in packed form. It is packed once,
// because all entry hosts request it at about the same time.
func (h *Host) packedDocument() (document.Packed, error) {
	h.packMu.Lock()
	defer h.packMu.Unlock()
	h.mu.Lock()
	d := document.Document{Version: h.version, Body: h.body}
	h.mu.Unlock()
	if h.packed.Version != d.Version {
		packed, err := document.Pack(d)
		if err != nil {
			return document.Packed{}, fmt.Errorf("configuration %d not packed: %w", d.Version, err)
		}
		h.packed = packed
	}
	return h.packed, nil
}
