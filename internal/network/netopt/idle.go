package netopt

import (
	"net"
	"syscall"
)

// IdleState is what a connection has to read.
type IdleState uint8

// States of a connection that is not being read.
const (
	Quiet   IdleState = iota // open, and nothing to read
	Pending                  // bytes have arrived
	Ended                    // closed or broken
)

// Idle returns the state of a connection without reading from it. Connections without a
// file descriptor, as tests use, count as quiet.
func Idle(c net.Conn) IdleState {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	// Control, unlike Read, does not wait for a Read of the connection that is under way.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case peekErr == syscall.EAGAIN || peekErr == syscall.EINTR:
			state = Quiet
		case peekErr == nil && n > 0:
			state = Pending
		}
	})
	if err != nil {
		return Ended
	}
	return state
}
