// Package peer carries JSON-RPC 2.0 calls between the system's own processes
// over TCP, with mutual TLS outside loopback. It limits message sizes, calls in
// flight and waiting times, and refuses unauthenticated peers and unsupported protocol
// versions.
//
// It does not interpret calls and does not retry them.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Protocol versions that this build supports. Both ends use the highest version that
// both support; without one the server refuses the connection.
const (
	ProtocolMin = 1
	ProtocolMax = 1
)

// Default limits of a connection.
const (
	DefaultMaxMessageBytes  = 8 << 20
	DefaultMaxCalls         = 256
	DefaultMaxConnections   = 1024
	DefaultDialTimeout      = 2 * time.Second
	DefaultWriteTimeout     = 5 * time.Second
	DefaultHandshakeTimeout = 3 * time.Second
	DefaultCallTimeout      = 10 * time.Second
	DefaultRedialDelay      = 200 * time.Millisecond
)

// Role is what a process with a certificate may do.
type Role string

// Roles of processes.
const (
	RoleEntry   Role = "entry"   // entry hosts: watch, claim, hold their zone's lease
	RoleControl Role = "control" // control replicas: also all calls between replicas
)

// Identity names the process at the other end of a connection.
type Identity struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Verified bool   `json:"-"` // host, zone and roles come from a client certificate
	Roles    []Role `json:"-"` // of the certificate
}

// Require returns an error unless the process has a role. Without TLS, on
// loopback, every process has all roles.
func (i Identity) Require(role Role) error {
	if !i.Verified || slices.Contains(i.Roles, role) {
		return nil
	}
	return &RoleError{Host: i.Host, Role: role}
}

// RoleError reports a call of a process whose certificate lacks the required role.
type RoleError struct {
	Host string `json:"host"`
	Role Role   `json:"role"`
}

func (e *RoleError) Error() string {
	return fmt.Sprintf("the certificate of host %q lacks the role %s: issue one with it", e.Host, e.Role)
}

// RPCCode implements CodedError.
func (e *RoleError) RPCCode() int64 { return CodeIdentity }

// certIdentity returns the identity in a host certificate of package keys: the common
// name is the host, the organisational unit its zone, the organisations its roles.
func certIdentity(cert *x509.Certificate) Identity {
	id := Identity{Host: cert.Subject.CommonName, Verified: true}
	if units := cert.Subject.OrganizationalUnit; len(units) == 1 {
		id.Zone = units[0]
	}
	for _, role := range cert.Subject.Organization {
		id.Roles = append(id.Roles, Role(role))
	}
	return id
}

// Options are the settings of a server or client. Zero values take defaults.
type Options struct {
	Self            Identity
	TLS             *tls.Config // nil allows plaintext, on loopback only
	TrustedNetwork  bool        // allows plaintext outside loopback too
	DropOnTimeout   bool        // a call that times out ends the client's connection
	MaxMessageBytes int
	MaxCalls        int // calls served at once per connection
	MaxConnections  int // connections served at once
	DialTimeout     time.Duration
	WriteTimeout    time.Duration
	CallTimeout     time.Duration // used when the context has no deadline
	RedialDelay     time.Duration // pause after a failed dial; calls fail at once meanwhile
	Metrics         *metrics.Set
	Logger          *slog.Logger
	Dial            func(network, address string, timeout time.Duration) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	setInt(&o.MaxMessageBytes, DefaultMaxMessageBytes)
	setInt(&o.MaxCalls, DefaultMaxCalls)
	setInt(&o.MaxConnections, DefaultMaxConnections)
	setDuration(&o.DialTimeout, DefaultDialTimeout)
	setDuration(&o.WriteTimeout, DefaultWriteTimeout)
	setDuration(&o.CallTimeout, DefaultCallTimeout)
	setDuration(&o.RedialDelay, DefaultRedialDelay)
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Dial == nil {
		o.Dial = net.DialTimeout
	}
	return o
}

func setInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

func setDuration(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}

// allowPlaintext returns an error for addresses outside loopback unless TrustedNetwork is set.
func (o Options) allowPlaintext(addr net.Addr) error {
	if o.TrustedNetwork {
		return nil
	}
	return requireLoopback(addr)
}

// requireLoopback returns a PlaintextError unless addr is a loopback address.
func requireLoopback(addr net.Addr) error {
	tcp, ok := addr.(*net.TCPAddr)
	if ok && tcp.IP.IsLoopback() {
		return nil
	}
	return &PlaintextError{Address: addr.String()}
}

// hello is the first call on a connection.
type hello struct {
	Identity
	ProtocolMin int `json:"protocol_min"`
	ProtocolMax int `json:"protocol_max"`
}

// welcome is the response to hello.
type welcome struct {
	Identity
	Protocol int `json:"protocol"`
}

const methodHello = "peer.hello"

// negotiate returns the highest protocol version that both sides support.
func negotiate(h hello) (int, error) {
	version := min(h.ProtocolMax, ProtocolMax)
	if version < ProtocolMin || version < h.ProtocolMin {
		return 0, &VersionError{TheirMin: h.ProtocolMin, TheirMax: h.ProtocolMax}
	}
	return version, nil
}

// PlaintextError reports a refused unencrypted connection outside loopback.
type PlaintextError struct{ Address string }

func (e *PlaintextError) Error() string {
	return fmt.Sprintf("plaintext to or from %s refused: set tls.ca, tls.certificate and tls.key, or use a loopback address", e.Address)
}

// VersionError reports a peer that supports none of this process's protocol versions.
type VersionError struct{ TheirMin, TheirMax int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("peer speaks protocol %d to %d, this process %d to %d: upgrade the older process first",
		e.TheirMin, e.TheirMax, ProtocolMin, ProtocolMax)
}

// UnreachableError reports that the call was not sent because no connection could be
// established.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s not reached, call not made: %v; try another peer", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Code    int64
	Message string
	Data    []byte // JSON detail, may be empty
}

func (e *RemoteError) Error() string { return e.Message }

// Codes of the errors that this package returns to callers.
const (
	CodeBusy       = -32001 // too many calls at once; try again later
	CodeNoHello    = -32002 // first call was not the handshake
	CodeApp        = 1      // a handler's error without a code of its own
	CodeVersion    = -32003
	CodeIdentity   = -32004
	CodeBadParams  = -32602
	CodeNoSuchCall = -32601
)
