package forward

import (
	"context"
	"sync/atomic"
	"time"

	"filberthook/internal/serve/caller"
)

// departure records when a caller left its request and what was done for it afterwards.
type departure struct {
	noticed   atomic.Int64 // when the request's context ended, in Unix nanoseconds, 0 if it has not
	sentAfter int          // attempts that began while the caller's socket held the close
	unnoticed bool         // the answer came after the close, which the request's context did not tell
}

// watch records the end of a request's context until the returned function is called.
func (d *departure) watch(ctx context.Context) (stop func()) {
	end := context.AfterFunc(ctx, func() { d.noticed.Store(time.Now().UnixNano()) })
	return func() { end() }
}

// answering is called before the first bytes of an answer are written.
func (d *departure) answering(ctx context.Context) {
	d.unnoticed = ctx.Err() == nil && caller.Left(ctx)
}

// happened reports whether the caller is known to have left.
func (d *departure) happened() bool { return d.noticed.Load() != 0 || d.sentAfter > 0 || d.unnoticed }

// attributes returns what the log line of the request says of it.
func (d *departure) attributes(now time.Time) []any {
	if !d.happened() {
		return nil
	}
	endedAfter := int64(0)
	if at := d.noticed.Load(); at != 0 {
		endedAfter = now.Sub(time.Unix(0, at)).Milliseconds()
	}
	return []any{"left_sent_after", d.sentAfter, "left_unnoticed", d.unnoticed, "left_ended_after_ms", endedAfter}
}
