package controlapi

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/network/netopt"
	"filberthook/internal/network/peer"
)

// PeerOptions returns the options of connections between hosts that find each other
// through seeds.
func PeerOptions(self peer.Identity, trustedNetwork bool, set *metrics.Set, logger *slog.Logger) peer.Options {
	return peer.Options{
		Self:            self,
		TrustedNetwork:  trustedNetwork,
		DropOnTimeout:   true,
		MaxMessageBytes: MaxMessageBytes,
		DialTimeout:     netopt.DialTimeout,
		Dial:            netopt.Dial,
		RedialDelay:     netopt.RedialDelay,
		Metrics:         set,
		Logger:          logger,
	}
}
