// Package netopt sets up TCP connections so that a link which went silent without a
// reset is noticed.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds the set-up of a connection within a deployment, the first
	// answer of the other host included, which may be busy.
	DialTimeout = 500 * time.Millisecond
	// connectTimeout bounds the TCP handshake, which needs no process of the other host:
	// many round trips of the slowest link. A lost first packet is sent again after a
	// second only, and hosts that start together find each other down at first, so that
	// dialling anew is faster.
	connectTimeout = 200 * time.Millisecond
	// RedialDelay is the pause after a failed dial for all that use a connection.
	RedialDelay = 50 * time.Millisecond
	// userTimeout is how long bytes to other hosts of the system may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// Idle connections are probed so that a dead one ends within about 3 s.
	probeIdle     = 2 * time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// Dialer returns a dialer for connections to other hosts. Bytes that stay
// unacknowledged for longer than unacknowledged end a connection.
func Dialer(timeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, ackTimeout)
		},
	}
}

// Dial connects within timeout, and a time that suits hosts of one deployment.
func Dial(network, address string, timeout time.Duration) (net.Conn, error) {
	return Dialer(min(timeout, connectTimeout), userTimeout).DialContext(context.Background(), network, address)
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
