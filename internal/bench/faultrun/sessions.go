package faultrun

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"filberthook/internal/bench/loadgen"
	"filberthook/internal/process/pause"
)

// Behaviour of callers.
const (
	callTimeout   = 10 * time.Second
	shortBackoff  = 20 * time.Millisecond
	longBackoff   = time.Second
	abandonChance = 0.25 // of giving up after a refusal as not run
	unknownLimit  = 6    // unknown outcomes after which a caller of a booking gives up
	bookingPrefix = "booking-"
	chatPrefix    = "chat-"
)

func isBooking(key string) bool { return strings.HasPrefix(key, bookingPrefix) }

// sessions holds what all callers of a run share.
type sessions struct {
	bench   *bench
	ledger  *ledger
	callers []*loadgen.Caller // one per entry host
	seed    uint64
}

func newSessions(b *bench, seed uint64) *sessions {
	s := &sessions{bench: b, ledger: b.ledger, seed: seed}
	for _, h := range b.hosts {
		s.callers = append(s.callers, loadgen.NewCaller(h.Callers(), b.sys.TeamKey))
	}
	return s
}

func (s *sessions) close() {
	for _, c := range s.callers {
		c.Close()
	}
}

// caller makes one call after the other.
type caller struct {
	*sessions
	id      int
	rng     *rand.Rand
	prompts *loadgen.Prompts
	made    int
}

func (s *sessions) newCaller(id int) *caller {
	return &caller{
		sessions: s,
		id:       id,
		rng:      rand.New(rand.NewPCG(s.seed, uint64(id)+1000)),
		prompts:  loadgen.NewPrompts(s.seed + uint64(id)*7919),
	}
}

func (c *caller) key(prefix string) string {
	c.made++
	return fmt.Sprintf("%s%d-%d-%d", prefix, c.seed, c.id, c.made)
}

// chat makes one chat call and resends it until its answer is complete. A broken
// stream is resumed after the tokens that the caller has.
func (c *caller) chat(ctx context.Context) {
	key := c.key(chatPrefix)
	chat := loadgen.Chat{
		Model:  c.bench.sys.Endpoint,
		Engine: c.bench.sys.Model,
		Prompt: c.prompts.Prompt(uint64(c.rng.IntN(8)), 20+c.rng.IntN(3000), 5+c.rng.IntN(200)),
		Stream: c.rng.IntN(4) > 0,
		Key:    key,
	}
	c.session(ctx, &c.ledger.report.Chats, key, func(ctx context.Context, to *loadgen.Caller) loadgen.Result {
		r := to.Chat(ctx, chat)
		if chat.Stream {
			chat.ResumeFrom = max(chat.ResumeFrom, r.Tokens)
		}
		return r
	})
}

// book makes one booking and resends it with its key until its outcome is known.
func (c *caller) book(ctx context.Context) {
	key := c.key(bookingPrefix)
	c.session(ctx, &c.ledger.report.Bookings, key, func(ctx context.Context, to *loadgen.Caller) loadgen.Result {
		return to.CallThrough(ctx, "/services/"+c.bench.sys.Service, bookingPath, key, bookingBody(key))
	})
}

// bookingPath is the path of bookings at the service.
const bookingPath = "/bookings"

func bookingBody(key string) []byte { return []byte(`{"passenger":"` + key + `"}`) }

// askUnknownBookings queries the outcome of each booking whose outcome is not known.
// All faults must have healed.
func (s *sessions) askUnknownBookings(ctx context.Context) {
	for i, key := range s.ledger.unknownBookings() {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		to := s.callers[i%len(s.callers)]
		r := to.FetchResult(limited, s.bench.sys.Service, bookingPath, key, bookingBody(key))
		cancel()
		s.ledger.lateAnswer(key, r, s.bench.ran(key))
	}
}

// status makes one status read.
func (c *caller) status(ctx context.Context) {
	key := c.key("status-")
	c.session(ctx, &c.ledger.report.Status, key, func(ctx context.Context, to *loadgen.Caller) loadgen.Result {
		return to.Status(ctx, "/services/"+c.bench.sys.Service, "/cases/"+key)
	})
}

// session sends a call until its outcome is known or ctx ends.
func (c *caller) session(ctx context.Context, calls *Calls, key string, send func(context.Context, *loadgen.Caller) loadgen.Result) {
	backoff := shortBackoff
	unknown, onlyNotRun := 0, true
	var last loadgen.Result
	for ctx.Err() == nil {
		ranBefore := isBooking(key) && c.bench.ran(key)
		last = c.attempt(ctx, calls, send)
		if ranBefore && last.Outcome == loadgen.NotRun {
			c.ledger.deniedRun(last)
		}
		onlyNotRun = onlyNotRun && last.Outcome == loadgen.NotRun
		switch last.Outcome {
		case loadgen.Whole:
			c.ledger.sessionEnded(calls, key, endWhole, last)
			return
		case loadgen.Wrong:
			c.ledger.sessionEnded(calls, key, endWrong, last)
			return
		case loadgen.NotRun:
			if onlyNotRun && c.rng.Float64() < abandonChance {
				c.ledger.sessionEnded(calls, key, endAbandoned, last)
				return
			}
		case loadgen.Unknown, loadgen.Ran:
			unknown++
			if isBooking(key) && unknown >= unknownLimit {
				c.ledger.sessionEnded(calls, key, endUnknown, last)
				return
			}
		}
		pause.For(ctx, backoff+time.Duration(c.rng.Int64N(int64(backoff))))
		backoff = min(2*backoff, longBackoff)
	}
	c.ledger.sessionEnded(calls, key, endLost, last)
}

// attempt sends a call once, through a random entry host.
func (c *caller) attempt(ctx context.Context, calls *Calls, send func(context.Context, *loadgen.Caller) loadgen.Result) loadgen.Result {
	i := c.rng.IntN(len(c.callers))
	h := c.bench.hosts[i]
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := send(limited, c.callers[i])
	c.ledger.attempt(calls, r, h.isStopping())
	return r
}
