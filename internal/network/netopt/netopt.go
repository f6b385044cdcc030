// Package netopt configures TCP connections so that a connection that dies without a
// reset is detected.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds the set-up of a connection within a deployment, including the
	// first answer of the other host, which may be busy.
	DialTimeout = 500 * time.Millisecond
	// connectTimeout bounds the TCP handshake, which the other host's kernel answers
	// without any process. It is many round trips of the slowest link. A lost SYN is
	// retransmitted only after a second, and hosts that start together are not yet
	// reachable at first, so dialling again is faster.
	connectTimeout = 200 * time.Millisecond
	// RedialDelay is the pause after a failed dial, for all users of a connection.
	RedialDelay = 50 * time.Millisecond
	// userTimeout is how long data sent to other hosts of the system may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// Keep-alive probes on idle connections detect a dead one within about 3 s.
	probeIdle     = 2 * time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// Dialer returns a dialer for connections to other hosts. A connection is closed when
// sent data stays unacknowledged for longer than ackTimeout.
func Dialer(timeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, ackTimeout)
		},
	}
}

// Dial connects to a host of the same deployment, within timeout and at most
// connectTimeout.
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
