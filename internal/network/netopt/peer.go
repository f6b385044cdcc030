package netopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the other end of a connection has closed it or the connection is
// broken, also while bytes that came before the end wait to be read. Connections without a file
// descriptor, as tests use, count as open.
func PeerClosed(c net.Conn) bool {
	c = socketOf(c)
	switch Idle(c) {
	case Ended:
		return true
	case Pending:
		return hungUp(c)
	default:
		return false
	}
}

// hungUp reports whether the end of the other side's bytes has arrived.
func hungUp(c net.Conn) bool {
	ended := false
	err := control(c, func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		ended = err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended && err == nil
}

// Unacknowledged returns how many bytes written to a connection its other end has not acknowledged, 0 if
// that is unknown.
func Unacknowledged(c net.Conn) int { return queued(c, unix.SIOCOUTQ) }

// CloseNow closes a connection without sending what waits in its queue: if any bytes wait there,
// the other end gets a reset in place of them.
func CloseNow(c net.Conn) error {
	if tcp, ok := socketOf(c).(*net.TCPConn); ok && queued(c, unix.SIOCOUTQNSD) > 0 {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	return c.Close()
}

// queued returns the size of one of a socket's output queues, 0 if that is unknown.
func queued(c net.Conn, request uint) int {
	bytes := 0
	err := control(socketOf(c), func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
			bytes = n
		}
	})
	if err != nil {
		return 0
	}
	return bytes
}

// socketOf returns the connection below wrappers such as *tls.Conn.
func socketOf(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}

// control runs f with the connection's file descriptor.
func control(c net.Conn, f func(fd uintptr)) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return syscall.EINVAL
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(f)
}
