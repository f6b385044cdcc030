package controlapi

// MethodUsage is the call UsageReport to UsageResponse, from an entry host; at any control host,
// which passes a report with counts on to the leader.
const MethodUsage = "control.usage"

// UsageReport holds how many requests of each account began at an entry host, by window. The
// counts are cumulative: a repeat replaces the earlier value.
type UsageReport struct {
	// Host is the entry host, set by a control host that passes the report on.
	Host string `json:"host,omitempty"`
	// Start identifies the run of the entry host's process.
	Start string `json:"start"`
	// Collector is that of the last answer, which has all counts that changed no more since then.
	Collector string `json:"collector,omitempty"`
	// TimeOnly asks only for the time of day at the control host.
	TimeOnly bool `json:"time_only,omitempty"`
	// NowMS is the true time as the entry host estimates it, in milliseconds since 1970.
	NowMS int64 `json:"now_ms"`
	// ThroughMS is the time up to which the counts are complete.
	ThroughMS int64 `json:"through_ms"`
	// Final says that the process ends: nothing follows.
	Final bool `json:"final,omitempty"`
	// Windows are the counts by window and account that changed since the last answer.
	Windows map[int64]map[string]int64 `json:"windows,omitempty"`
}

// UsageResponse tells what became of a report.
type UsageResponse struct {
	// TimeMS is the time of day at the control host that was called.
	TimeMS int64 `json:"time_ms"`
	// Collector identifies who holds the counts, empty if no leader took them. A change of it
	// means that all counts have to be sent again.
	Collector string `json:"collector,omitempty"`
	// Recorded is the last window that is in the replicated log; no earlier one is still needed.
	Recorded int64 `json:"recorded"`
}
