package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"time"

	"filberthook/internal/network/peer"
)

// Validity of certificates.
const (
	CAValidity   = 5 * 365 * 24 * time.Hour
	HostValidity = 365 * 24 * time.Hour
	backdate     = 5 * time.Minute // for hosts whose clock is behind
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewCA returns a new self-signed CA.
func NewCA(name string, now time.Time) (Pair, error) {
	key, err := newKey()
	if err != nil {
		return Pair{}, err
	}
	template, err := template(name, now, CAValidity)
	if err != nil {
		return Pair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	template.MaxPathLenZero = true
	return sign(template, template, key, key)
}

// Host describes the subject of a host certificate.
type Host struct {
	Name      string      // as in the host's settings; the common name
	Zone      string      // availability zone; the organisational unit
	Roles     []peer.Role // the organisations
	Addresses []net.IP    // at which other hosts dial this one
}

func (h Host) check() error {
	if h.Name == "" || h.Zone == "" || len(h.Addresses) == 0 || len(h.Roles) == 0 {
		return errors.New("a host certificate needs a host name, a zone, a role and an IP number; give them all")
	}
	for _, role := range h.Roles {
		if role != peer.RoleEntry && role != peer.RoleControl {
			return fmt.Errorf("role %q is unknown; use %s or %s", role, peer.RoleEntry, peer.RoleControl)
		}
	}
	return nil
}

// NewHost returns a new host certificate signed by a CA. Other hosts check its name,
// zone and roles.
func NewHost(ca Pair, host Host, now time.Time) (Pair, error) {
	if err := host.check(); err != nil {
		return Pair{}, err
	}
	parent, signer, err := ca.parse()
	if err != nil {
		return Pair{}, err
	}
	key, err := newKey()
	if err != nil {
		return Pair{}, err
	}
	template, err := template(host.Name, now, HostValidity)
	if err != nil {
		return Pair{}, err
	}
	template.Subject.OrganizationalUnit = []string{host.Zone}
	for _, role := range host.Roles {
		template.Subject.Organization = append(template.Subject.Organization, string(role))
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = host.Addresses
	return sign(template, parent, key, signer)
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make private key: %w", err)
	}
	return key, nil
}

func template(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, fmt.Errorf("draw serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, fmt.Errorf("sign certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("encode private key: %w", err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func (p Pair) parse() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificate, err := ParseCertificate(p.Certificate)
	if err != nil {
		return nil, nil, err
	}
	block, _ := pem.Decode(p.Key)
	if block == nil {
		return nil, nil, errors.New("the key file holds no PEM block; name the CA's key file")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("read private key: %w", err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !key.PublicKey.Equal(certificate.PublicKey) {
		return nil, nil, errors.New("the key does not belong to the certificate; name the files of the same CA")
	}
	return certificate, key, nil
}

// ParseCertificate returns the first certificate in a PEM file's content.
func ParseCertificate(data []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != "CERTIFICATE" {
		return nil, errors.New("the file holds no certificate in PEM; name a certificate file")
	}
	return x509.ParseCertificate(block.Bytes)
}

// Write writes a pair to new files; only their owner can read the key. If a file exists,
// it is left as it is and Write fails.
func (p Pair) Write(certificateFile, keyFile string) error {
	if err := writeNew(keyFile, p.Key, 0o600); err != nil {
		return err
	}
	return writeNew(certificateFile, p.Certificate, 0o644)
}

// sharedKeyBytes is the length of a secret key that hosts share.
const sharedKeyBytes = 32

// WriteShared writes a new random shared key in hexadecimal to a new file.
func WriteShared(file string) error {
	key := make([]byte, sharedKeyBytes)
	rand.Read(key) // never fails, see package crypto/rand
	return writeNew(file, []byte(hex.EncodeToString(key)+"\n"), 0o600)
}

func writeNew(file string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write key files (existing ones are kept, move them away first): %w", err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
