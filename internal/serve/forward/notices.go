package forward

import (
	"time"

	"filberthook/internal/engines/notice"
	"filberthook/internal/engines/placement"
)

// maxMalformedLinesPerSecond limits the log lines of notices that cannot be read.
const maxMalformedLinesPerSecond = 1

// hear records what an answer says about the instance that sent it, and logs it if it is
// new to this host. The request was sent at sentAt.
func (s *Server) hear(requestID string, target placement.Target, said notice.Said, sentAt time.Time) {
	if said.LimitUnreadable {
		s.metrics.GetOrCreateCounter(`filberthook_entry_notices_total{notice="unreadable"}`).Inc()
		if keep, leftOut := s.malformed.Allow(time.Now()); keep {
			s.logger.Warn("limit in an instance's answer is not a number of 0 or more", "id", requestID, "instance", target.ID, "left_out", leftOut)
		}
	}
	before := s.fleet.Limit(target)
	if !s.fleet.Hear(target, said, sentAt, time.Now()) {
		return
	}
	s.metrics.GetOrCreateCounter(`filberthook_entry_notices_total{notice="limit"}`).Inc()
	s.logger.Info("instance changed its limit", "id", requestID, "instance", target.ID, "born", target.Born,
		"per_second", said.Limit, "before", before)
}
