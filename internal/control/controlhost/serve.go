package controlhost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"filberthook/internal/serve/connguard"
	"filberthook/internal/serve/membudget"
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
	// answerFactor times the bound on reading bounds a call from its header to the end of its answer,
	// so that a caller that does not read does not keep its connection: reading 4 MiB, proposing and
	// writing as much take 16 s at most.
	answerFactor = 3
	// maxHeadBytes limits the head of a call.
	maxHeadBytes = 16 << 10
	// connectionsPart is the part of the descriptors for calls, one of so many: other hosts and
	// the replicated log need the rest.
	connectionsPart = 2
	// bodyFactor is the memory that a body takes as a multiple of its bytes: a configuration is
	// read, decoded and proposed.
	bodyFactor = 3
)

// newControlServer returns a server that reads each call within a time and answers it within a
// multiple of that, so that one which never ends does not keep its connection.
func newControlServer(handler http.Handler, timeout time.Duration) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: min(headerTimeout, timeout), ReadTimeout: timeout, WriteTimeout: answerFactor * timeout, IdleTimeout: idleTimeout}
}

// serveControl serves operators and instances.
func (h *Host) serveControl(ctx context.Context, ln net.Listener) error {
	budget := membudget.ForMemory(h.settings.MemoryMB)
	budget.Register(h.metrics)
	guard := connguard.New(connguard.Settings{
		Port: "control", MaxConnections: connguard.MaxConnections(connectionsPart), Budget: budget,
		Limits: func() connguard.Limits { return connguard.Limits{Bytes: maxHeadBytes, Time: headerTimeout} },
	}, h.logger, h.metrics)
	server := newControlServer(connguard.Bodies(budget, bodyFactor, h.handler(h)), readCallTimeout)
	server.ConnState = guard.Track
	ended := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(ended)
		limited, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := server.Shutdown(limited); err != nil {
			h.logger.Warn("operators' calls aborted at shutdown", "err", err)
		}
	})
	if err := server.Serve(guard.Listen(ln)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listen.control: %w", err)
	}
	<-ended
	return nil
}
