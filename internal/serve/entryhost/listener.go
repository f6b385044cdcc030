package entryhost

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/serve/connguard"
)

// callerListener wraps accepted connections in callerConn. Unlike that of other listeners,
// its Close loses no connection that is waiting to be accepted: Accept returns them before
// it fails.
type callerListener struct {
	net.Listener
	raced *metrics.Counter // see callerConn
	guard *connguard.Guard // nil for none

	mu   sync.Mutex
	left []net.Conn // accepted by Close
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			if c = l.next(); c == nil {
				return nil, err
			}
		}
		if l.guard != nil {
			if c = l.guard.Admit(c); c == nil {
				continue
			}
		}
		out := &callerConn{Conn: c, raced: l.raced, idle: true, accepted: time.Now()}
		if guarded, ok := c.(*connguard.Conn); ok {
			guarded.SetIdleClose(func() { out.closeIfIdle() })
		}
		return out, nil
	}
}

// next returns a connection that Close has accepted, nil if there is none.
func (l *callerListener) next() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.left) == 0 {
		return nil
	}
	c := l.left[0]
	l.left = l.left[1:]
	return c
}

// Close implements net.Listener. The kernel resets connections that wait to be accepted when
// the socket closes, which a second file descriptor delays until they are accepted.
func (l *callerListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return l.Listener.Close()
	}
	file, err := tcp.File()
	if err != nil {
		return errors.Join(err, l.Listener.Close())
	}
	defer file.Close()
	if err := l.Listener.Close(); err != nil {
		return err
	}
	raw, err := file.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { l.left = acceptWaiting(int(fd)) })
}

// acceptWaiting accepts the connections that wait at a listening socket.
func acceptWaiting(listener int) []net.Conn {
	var out []net.Conn
	for {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err != nil {
			return out
		}
		file := os.NewFile(uintptr(fd), "caller")
		if c, err := net.FileConn(file); err == nil {
			out = append(out, c)
		}
		file.Close() // FileConn has duplicated it
	}
}
