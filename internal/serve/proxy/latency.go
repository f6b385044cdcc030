package proxy

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/serve/call"
	"filberthook/internal/serve/class"
)

// latencies are the latency histograms by priority class, in seconds.
type latencies struct {
	firstToken [class.Count]*metrics.Histogram // from arrival to the first token passed on
	longestGap [class.Count]*metrics.Histogram // between two tokens of one stream
	answer     [class.Count]*metrics.Histogram // from arrival to the end of the answer
}

func newLatencies(set *metrics.Set) *latencies {
	l := &latencies{}
	for i := range class.Count {
		class := class.Class(i).String()
		histogram := func(name string) *metrics.Histogram {
			return set.GetOrCreateHistogram(fmt.Sprintf(`%s{class=%q}`, name, class))
		}
		l.firstToken[i] = histogram("filberthook_first_token_seconds")
		l.longestGap[i] = histogram("filberthook_longest_gap_seconds")
		l.answer[i] = histogram("filberthook_answer_seconds")
	}
	return l
}

// observeAnswer records the end of an answer.
func (l *latencies) observeAnswer(c *call.Call) {
	l.answer[c.Class].Update(time.Since(c.Arrived).Seconds())
}

// tokenTimes measures one stream.
type tokenTimes struct {
	last    time.Time // of the last token; zero before the first one
	longest time.Duration
}

// observeToken records a token that was passed on.
func (t *tokenTimes) observeToken(l *latencies, c *call.Call) {
	now := time.Now()
	if t.last.IsZero() {
		l.firstToken[c.Class].Update(now.Sub(c.Arrived).Seconds())
	} else {
		t.longest = max(t.longest, now.Sub(t.last))
	}
	t.last = now
}

// observeEnd records the end of the stream.
func (t *tokenTimes) observeEnd(l *latencies, c *call.Call) {
	if t.longest > 0 {
		l.longestGap[c.Class].Update(t.longest.Seconds())
	}
	l.observeAnswer(c)
}
