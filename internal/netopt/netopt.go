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
	// DialTimeout bounds the set-up of a connection within a deployment: some round
	// trips of the slowest link, and less than the second after which a lost first
	// packet is sent again, so that the caller can dial anew.
	DialTimeout = 500 * time.Millisecond
	// userTimeout is how long bytes to other hosts of the system may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// Idle connections are probed so that a dead one ends within about 3 s.
	probeIdle     = 2 * time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// Dialer returns a dialer for connections to other hosts. Bytes that stay
// unacknowledged for longer than unacknowledged end a connection.
func Dialer(timeout, unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, unacknowledged)
		},
	}
}

// Dial connects within timeout.
func Dial(network, address string, timeout time.Duration) (net.Conn, error) {
	return Dialer(timeout, userTimeout).DialContext(context.Background(), network, address)
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
