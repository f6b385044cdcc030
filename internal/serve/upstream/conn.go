package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// readBufferBytes holds the header of an answer and small answers whole.
const readBufferBytes = 4 << 10

// conn is one connection to an instance. One request at a time uses it.
type conn struct {
	net.Conn
	reader     *bufio.Reader
	address    string
	reused     bool
	idleSince  time.Time
	idleBefore time.Duration // before the request under way, when reused
	idleLimit  time.Duration // announced by the instance, 0 when it was not
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), address: address}
}

// healthy reports whether an idle connection is open and has nothing to read: bytes
// that arrive between answers belong to no request.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // tests use pipes
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekErr == syscall.EAGAIN || peekErr == syscall.EINTR
		return true
	})
	return err == nil && open
}

// keepAliveTimeout returns the idle limit that an answer announces, 0 for none.
func keepAliveTimeout(h http.Header) time.Duration {
	for item := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
