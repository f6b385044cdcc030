package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/process/pause"
	"filberthook/internal/serve/routes"
)

// A host that has just started knows neither the configuration nor the instances. It has
// both within a second of the control hosts' return, so requests wait for them: their
// callers would come back after that and be late.
const (
	// startWait bounds the wait of a request. Control hosts that lost power have the
	// configuration in force 0.6 s after they are up.
	startWait = 800 * time.Millisecond
	// startShare bounds it by a part of the caller's deadline. Callers give up a request
	// that is not read within a third of theirs.
	startShare = 0.25
	// announceTime is how long after the first configuration an endpoint may still get
	// instances that were there before: they announce themselves every one to two seconds.
	announceTime = 2 * time.Second
	// announcePoll is how often a waiting request looks for an instance.
	announcePoll = 20 * time.Millisecond
)

// startLimit returns how long a request with a deadline may wait; 0 stands for none.
func startLimit(deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return startWait
	}
	return min(startWait, time.Duration(startShare*float64(deadline)))
}

// awaitTable returns the configuration in force. While there is none yet it waits, and
// returns nil when none comes in time. The request's body is read first: until then the
// server does not notice that the caller leaves.
func (s *Server) awaitTable(w http.ResponseWriter, r *http.Request) *routes.Table {
	if t := s.Table(); t != nil {
		return t
	}
	if r.Body != http.NoBody {
		body, err := readBodyWithin(w, r, defaultBodyBytes, time.Now().Add(s.settings.ReadTimeout))
		if err != nil {
			s.logger.Info("request not read", "id", s.dialect.Decode(r.Header).ID, "err", err)
			return nil
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	meta, begin := s.dialect.Decode(r.Header), time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), startLimit(meta.Deadline))
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

// awaitInstance waits for one more instance of the endpoint when a request that was not
// tried yet finds none that can take it, or too few. It reports whether there is one.
func (c *call) awaitInstance(failure error) bool {
	var none *placement.NoInstanceError
	var hopeless *placement.HopelessError
	if !errors.As(failure, &none) && !errors.As(failure, &hopeless) || len(c.trail) > 0 {
		return false
	}
	known := c.server.fleet.Announced(c.endpoint)
	for c.server.announcing() && time.Since(c.start) < startLimit(c.meta.Deadline) {
		if !pause.For(c.ctx, announcePoll) {
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

// announcing reports whether instances may be unknown because this host is new.
func (s *Server) announcing() bool {
	first := s.firstTable.Load()
	return first != nil && time.Since(*first) < announceTime
}
