// Package buildinfo reports the build of the running program.
package buildinfo

import (
	"fmt"
	"runtime/debug"

	"filberthook/internal/network/membership"
	"filberthook/internal/network/peer"

	"github.com/VictoriaMetrics/metrics"
)

// Version returns the module version and the revision of the source, as far as
// the build recorded them.
func Version() (version, revision string) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown", "unknown"
	}
	version, revision = info.Main.Version, "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	return version, revision
}

// Register adds a gauge of value 1 whose labels name the build and the protocol
// versions that it supports.
func Register(set *metrics.Set) {
	version, revision := Version()
	name := fmt.Sprintf(`filberthook_build_info{version=%q,revision=%q,peer_protocol="%d-%d",gossip_protocol="%d"}`,
		version, revision, peer.ProtocolMin, peer.ProtocolMax, membership.ProtocolVersion)
	set.GetOrCreateGauge(name, func() float64 { return 1 })
}
