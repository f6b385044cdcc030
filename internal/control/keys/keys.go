// Package keys issues the CA certificate and the host certificates of a deployment, and
// loads them for mutual TLS. Changed files are loaded without a restart.
package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Timing of reloads and warnings.
const (
	ReloadInterval = 30 * time.Second
	// WarnBefore is the time before a certificate's expiry from which warnings are logged.
	WarnBefore = 30 * 24 * time.Hour
)

// Files names the PEM files of one host.
type Files struct {
	CA          string
	Certificate string
	Key         string
}

// Source provides the certificates of one host for TLS. It is safe for
// concurrent use.
type Source struct {
	files        Files
	logger       *slog.Logger
	roots        *x509.CertPool // for connections that this host dials; not reloaded
	current      atomic.Pointer[material]
	reloadErrors *metrics.Counter
}

// material is the content of the files at one load.
type material struct {
	certificate tls.Certificate
	leaf        *x509.Certificate
	roots       *x509.CertPool
}

// FileError reports a file that cannot be used.
type FileError struct {
	File string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string {
	return fmt.Sprintf("%s cannot be used: %v; make it again with `filberthook keys`", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Open loads the files.
func Open(files Files, logger *slog.Logger, set *metrics.Set) (*Source, error) {
	m, err := load(files)
	if err != nil {
		return nil, err
	}
	s := &Source{files: files, logger: logger, roots: m.roots, reloadErrors: set.GetOrCreateCounter("filberthook_keys_reload_errors_total")}
	s.current.Store(m)
	set.GetOrCreateGauge("filberthook_keys_certificate_end_seconds", func() float64 {
		return float64(s.current.Load().leaf.NotAfter.Unix())
	})
	return s, nil
}

func load(files Files) (*material, error) {
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, &FileError{File: files.CA, Err: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, &FileError{File: files.CA, Err: errors.New("it holds no certificate")}
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, &FileError{File: files.Certificate, Err: err}
	}
	leaf, err := x509.ParseCertificate(certificate.Certificate[0])
	if err != nil {
		return nil, &FileError{File: files.Certificate, Err: err}
	}
	return &material{certificate: certificate, leaf: leaf, roots: roots}, nil
}

// Config returns the configuration of mutual TLS between hosts, for servers and clients.
// It follows reloads, except that connections that this host dials use the CA that was
// loaded at the start.
func (s *Source) Config() *tls.Config {
	config := s.ServerConfig()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		next := s.ServerConfig()
		next.ClientAuth = tls.RequireAndVerifyClientCert
		next.ClientCAs = s.current.Load().roots
		return next, nil
	}
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &s.current.Load().certificate, nil
	}
	config.RootCAs = s.roots
	return config
}

// ServerConfig returns the configuration of a server that requires no client
// certificates. It follows reloads.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
	}
}

// Expires returns when the host certificate expires.
func (s *Source) Expires() time.Time { return s.current.Load().leaf.NotAfter }

// Reload loads the files again. After an error the certificates loaded before stay in use.
func (s *Source) Reload() error {
	m, err := load(s.files)
	if err != nil {
		s.reloadErrors.Inc()
		return err
	}
	s.current.Store(m)
	return nil
}

// Run reloads the files periodically and warns before the host certificate expires, until
// ctx ends.
func (s *Source) Run(ctx context.Context) error {
	ticker := time.NewTicker(ReloadInterval)
	defer ticker.Stop()
	for {
		s.warnIfExpiring(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := s.Reload(); err != nil {
			s.logger.Error("certificates not reloaded; those loaded before stay in use", "err", err)
		}
	}
}

func (s *Source) warnIfExpiring(now time.Time) {
	if Expiring(s.Expires(), now) {
		s.logger.Warn("the host certificate expires soon; issue another with `filberthook keys host`",
			"file", s.files.Certificate, "ends", s.Expires())
	}
}

// Expiring reports whether a certificate that expires at end is due for a warning.
func Expiring(end, now time.Time) bool { return now.Add(WarnBefore).After(end) }
