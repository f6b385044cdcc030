package entry

import (
	"errors"
	"fmt"
	"net"

	"filberthook/internal/process/settings"
)

// Listeners are the open sockets of an entry host. The node closes them.
type Listeners struct {
	Callers  net.Listener
	Announce net.Listener
	Status   net.Listener
	Gossip   *net.UDPConn
}

// Listen opens the addresses of the settings.
func Listen(s settings.EntryListen) (Listeners, error) {
	var l Listeners
	var err error
	if l.Callers, err = net.Listen("tcp", s.Callers); err != nil {
		return l, fmt.Errorf("listen.callers: %w; free the address or choose another", err)
	}
	if l.Announce, err = net.Listen("tcp", s.Announce); err != nil {
		return l, errors.Join(fmt.Errorf("listen.announce: %w; free the address or choose another", err), l.Close())
	}
	if l.Status, err = net.Listen("tcp", s.Status); err != nil {
		return l, errors.Join(fmt.Errorf("listen.status: %w; free the address or choose another", err), l.Close())
	}
	addr, err := net.ResolveUDPAddr("udp", s.Gossip)
	if err == nil {
		l.Gossip, err = net.ListenUDP("udp", addr)
	}
	if err != nil {
		return l, errors.Join(fmt.Errorf("listen.gossip: %w; free the address or choose another", err), l.Close())
	}
	return l, nil
}

// Close closes the sockets that are open.
func (l Listeners) Close() error {
	var errs []error
	for _, ln := range []net.Listener{l.Callers, l.Announce, l.Status} {
		if ln != nil {
			errs = append(errs, ln.Close())
		}
	}
	if l.Gossip != nil {
		errs = append(errs, l.Gossip.Close())
	}
	return errors.Join(errs...)
}
