package forward

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"filberthook/internal/process/boottime"
	"filberthook/internal/process/pause"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/revocation"
	"filberthook/internal/serve/routes"
)

const (
	// reasonUnauthorized is the reason of a request without a key of the configuration in force.
	reasonUnauthorized = "unauthorized"
	// reasonKeysUnconfirmed is the reason of a request that was refused because this host does not
	// know whether its configuration is still in force.
	reasonKeysUnconfirmed = "keys_unconfirmed"
	// confirmPollInterval is how often a request that waits for a confirmation checks for it.
	confirmPollInterval = 10 * time.Millisecond
	// authenticateScheme is sent with status 401.
	authenticateScheme = "Bearer"
	// maxUnauthorizedLinesPerSecond limits the log lines of requests without a valid key, which
	// anybody can send.
	maxUnauthorizedLinesPerSecond = 20
)

// Keys is how a host decides about the keys of client accounts.
type Keys struct {
	Policy        revocation.Policy
	Confirmations *revocation.Confirmations // nil counts as none
	// Announced returns the highest version that a control host has announced; nil for unknown.
	// A key of it must not be called unknown while it is fetched.
	Announced func() uint64
	// Stale is called when a request was refused for want of a confirmation; nil for no call.
	Stale func()
}

// state returns what is known of a version now. The clock is read after the request has
// arrived: a host that was frozen in between must see the time that has passed.
func (k *Keys) state(version uint64) revocation.State {
	if k.Confirmations == nil {
		return revocation.State{}
	}
	return k.Confirmations.State(version, boottime.Now())
}

// decide returns what this host does with a request, by the configuration t, and for which
// client account, nil for none.
func (k *Keys) decide(t *routes.Table, route *routes.Route, key string) (revocation.Verdict, *routes.Account, revocation.State) {
	if !t.Keyed {
		return revocation.ServeNobody, nil, revocation.State{}
	}
	account, state := t.Account(key), k.state(t.Version)
	if account == nil && k.Announced != nil {
		state.Newest = max(state.Newest, k.Announced())
	}
	verdict := k.Policy.Decide(revocation.Request{Known: account != nil, Public: route.Public}, t.Version, state)
	if verdict == revocation.ServeNobody {
		account = nil
	}
	if verdict == revocation.RejectForATime && k.Stale != nil {
		k.Stale()
	}
	return verdict, account, state
}

// authorize returns the client account of a request that has just arrived, nil for none. It
// answers a request that must not run and returns false. A host that has just started, or was
// frozen, asks the control hosts at once; requests wait for the answer, as refused callers would
// return later than that.
func (s *Server) authorize(w http.ResponseWriter, r *http.Request, t *routes.Table, route *routes.Route, meta dialect.Meta, arrived time.Time) (*routes.Account, bool) {
	if !t.Keyed {
		return nil, true
	}
	verdict, account, state := s.settings.Keys.decide(t, route, meta.Key)
	for verdict == revocation.RejectForATime && !state.Failing && time.Since(arrived) < startWaitLimit(meta.Deadline) && pause.For(r.Context(), confirmPollInterval) {
		t = s.Table()
		verdict, account, state = s.settings.Keys.decide(t, route, meta.Key)
	}
	if verdict == revocation.Serve || verdict == revocation.ServeNobody {
		return account, true
	}
	line := []any{"id", meta.ID, "authority", r.Host, "path", r.URL.Path, "route", route.Name, "account", accountName(account), "config", t.Version,
		"confirmed", state.Confirmed, "confirmed_age_ms", state.Age.Milliseconds(), "newest", state.Newest}
	limitDiscarding(w)
	if verdict == revocation.RejectKey {
		s.refuseKey(w, route, line)
		return nil, false
	}
	s.logUnauthorized(slog.LevelWarn, append(line, "reason", reasonKeysUnconfirmed, "status", http.StatusServiceUnavailable))
	s.countUnauthorized(route, "refused", reasonKeysUnconfirmed)
	w.Header().Set("Retry-After", seconds(minRetryAfter+retrySpread(route)))
	http.Error(w, reasonKeysUnconfirmed, http.StatusServiceUnavailable)
	return nil, false
}

// refuseKey answers 401 to a request without a key of the configuration in force.
func (s *Server) refuseKey(w http.ResponseWriter, route *routes.Route, line []any) {
	s.logUnauthorized(slog.LevelInfo, append(line, "reason", reasonUnauthorized, "status", http.StatusUnauthorized))
	s.countUnauthorized(route, reasonUnauthorized, reasonUnauthorized)
	w.Header().Set("WWW-Authenticate", authenticateScheme)
	http.Error(w, "send a valid key of a client account", http.StatusUnauthorized)
}

func (s *Server) logUnauthorized(level slog.Level, line []any) {
	keep, leftOut := s.unauthorized.Allow(time.Now())
	if !keep {
		return
	}
	s.logger.Log(s.ended, level, "request refused", append(line, "omitted", leftOut)...)
}

func (s *Server) countUnauthorized(route *routes.Route, outcome, reason string) {
	s.count(route.Kind.String(), outcome)
	s.metrics.GetOrCreateCounter(`filberthook_entry_refusals_total{reason="` + reason + `"}`).Inc()
}

// retrySpread returns a random part of a Retry-After, which grows with the route's latency goal.
func retrySpread(r *routes.Route) time.Duration {
	return time.Duration(rand.Int64N(int64(min(max(r.Goal/2, minRetryAfter), maxRetryAfter))))
}

func accountName(a *routes.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
}

// setAccount records the client account of a call. The account, not the key, names the request
// when it comes again: that name goes into logs and to other hosts.
func (c *call) setAccount(keyed bool, a *routes.Account) {
	c.keyed, c.account = keyed, a
	if keyed {
		c.meta.Caller = accountName(a)
	}
}

// reauthorize decides again, by the configuration now in force, about a request whose body
// had to be waited for. It answers a request that must not run and returns false.
func (c *call) reauthorize() bool {
	if !c.keyed || c.r.Body == http.NoBody {
		return true
	}
	verdict, account, _ := c.server.settings.Keys.decide(c.server.Table(), c.route, c.meta.Key)
	switch verdict {
	case revocation.RejectKey:
		c.w.Header().Set("WWW-Authenticate", authenticateScheme)
		c.fail(http.StatusUnauthorized, reasonUnauthorized)
		return false
	case revocation.RejectForATime:
		c.refuse(reasonKeysUnconfirmed, c.retryAfter())
		return false
	}
	c.setAccount(true, account)
	return true
}

// priority returns the request's priority at instances.
func (c *call) priority() int {
	if c.account != nil {
		return c.account.Priority
	}
	return c.route.Priority
}
