package controlnode

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/bench/loopback"
	"filberthook/internal/control/authority"
	"filberthook/internal/control/keys"
	"filberthook/internal/control/lease"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/settings"
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

// tls returns the TLS settings of a host with a new certificate for its address.
func (i *issuer) tls(host, zone, address string, role peer.Role) settings.TLS {
	i.t.Helper()
	ip := netip.MustParseAddrPort(address).Addr().AsSlice()
	pair, err := keys.NewHost(i.ca, keys.Host{Name: host, Zone: zone, Roles: []peer.Role{role}, Addresses: []net.IP{ip}}, time.Now())
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

// tlsFunc returns the TLS settings of a control host at an address.
type tlsFunc func(host, zone, address string) settings.TLS

// control implements tlsFunc.
func (i *issuer) control(host, zone, address string) settings.TLS {
	return i.tls(host, zone, address, peer.RoleControl)
}

// client returns a client of an entry host that has a certificate for zone z1 and claims
// to be in claimedZone.
func (i *issuer) client(address, host, claimedZone string) *peer.Client {
	i.t.Helper()
	s := i.tls(host, "z1", loopback.String(), peer.RoleEntry)
	files := keys.Files{CA: s.CA, Certificate: s.Certificate, Key: s.Key}
	source, err := keys.Open(files, slog.New(slog.DiscardHandler), metrics.NewSet())
	if err != nil {
		i.t.Fatal(err)
	}
	client := peer.NewClient(address, peer.Options{Self: peer.Identity{Host: host, Zone: claimedZone}, TLS: source.Config()})
	i.t.Cleanup(func() { client.Close() })
	return client
}

// acquire asks for the lease of zone z1.
func acquire(client *peer.Client) (lease.Result, error) {
	cmd := lease.Command{Kind: lease.Acquire, Holder: lease.Holder{Session: "s"}, TTL: time.Minute}
	var result lease.Result
	err := client.Call(context.Background(), authority.MethodLease, cmd, &result)
	return result, err
}

// TestClusterOverTLS runs the replicated log and the calls of hosts over mutual TLS. A
// lease is granted only if the replicas reach each other. Calls with a wrong certificate,
// zone or role, or without TLS, must fail.
func TestClusterOverTLS(t *testing.T) {
	t.Parallel()
	own, strangers := newIssuer(t), newIssuer(t)
	c := startClusterWith(t, 3, own.control)
	address := c.nodes[1].settings.Listen.Peers
	if got, err := acquire(own.client(address, "e1", "z1")); err != nil || got.Fence != 1 {
		t.Errorf("a host of the deployment got %+v, %v", got, err)
	}
	if _, err := acquire(strangers.client(address, "e2", "z1")); err == nil {
		t.Error("a host with a certificate of another CA was served")
	}
	if _, err := acquire(own.client(address, "e4", "z2")); err == nil {
		t.Error("a host that claims another zone than its certificate's was served")
	}
	var remote *peer.RemoteError
	entry := own.client(address, "e5", "z1")
	if err := entry.Call(t.Context(), methodMembers, membersRequest{}, nil); !errors.As(err, &remote) || remote.Code != peer.CodeIdentity {
		t.Errorf("call between replicas from an entry host: got %v, want a refusal", err)
	}
	plain := c.peer(1, "e3")
	if err := plain.Call(t.Context(), authority.MethodLease, lease.Command{}, nil); err == nil {
		t.Error("a host without TLS was served")
	}
}
