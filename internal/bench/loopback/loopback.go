// Package loopback provides loopback addresses on which in-process deployments and tests can
// listen again after a stop. Each address has its own IP address, so that neither other
// tests nor the source ports of connections can take it in the meantime.
package loopback

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// port is the port of all addresses; the IP addresses differ.
const port = 7101

// Bits of the IP address after the first byte, 127: the process, then a counter.
const (
	counterBits = 12
	processBits = 12
)

// issued counts the addresses that this process has issued.
var issued atomic.Uint32

// Address returns an address that is not among the last 4095 issued by this process.
func Address() netip.AddrPort {
	process := uint32(os.Getpid())%(1<<processBits-1) + 1 // not 0, so never 127.0.0.x
	n := issued.Add(1) % (1 << counterBits)
	bits := process<<counterBits | n
	ip := netip.AddrFrom4([4]byte{127, byte(bits >> 16), byte(bits >> 8), byte(bits)})
	return netip.AddrPortFrom(ip, port)
}

// String returns a new Address as text, for settings.
func String() string { return Address().String() }
