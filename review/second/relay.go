package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// relay passes the connections of a control host's peers on. It can cut one host, or all of them,
// off from the control host: the bytes of their connections, in both directions, are held up until
// the cut heals, and are lost if an end closes the connection before.
type relay struct {
	target string
	cutOff string // name of the host that can be cut off

	mu  sync.Mutex
	cut chan struct{} // closed when the cut heals, nil without one
	all bool          // all hosts are cut off
}

func (r *run) startRelay(n int, cutOff string) (*relay, error) {
	l, err := net.Listen("tcp", r.address(outer, firstControl+n, portPeers))
	if err != nil {
		return nil, err
	}
	out := &relay{target: r.address(inner, firstControl+n, portPeers), cutOff: cutOff}
	r.onClose(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go out.pass(c)
		}
	}()
	return out, nil
}

// separate cuts the host, or all hosts, off until join is called.
func (y *relay) separate(all bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.cut, y.all = make(chan struct{}), all
}

func (y *relay) join() {
	y.mu.Lock()
	defer y.mu.Unlock()
	close(y.cut)
	y.cut = nil
}

// hold waits until the cut heals, if one concerns the connection. The argument tells whether the
// connection is that of the host that can be cut off.
func (y *relay) hold(named bool) {
	y.mu.Lock()
	cut, all := y.cut, y.all
	y.mu.Unlock()
	if cut != nil && (all || named) {
		<-cut
	}
}

// pass forwards a connection. Hosts name themselves in their first message.
func (y *relay) pass(c net.Conn) {
	defer c.Close()
	first := make([]byte, 4096)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	named := bytes.Contains(first[:n], []byte(`"`+y.cutOff+`"`))
	y.hold(named)
	target, err := net.DialTimeout("tcp", y.target, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	if _, err := target.Write(first[:n]); err != nil {
		return
	}
	go y.copy(c, target, named)
	y.copy(target, c, named)
}

func (y *relay) copy(to, from net.Conn, named bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		y.hold(named)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
