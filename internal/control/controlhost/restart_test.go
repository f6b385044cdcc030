package controlhost

import (
	"testing"
	"time"
)

func TestHostThatRestartsAloneKnowsTheConfigurationThatWasInForce(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "one")
	accept(t, g.nodes[1].host, 2, "two")
	for n := 1; n <= 3; n++ {
		eventually(t, 5*time.Second, "version 2 in force", func() bool { return g.nodes[n].host.currentVersion() == 2 })
	}
	time.Sleep(time.Second)
	for n := 1; n <= 3; n++ {
		g.stop(n)
	}
	for n := 1; n <= 3; n++ {
		h := g.start(n, false)
		time.Sleep(500 * time.Millisecond)
		if got := h.currentVersion(); got != 2 {
			t.Errorf("host %d, alone after its restart, has version %d in force, want 2", n, got)
		}
		g.stop(n)
	}
}
