package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/process/pause"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/request"
	"filberthook/internal/serve/upstream"
)

const (
	// admitWait is how long a call waits while another one tests the same request.
	admitWait = 500 * time.Millisecond
	// admitPollInterval is how often it asks again.
	admitPollInterval = 20 * time.Millisecond
	// presenceTimeout bounds the check whether an instance that has lost a call still runs.
	presenceTimeout = 300 * time.Millisecond
)

// suspects keeps a request that ends the instances of a plain service from reaching one after the
// other. It knows the calls of this host only.
type suspects struct {
	ledger *quarantine.Ledger
	dialer net.Dialer
}

func newSuspects() *suspects {
	return &suspects{ledger: quarantine.New(rand.Float64), dialer: net.Dialer{Timeout: presenceTimeout}}
}

// suspect is a call's state in the ledger. Calls of model endpoints have none: their prompts are
// not known by blocks here.
type suspect struct {
	suspects *suspects
	request  *quarantine.Request
}

// of returns the state of a call that has just begun, nil if it has none.
func (s *suspects) of(c *call.Call, r *http.Request) *suspect {
	if c.Endpoint.Kind != engineapi.KindService {
		return nil
	}
	target := c.Path
	if c.RawQuery != "" {
		target += "?" + c.RawQuery
	}
	name := quarantine.Identity{Endpoint: c.Endpoint.Name, Method: r.Method, Target: target, Caller: c.Team, Body: c.Body}.Suspect()
	return &suspect{suspects: s, request: s.ledger.Request([]quarantine.Suspect{name})}
}

type suspectKey struct{}

// with returns a context that carries the state.
func (q *suspect) with(ctx context.Context) context.Context {
	return context.WithValue(ctx, suspectKey{}, q)
}

// suspectFrom returns the state that a context carries, nil if it has none.
func suspectFrom(ctx context.Context) *suspect {
	q, _ := ctx.Value(suspectKey{}).(*suspect)
	return q
}

// done ends the call.
func (q *suspect) done() {
	if q != nil {
		q.suspects.ledger.Done(q.request)
	}
}

// admit waits until the call may be sent to an instance. It returns a failure if it may not.
func (q *suspect) admit(ctx context.Context, c *call.Call) *failure {
	if q == nil {
		return nil
	}
	waitEnd := time.Now().Add(min(admitWait, c.Left()/4))
	for {
		now := time.Now()
		d := q.suspects.ledger.Admit(q.request, now)
		switch {
		case d.Answer == quarantine.Pass, d.Answer == quarantine.Contain:
			return nil
		case d.Answer == quarantine.Wait && now.Before(waitEnd) && pause.For(ctx, admitPollInterval):
			continue
		}
		refusal := request.Refuse(request.Quarantined, "%s may have ended instances that ran it", d.Suspect)
		if d.RetryAfter > 0 {
			refusal = refusal.WithRetryAfter(d.RetryAfter)
		}
		return &failure{final: true, refusal: refusal, err: refusal}
	}
}

// begun records that an instance has answered: the request is sound.
func (q *suspect) begun() {
	if q != nil {
		q.suspects.ledger.Begun(q.request, time.Now())
	}
}

// lostWith records that the connection to an instance broke after the call was sent, and finds out
// whether the instance has ended.
func (q *suspect) lostWith(a *attempt, err error) {
	if q == nil || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	d := &a.decision
	in := quarantine.Instance{ID: d.Instance, Born: int64(d.Incarnation)}
	q.suspects.ledger.Lost(q.request, in, d.Address, time.Now())
	switch q.suspects.presence(d.Address) {
	case upstream.Gone:
		q.suspects.ledger.Ended(q.request, in, time.Now())
	case upstream.Unknown:
		q.suspects.ledger.Unexplained(q.request, time.Now())
	}
}

// presence finds out whether a process listens at an address.
func (s *suspects) presence(address string) upstream.Presence {
	c, err := s.dialer.Dial("tcp", address)
	if err != nil {
		return upstream.PresenceAfter(err)
	}
	c.Close()
	return upstream.Listening
}
