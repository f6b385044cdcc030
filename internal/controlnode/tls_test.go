package controlnode

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/authority"
	"filberthook/internal/keys"
	"filberthook/internal/lease"
	"filberthook/internal/peer"
	"filberthook/internal/settings"
	"filberthook/internal/testnet"
)

// issuer issues certificates into a folder.
type issuer struct {
	t   *testing.T
	dir string
	ca  keys.Pair
}

func newIssuer(t *testing.T) *issuer {
	t.Helper()
	ca, err := keys.NewCA("test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return &issuer{t: t, dir: t.TempDir(), ca: ca}
}

// tls returns the settings of a host with a new certificate for its address.
func (i *issuer) tls(host, address string) settings.TLS {
	i.t.Helper()
	ip := netip.MustParseAddrPort(address).Addr().AsSlice()
	pair, err := keys.NewHost(i.ca, host, []net.IP{ip}, time.Now())
	if err != nil {
		i.t.Fatal(err)
	}
	s := settings.TLS{
		CA:          filepath.Join(i.dir, "ca.pem"),
		Certificate: filepath.Join(i.dir, host+".pem"),
		Key:         filepath.Join(i.dir, host+".key"),
	}
	for file, data := range map[string][]byte{s.CA: i.ca.Certificate, s.Certificate: pair.Certificate, s.Key: pair.Key} {
		if err := os.WriteFile(file, data, 0o600); err != nil {
			i.t.Fatal(err)
		}
	}
	return s
}

// call asks a node for a lease as a host with a certificate of this issuer.
func (i *issuer) call(address, host string) (lease.Result, error) {
	i.t.Helper()
	s := i.tls(host, testnet.String())
	files := keys.Files{CA: s.CA, Certificate: s.Certificate, Key: s.Key}
	source, err := keys.Open(files, slog.New(slog.DiscardHandler), metrics.NewSet())
	if err != nil {
		i.t.Fatal(err)
	}
	client := peer.NewClient(address, peer.Options{Self: peer.Identity{Host: host, Zone: "z1"}, TLS: source.Config()})
	defer client.Close()
	cmd := lease.Command{Kind: lease.Acquire, Holder: lease.Holder{Session: "s"}, TTL: time.Minute}
	var result lease.Result
	err = client.Call(context.Background(), authority.MethodLease, cmd, &result)
	return result, err
}

// TestClusterOverTLS runs the replicated log and the calls of hosts over mutual
// TLS. A lease is granted only if the replicas reach each other.
func TestClusterOverTLS(t *testing.T) {
	t.Parallel()
	own, strangers := newIssuer(t), newIssuer(t)
	c := startClusterWith(t, 3, own.tls)
	address := c.nodes[1].settings.Listen.Peers
	if got, err := own.call(address, "e1"); err != nil || got.Fence != 1 {
		t.Errorf("a host of the deployment got %+v, %v", got, err)
	}
	if _, err := strangers.call(address, "e2"); err == nil {
		t.Error("a host with a certificate of another CA was served")
	}
	plain := c.peer(1, "e3")
	if err := plain.Call(t.Context(), authority.MethodLease, lease.Command{}, nil); err == nil {
		t.Error("a host without TLS was served")
	}
}
