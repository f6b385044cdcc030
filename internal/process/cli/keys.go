package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/control/keys"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/network/peer"
)

func (a *app) addKey(parser *kingpin.Application) {
	parent := parser.Command("key", "Make bearer keys of operators and teams.")
	a.command(parent.Command("new", "Make a key and show it with its sum. Only the sum goes into settings and changes."), func(context.Context) error {
		key, sum := fleet.NewKey()
		if a.options.output == outputJSON {
			return a.printJSON(newKey{Key: key, SHA256: string(sum)})
		}
		fmt.Fprintf(a.out, "key     %s\nsha256  %s\n", key, sum)
		return nil
	})
}

// newKey is the JSON form of a new key.
type newKey struct {
	Key    string `json:"key"`
	SHA256 string `json:"sha256"`
}

func (a *app) addKeys(parser *kingpin.Application) {
	parent := parser.Command("keys", "Make and check the certificates for TLS between hosts.")
	ca := parent.Command("ca", "Make the CA of the deployment: ca.pem for every host, ca.key to be kept apart.")
	caDir := ca.Flag("dir", "Folder to write to.").Default("keys").String()
	a.command(ca, func(context.Context) error { return a.newCA(*caDir) })

	host := parent.Command("host", "Issue the certificate of a host.")
	name := host.Arg("host", "Name of the host, as in its settings.").Required().String()
	zone := host.Flag("zone", "Availability zone of the host, as in its settings.").Required().String()
	roles := host.Flag("role", "What the host runs: entry or control; repeat it for both.").Required().Enums(string(peer.RoleEntry), string(peer.RoleControl))
	addresses := host.Flag("ip", "IP number that the host is dialed at; repeat it for more.").Required().IPList()
	hostDir := host.Flag("dir", "Folder with the CA, to write to.").Default("keys").String()
	a.command(host, func(context.Context) error {
		h := keys.Host{Name: *name, Zone: *zone, Addresses: *addresses}
		for _, role := range *roles {
			h.Roles = append(h.Roles, peer.Role(role))
		}
		return a.newHost(*hostDir, h)
	})

	gossip := parent.Command("gossip", "Make the key that entry hosts sign their packets with; the same file goes to every entry host.")
	gossipFile := gossip.Flag("file", "File to write.").Default("keys/gossip.key").String()
	a.command(gossip, func(context.Context) error { return a.newGossipKey(*gossipFile) })

	check := parent.Command("check", "Show when certificates end.")
	files := check.Arg("file", "Certificate files.").Required().Strings()
	a.command(check, func(context.Context) error { return a.checkKeys(*files) })
}

func (a *app) newCA(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return usage("make the folder: %w; correct --dir", err)
	}
	pair, err := keys.NewCA("filberthook", time.Now())
	if err != nil {
		return err
	}
	if err := pair.Write(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key")); err != nil {
		return usage("%w", err)
	}
	fmt.Fprintf(a.out, "wrote ca.pem and ca.key to %s\n", dir)
	return nil
}

func (a *app) newHost(dir string, host keys.Host) error {
	ca, err := readPair(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key"))
	if err != nil {
		return err
	}
	pair, err := keys.NewHost(ca, host, time.Now())
	if err != nil {
		return usage("%w", err)
	}
	certificate, key := filepath.Join(dir, host.Name+".pem"), filepath.Join(dir, host.Name+".key")
	if err := pair.Write(certificate, key); err != nil {
		return usage("%w", err)
	}
	fmt.Fprintf(a.out, "wrote %s and %s\n", certificate, key)
	return nil
}

func (a *app) newGossipKey(file string) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
		return usage("make the folder: %w; correct --file", err)
	}
	if err := keys.WriteShared(file); err != nil {
		return usage("%w", err)
	}
	fmt.Fprintf(a.out, "wrote %s\n", file)
	return nil
}

func readPair(certificate, key string) (keys.Pair, error) {
	var p keys.Pair
	var err error
	if p.Certificate, err = os.ReadFile(certificate); err != nil {
		return p, usage("read the CA: %w; make one with `filberthook keys ca`", err)
	}
	if p.Key, err = os.ReadFile(key); err != nil {
		return p, usage("read the CA: %w; make one with `filberthook keys ca`", err)
	}
	return p, nil
}

// certificateStatus describes a certificate and when it expires.
type certificateStatus struct {
	File    string    `json:"file"`
	Host    string    `json:"host"`
	Ends    time.Time `json:"ends"`
	Warning bool      `json:"warning"`
}

// checkKeys prints when each certificate expires and fails if one has expired or
// expires soon.
func (a *app) checkKeys(files []string) error {
	var all []certificateStatus
	warned := 0
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return usage("read the certificate: %w; correct the file name", err)
		}
		certificate, err := keys.ParseCertificate(data)
		if err != nil {
			return usage("%s: %w", file, err)
		}
		s := certificateStatus{File: file, Host: certificate.Subject.CommonName, Ends: certificate.NotAfter,
			Warning: keys.Expiring(certificate.NotAfter, time.Now())}
		if s.Warning {
			warned++
		}
		all = append(all, s)
	}
	if err := a.printCertificates(all); err != nil {
		return err
	}
	if warned > 0 {
		return fmt.Errorf("%d certificates have ended or end within %d days; issue new ones with `filberthook keys host`",
			warned, int(keys.WarnBefore.Hours()/24))
	}
	return nil
}

func (a *app) printCertificates(all []certificateStatus) error {
	if a.options.output == outputJSON {
		return a.printJSON(all)
	}
	var rows [][]string
	for _, s := range all {
		rows = append(rows, []string{s.File, s.Host, s.Ends.UTC().Format(time.RFC3339), yesNo(s.Warning)})
	}
	a.table("FILE HOST ENDS WARNING", rows)
	return nil
}
