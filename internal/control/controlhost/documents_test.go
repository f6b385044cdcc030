package controlhost

import (
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/replication/document"
)

// The process had version 9 in force in a group that its own has replaced.
func TestConfirmedConfigurationIsTheOneThatWasReadWithAQuorum(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	h := g.start(1, true)
	accept(t, h, 1, "one")
	waitForRead(t, h, 1, "one")
	h.configurationChanged(document.Document{Version: 9, Body: []byte("nine")})
	var resp controlapi.DocumentResponse
	eventually(t, 10*time.Second, "a confirmed answer", func() bool {
		var err error
		resp, err = h.serveDocument(t.Context(), controlapi.DocumentRequest{Confirm: true})
		return err == nil && resp.Confirmed
	})
	if d, err := resp.Unpack(); err != nil || d.Version != 1 || string(d.Body) != "one" {
		t.Errorf("confirmed version %d %q, %v; want 1", d.Version, d.Body, err)
	}
	short, err := h.serveDocument(t.Context(), controlapi.DocumentRequest{Confirm: true, VersionOnly: true})
	if err != nil || !short.Confirmed || short.Version != 1 || short.Deflate != nil {
		t.Errorf("version only: %+v, %v; want 1, confirmed, without body", short, err)
	}
}
