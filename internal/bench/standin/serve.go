package standin

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// Time limits of the HTTP server of a stand-in.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	closeTimeout      = 2 * time.Second
)

// Standin is a stand-in of any kind.
type Standin interface {
	http.Handler
	Run(ctx context.Context) error
	Leave(ctx context.Context) error
}

// Serve runs a stand-in on a listener until ctx ends. It then announces that
// the stand-in leaves, waits at most leaveLimit for its work to finish, and returns
// an error if work was cut.
func Serve(ctx context.Context, ln net.Listener, s Standin, leaveLimit time.Duration, log *slog.Logger) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	g, running := errgroup.WithContext(running)
	g.Go(func() error { return s.Run(running) })
	g.Go(func() error { return closed(server.Serve(ln)) })
	g.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
		case <-running.Done():
			return server.Close()
		}
		return leave(server, s, leaveLimit)
	})
	return g.Wait()
}

func leave(server *http.Server, s Standin, limit time.Duration) error {
	leaving, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := s.Leave(leaving); err != nil {
		_ = server.Close()
		return errors.Join(errors.New("standin: work did not finish within the leave limit and was cut: raise leave_limit"), err)
	}
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := server.Shutdown(closing); err != nil {
		return server.Close()
	}
	return nil
}

func closed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
