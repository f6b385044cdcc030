package forward

import (
	"net/http"
	"time"

	"filberthook/internal/engines/notice"
	"filberthook/internal/engines/placement"
	"filberthook/internal/serve/dialect"
)

// maxUnreadableLinesPerSecond limits the log lines of notices that cannot be read.
const maxUnreadableLinesPerSecond = 1

// trustworthy reports whether an answer is the instance's own, so that what it says about
// the instance counts. Answers to a prefill or a freed handle carry no signature, and a misdirected request
// was answered by another instance.
func trustworthy(status int, answer dialect.Answer, unsigned bool) bool {
	if answer.Misdirected {
		return false
	}
	return answer.Signed || answer.NotRun || unsigned || status >= http.StatusMultipleChoices
}

// hear records what an answer says about the instance that sent it, and logs what is new to
// this host. The request was sent at sentAt.
func (s *Server) hear(requestID string, target placement.Target, said notice.Notice, sentAt time.Time) {
	now := time.Now()
	if said.Unreadable != "" {
		s.countNotice("unreadable")
		if keep, leftOut := s.unreadable.Allow(now); keep {
			s.logger.Warn("answer says something about its instance that cannot be read", "id", requestID, "instance", target.ID,
				"fields", said.Unreadable, "left_out", leftOut)
		}
	}
	before := s.fleet.Limit(target)
	changed := s.fleet.Hear(target, said, sentAt, now)
	if changed == 0 {
		return
	}
	for change, name := range map[notice.Change]string{notice.LimitChanged: "limit", notice.LeavingSaid: "leaving", notice.PauseAsked: "pause"} {
		if changed&change != 0 {
			s.countNotice(name)
		}
	}
	s.logger.Info("instance notice", "id", requestID, "instance", target.ID, "born", target.Born, "heard_by", "this host",
		"per_second", said.Limit, "before", before, "leaving", said.Leaving, "pause_ms", said.Pause.Milliseconds())
}

func (s *Server) countNotice(name string) {
	s.metrics.GetOrCreateCounter(`filberthook_entry_notices_total{notice="` + name + `"}`).Inc()
}
