package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/process/saturate"
	"filberthook/internal/serve/routes"
)

// A host that has just started has neither the configuration nor the list of instances. It
// receives both within a second after the control hosts are up. Requests wait for them, as
// refused callers would retry later than that and miss their deadlines.
const (
	// maxStartWait limits the wait of a request. After a power loss, control hosts take
	// 0.6 s from their start to apply the configuration.
	maxStartWait = 800 * time.Millisecond
	// maxStartWaitShare limits the wait to a share of the caller's deadline. Callers give up
	// a request that is not read within a third of their deadline.
	maxStartWaitShare = 0.25
	// announceWindow is how long after the first configuration instances that were already
	// running may still be missing: they announce themselves every one to two seconds.
	announceWindow = 2 * time.Second
	// announcePollInterval is how often a waiting request checks for a new instance.
	announcePollInterval = 20 * time.Millisecond
)

// startWaitLimit returns how long a request may wait. A deadline of 0 means none.
func startWaitLimit(deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return maxStartWait
	}
	return min(maxStartWait, saturate.Nanoseconds(maxStartWaitShare*float64(deadline)))
}

// awaitTable returns the current configuration. If there is none it waits for the first
// one, and returns nil if that does not arrive in time. It reads the request's body before
// it waits, as net/http detects a disconnected caller only after that.
func (s *Server) awaitTable(w http.ResponseWriter, r *http.Request) *routes.Table {
	if t := s.Table(); t != nil {
		return t
	}
	if r.Body != http.NoBody {
		body, err := readBodyWithin(w, r, defaultBodyBytes, time.Now().Add(s.settings.ReadTimeout))
		if err != nil {
			s.logger.Info("request not read", "id", s.dialect.DecodeRequest(r.Header).ID, "err", err)
			return nil
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	meta, begin := s.dialect.DecodeRequest(r.Header), time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), startWaitLimit(meta.Deadline))
	defer cancel()
	select {
	case <-s.configured:
	case <-ctx.Done():
	}
	t := s.Table()
	s.logger.Info("request waited for the first configuration", "id", meta.ID, "deadline", meta.Deadline,
		"ms", time.Since(begin).Milliseconds(), "configured", t != nil)
	return t
}

// awaitInstance waits for a new instance of the endpoint after placement of the first
// attempt failed. It reports whether an instance was announced.
func (c *call) awaitInstance(failure error) bool {
	var none *placement.NoInstanceError
	var hopeless *placement.HopelessError
	if !errors.As(failure, &none) && !errors.As(failure, &hopeless) || len(c.attempts) > 0 {
		return false
	}
	known := c.server.fleet.Announced(c.endpoint)
	for c.server.instancesMayBeMissing() && time.Since(c.start) < startWaitLimit(c.meta.Deadline) {
		if !c.pause(c.ctx, announcePollInterval) {
			return false
		}
		if now := c.server.fleet.Announced(c.endpoint); now > known {
			c.server.logger.Info("request waited for an instance", "id", c.meta.ID, "endpoint", c.endpoint,
				"known", known, "announced", now, "ms", time.Since(c.start).Milliseconds(), "because", failure.Error())
			return true
		}
	}
	return false
}

// instancesMayBeMissing reports whether this host started so recently that it may
// not know all instances.
func (s *Server) instancesMayBeMissing() bool {
	first := s.configuredAt.Load()
	return first != nil && time.Since(*first) < announceWindow
}
