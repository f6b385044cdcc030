// Package loopback provides loopback addresses on which in-process deployments and tests can
// listen again after a stop. Each address has its own IP address, so that neither other
// tests nor the source ports of connections can take it in the meantime.
package loopback

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
)

// port is the port of all addresses; the IP addresses differ.
const port = 7101

// Bits of the IP address after the first byte, 127: the process, then a counter.
const (
	counterBits = 12
	processBits = 12
)

// guardNumber is the number of the address at which the range of a process is taken.
const guardNumber = 1<<counterBits - 3

// issued counts the addresses that this process has issued.
var issued atomic.Uint32

// addresses is the range of addresses of a process.
type addresses struct {
	number uint32
	guard  net.Listener // open until the process ends, so that no other one takes the range
}

// own is the range of this process. Ids of processes are not enough: containers with one network
// count them on their own.
var own = sync.OnceValue(func() addresses {
	const ranges = 1<<processBits - 1
	for n := range uint32(ranges) {
		number := (uint32(os.Getpid())+n)%ranges + 1 // not 0, so never 127.0.0.x
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", numbered(number, guardNumber), guardPort))
		if err == nil {
			return addresses{number, ln}
		}
	}
	panic("loopback: no range of addresses is free: run fewer processes at once")
})

// Address returns an address that is not among the last 4095 issued by this process, and that no
// other process issues meanwhile.
func Address() netip.AddrPort {
	return netip.AddrPortFrom(numbered(own().number, issued.Add(1)), port)
}

func numbered(number, n uint32) netip.Addr {
	bits := number<<counterBits | n%(1<<counterBits)
	return netip.AddrFrom4([4]byte{127, byte(bits >> 16), byte(bits >> 8), byte(bits)})
}

// String returns a new Address as text, for settings.
func String() string { return Address().String() }
