package entryhost

import (
	"context"
	"time"

	"filberthook/internal/control/controlwatch"
	"filberthook/internal/process/boottime"
	"filberthook/internal/serve/forward"
	"filberthook/internal/serve/revocation"
)

// keys is what the host knows of the keys of client accounts.
type keys struct {
	policy        revocation.Policy
	confirmations revocation.Confirmations
	check         chan struct{} // to check whether the next confirmation is due
}

func newKeys(a Accounts) *keys {
	return &keys{policy: revocation.Policy{Within: a.RevokeWithin.Duration}, check: make(chan struct{}, 1)}
}

// forwarding returns how requests are decided about; announced is called for unknown keys only.
func (k *keys) forwarding(announced func() uint64) forward.Keys {
	return forward.Keys{Policy: k.policy, Confirmations: &k.confirmations, Announced: announced, Stale: k.wake}
}

// wake has the host check whether the next confirmation is due.
func (k *keys) wake() {
	select {
	case k.check <- struct{}{}:
	default:
	}
}

// confirmKeys keeps the configuration confirmed while it lists client accounts.
func (h *Host) confirmKeys(ctx context.Context) {
	h.watcher.Confirm(ctx, &controlwatch.Confirmer{
		Clients: h.confirmClients, Interval: h.keys.policy.AskInterval(), Needed: h.keyed, Record: &h.keys.confirmations, Wake: h.keys.check,
	})
}

// keyed reports whether the configuration lists client accounts.
func (h *Host) keyed() bool {
	t := h.server.Table()
	return t != nil && t.Keyed
}

// knowsKeys reports whether this host may serve requests with keys, or has waited for that long
// enough: it serves public routes without.
func (h *Host) knowsKeys() bool {
	if h.keys.policy.Within == 0 || !h.keyed() || time.Since(h.startedAt) > maxExchangeWait {
		return true
	}
	return h.keys.confirmations.State(h.server.Table().Version, boottime.Now()).Confirmed
}

// accountCount returns the number of client accounts in the configuration.
func (h *Host) accountCount() int {
	if t := h.server.Table(); t != nil {
		return len(t.Accounts)
	}
	return 0
}

// confirmedAge returns the seconds since the last moment at which a quorum knew of no
// configuration newer than the one in force here; -1 if that is not known.
func (h *Host) confirmedAge() float64 {
	t := h.server.Table()
	if t == nil || !t.Keyed {
		return -1
	}
	state := h.keys.confirmations.State(t.Version, boottime.Now())
	if !state.Confirmed {
		return -1
	}
	return state.Age.Seconds()
}

// AccountsStatus is what this host knows of the client accounts, without their keys.
type AccountsStatus struct {
	Version        uint64          `json:"version"` // of the configuration in force here
	Keyed          bool            `json:"keyed"`   // requests need keys
	ConfirmedAgeMS int64           `json:"confirmed_age_ms"`
	Accounts       []AccountStatus `json:"accounts"`
}

// AccountStatus is one client account.
type AccountStatus struct {
	Name     string `json:"name"`
	Keys     int    `json:"keys"` // number of keys
	Priority int    `json:"priority"`
}

// Accounts returns the client accounts of the configuration in force here.
func (h *Host) Accounts() AccountsStatus {
	s := AccountsStatus{ConfirmedAgeMS: -1, Accounts: []AccountStatus{}}
	t := h.server.Table()
	if t == nil {
		return s
	}
	s.Version, s.Keyed = t.Version, t.Keyed
	if state := h.keys.confirmations.State(t.Version, boottime.Now()); state.Confirmed {
		s.ConfirmedAgeMS = state.Age.Milliseconds()
	}
	for _, a := range t.Accounts {
		s.Accounts = append(s.Accounts, AccountStatus{Name: a.Name, Keys: len(a.Keys), Priority: a.Priority})
	}
	return s
}
