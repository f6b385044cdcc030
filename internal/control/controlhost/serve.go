package controlhost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Limits of a call of an operator or instance.
const (
	// headerTimeout bounds reading the header of a call.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection without a call is kept.
	idleTimeout = time.Minute
	// readCallTimeout bounds reading a whole call: 4 MiB, the largest configuration, are 3.4 s
	// of a link of 10 Mbit/s.
	readCallTimeout = 10 * time.Second
)

// newControlServer returns a server that reads each call within a time, so that one which
// never ends does not keep its connection.
func newControlServer(handler http.Handler, timeout time.Duration) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: min(headerTimeout, timeout), ReadTimeout: timeout, IdleTimeout: idleTimeout}
}

// serveControl serves operators and instances.
func (h *Host) serveControl(ctx context.Context, ln net.Listener) error {
	server := newControlServer(h.handler(h), readCallTimeout)
	ended := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(ended)
		limited, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := server.Shutdown(limited); err != nil {
			h.logger.Warn("operators' calls aborted at shutdown", "err", err)
		}
	})
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listen.control: %w", err)
	}
	<-ended
	return nil
}
