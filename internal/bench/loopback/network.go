package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
)

// guardPort is the port at which an address of each reserved network is taken. It is below the
// source ports of connections.
const guardPort = 7100

// Bounds of the second byte of networks' addresses. Those of Network and WideNetwork differ.
const (
	firstNetwork, endOfNetworks         = 60, 188
	firstWideNetwork, endOfWideNetworks = 188, 250
)

// maxDraws bounds the networks that are tried one after the other.
const maxDraws = 4000

// ExhaustedError reports that no network was free.
type ExhaustedError struct{ Draws int }

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("none of %d loopback networks drawn is free: run fewer deployments at once", e.Draws)
}

// Network is a range of loopback addresses that no other process or test has reserved.
type Network struct {
	// Prefix is the first three bytes of the addresses, such as 127.60.7, or the first two of a
	// wide network.
	Prefix string
	guard  net.Listener
}

// Reserve reserves a network of 253 addresses, of which the last byte is 1 to 253.
func Reserve() (*Network, error) {
	return reserve(func() (prefix, guard string) {
		prefix = fmt.Sprintf("127.%d.%d", firstNetwork+rand.IntN(endOfNetworks-firstNetwork), rand.IntN(256))
		return prefix, prefix + ".254"
	})
}

// ReserveWide reserves a network of 255 times as many addresses, of which the third byte is 0 to
// 254.
func ReserveWide() (*Network, error) {
	return reserve(func() (prefix, guard string) {
		prefix = fmt.Sprintf("127.%d", firstWideNetwork+rand.IntN(endOfWideNetworks-firstWideNetwork))
		return prefix, prefix + ".255.254"
	})
}

// reserve draws networks until the guard address of one is free.
func reserve(draw func() (prefix, guard string)) (*Network, error) {
	for range maxDraws {
		prefix, guard := draw()
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", guard, guardPort))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return &Network{Prefix: prefix, guard: ln}, nil
	}
	return nil, &ExhaustedError{Draws: maxDraws}
}

// Release frees the network. Nothing may listen in it any more.
func (n *Network) Release() { n.guard.Close() }
