package fleet

// MaxOutcomes is the number of outcomes that are kept to answer resends. An accepted
// command whose outcome was dropped is still not applied twice if it is resent with its
// original expected revision: it is then refused as a conflict.
const MaxOutcomes = 4096

// MaxAudit is the number of accepted commands kept in the state. Older ones
// are only in the log files of the control hosts.
const MaxAudit = 4096

type outcomeKey struct {
	Operator string `json:"operator"`
	ChangeID string `json:"change_id"`
}

// outcome is the first outcome of a command.
type outcome struct {
	Key      outcomeKey `json:"key"`
	Digest   string     `json:"digest"`
	Revision uint64     `json:"revision"`
	Err      *Error     `json:"err,omitempty"`
}

// outcomeHistory is a ring of the newest MaxOutcomes outcomes.
type outcomeHistory struct {
	byKey map[outcomeKey]outcome
	order []outcomeKey // ring; next is the index of the oldest key once it is full
	next  int
}

func newOutcomeHistory() outcomeHistory {
	return outcomeHistory{byKey: map[outcomeKey]outcome{}}
}

func (m *outcomeHistory) get(key outcomeKey) (outcome, bool) {
	o, ok := m.byKey[key]
	return o, ok
}

func (m *outcomeHistory) put(o outcome) {
	m.byKey[o.Key] = o
	if len(m.order) < MaxOutcomes {
		m.order = append(m.order, o.Key)
		return
	}
	delete(m.byKey, m.order[m.next])
	m.order[m.next] = o.Key
	m.next = (m.next + 1) % MaxOutcomes
}

// oldestFirst returns the outcomes in the order in which they were put.
func (m *outcomeHistory) oldestFirst() []outcome {
	all := make([]outcome, 0, len(m.order))
	for i := range m.order {
		all = append(all, m.byKey[m.order[(m.next+i)%len(m.order)]])
	}
	return all
}

// AuditEntry is one accepted command.
type AuditEntry struct {
	Revision uint64   `json:"revision"`
	ChangeID string   `json:"change_id"`
	Operator string   `json:"operator"`
	AtMillis int64    `json:"at_ms"` // wall clock of the leader, milliseconds since 1970
	Summary  []string `json:"summary"`
}

// auditTrail is a ring of the newest MaxAudit entries.
type auditTrail struct {
	entries []AuditEntry
	next    int // index of the oldest entry once the ring is full
}

func (t *auditTrail) add(e AuditEntry) {
	if len(t.entries) < MaxAudit {
		t.entries = append(t.entries, e)
		return
	}
	t.entries[t.next] = e
	t.next = (t.next + 1) % MaxAudit
}

func (t *auditTrail) oldestFirst() []AuditEntry {
	all := make([]AuditEntry, 0, len(t.entries))
	for i := range t.entries {
		all = append(all, t.entries[(t.next+i)%len(t.entries)])
	}
	return all
}

func (t *auditTrail) newest(limit int) []AuditEntry {
	count := min(limit, len(t.entries))
	found := make([]AuditEntry, 0, count)
	for i := range count {
		at := (t.next + len(t.entries) - 1 - i) % len(t.entries)
		found = append(found, t.entries[at])
	}
	return found
}
