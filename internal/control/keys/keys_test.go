package keys

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/network/peer"
)

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

// write issues a host certificate, writes it to a folder and returns its files.
func write(t *testing.T, dir string, ca Pair, host string) Files {
	t.Helper()
	pair, err := NewHost(ca, Host{Name: host, Zone: "bio", Roles: []peer.Role{peer.RoleEntry}, Addresses: loopback}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	files := Files{
		CA:          filepath.Join(dir, host+"-ca.pem"),
		Certificate: filepath.Join(dir, host+".pem"),
		Key:         filepath.Join(dir, host+".key"),
	}
	for file, data := range map[string][]byte{files.CA: ca.Certificate, files.Certificate: pair.Certificate, files.Key: pair.Key} {
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func open(t *testing.T, files Files) *Source {
	t.Helper()
	s, err := Open(files, slog.New(slog.DiscardHandler), metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newCA(t *testing.T) Pair {
	t.Helper()
	ca, err := NewCA("test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// serve runs a peer server that answers "whoami" with the caller's host.
func serve(t *testing.T, s *Source) string {
	t.Helper()
	mux := peer.NewMux()
	peer.Handle(mux, "whoami", func(_ context.Context, from peer.Identity, _ struct{}) (string, error) { return from.Host, nil })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- peer.NewServer(peer.Options{TLS: s.Config()}, mux).Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return ln.Addr().String()
}

func whoami(t *testing.T, address string, s *Source, host string) (string, error) {
	t.Helper()
	client := peer.NewClient(address, peer.Options{TLS: s.Config(), Self: peer.Identity{Host: host, Zone: "bio"}})
	defer client.Close()
	var name string
	err := client.Call(context.Background(), "whoami", struct{}{}, &name)
	return name, err
}

func TestMutualTLS(t *testing.T) {
	dir := t.TempDir()
	ca, other := newCA(t), newCA(t)
	address := serve(t, open(t, write(t, dir, ca, "server")))
	member := open(t, write(t, dir, ca, "h1"))
	if name, err := whoami(t, address, member, "h1"); err != nil || name != "h1" {
		t.Errorf("member: got %q, %v", name, err)
	}
	if _, err := whoami(t, address, member, "h2"); err == nil {
		t.Error("a host with the name of another one was accepted")
	}
	if _, err := whoami(t, address, open(t, write(t, dir, other, "stranger")), "stranger"); err == nil {
		t.Error("a host of another CA was accepted")
	}
}

func TestReloadWithoutRestart(t *testing.T) {
	dir := t.TempDir()
	ca := newCA(t)
	files := write(t, dir, ca, "server")
	server := open(t, files)
	address := serve(t, server)
	before := server.current.Load().leaf.SerialNumber
	write(t, dir, ca, "server")
	if err := server.Reload(); err != nil {
		t.Fatal(err)
	}
	if server.current.Load().leaf.SerialNumber.Cmp(before) == 0 {
		t.Error("the certificate did not change")
	}
	if _, err := whoami(t, address, open(t, write(t, dir, ca, "h1")), "h1"); err != nil {
		t.Error(err)
	}
	if err := os.WriteFile(files.Certificate, []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := server.Reload(); err == nil {
		t.Error("a damaged certificate was loaded")
	}
	if _, err := whoami(t, address, open(t, write(t, dir, ca, "h2")), "h2"); err != nil {
		t.Errorf("the certificate loaded before is not in use: %v", err)
	}
}

func TestWriteKeepsExistingFiles(t *testing.T) {
	dir := t.TempDir()
	ca := newCA(t)
	certificate, key := filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key")
	if err := ca.Write(certificate, key); err != nil {
		t.Fatal(err)
	}
	if err := newCA(t).Write(certificate, key); err == nil {
		t.Error("an existing key was replaced")
	}
	info, err := os.Stat(key)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("key file mode %v, %v", info.Mode(), err)
	}
}

func TestExpiring(t *testing.T) {
	now := time.Now()
	if Expiring(now.Add(WarnBefore+time.Hour), now) || !Expiring(now.Add(WarnBefore-time.Hour), now) {
		t.Error("the warning does not start at WarnBefore before the certificate expires")
	}
}

func TestHostNeedsMatchingCAKey(t *testing.T) {
	mixed := Pair{Certificate: newCA(t).Certificate, Key: newCA(t).Key}
	if _, err := NewHost(mixed, Host{Name: "h", Zone: "bio", Roles: []peer.Role{peer.RoleEntry}, Addresses: loopback}, time.Now()); err == nil {
		t.Error("a key of another CA was accepted")
	}
}
