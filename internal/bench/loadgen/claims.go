package loadgen

import (
	"context"
	"fmt"
	"io"
	"time"

	"filberthook/internal/process/saturate"
)

// ClaimsConfig configures a measurement of calls that run at most once.
type ClaimsConfig struct {
	Entries  []string // IP:port of entry hosts, used round-robin
	TeamKey  string
	Service  string    // path prefix of the plain service
	Rates    []float64 // calls per second, one measurement each
	Duration time.Duration
	Timeout  time.Duration
	Seed     uint64
}

// ClaimsReport compares the latency of calls that run at most once with that of
// status reads, which need no claim, at one rate.
type ClaimsReport struct {
	Rate     float64         `json:"rate"`
	Reached  float64         `json:"reached"` // claimed calls per second that succeeded
	Outcomes map[Outcome]int `json:"outcomes"`
	Claimed  Quantiles       `json:"claimed"`
	Reads    Quantiles       `json:"reads"`
}

// Print writes the report as text.
func (r ClaimsReport) Print(w io.Writer) {
	fmt.Fprintf(w, "%.0f calls/s of each kind, reached %.0f claimed calls/s;", r.Rate, r.Reached)
	for _, o := range Outcomes() {
		fmt.Fprintf(w, " %s %d", o, r.Outcomes[o])
	}
	fmt.Fprintf(w, "\n  claimed calls %s\n  status reads  %s\n  added at the median %s\n",
		r.Claimed, r.Reads, millis(r.Claimed.Median-r.Reads.Median))
}

// Claims measures the rates one after the other; at each, half of the calls need
// a claim and half are status reads.
func Claims(ctx context.Context, cfg ClaimsConfig) []ClaimsReport {
	var out []ClaimsReport
	for i, rate := range cfg.Rates {
		report := Run(ctx, RunConfig{
			Entries: cfg.Entries, TeamKey: cfg.TeamKey, Service: cfg.Service,
			Mix:  Mix{Booking: 1, Status: 1},
			Rate: 2 * rate, Calls: saturate.Int(2 * rate * cfg.Duration.Seconds()),
			Timeout: cfg.Timeout, Seed: cfg.Seed<<8 + uint64(i),
		})
		out = append(out, claimsReport(rate, report))
	}
	return out
}

func claimsReport(rate float64, report RunReport) ClaimsReport {
	r := ClaimsReport{Rate: rate}
	for _, c := range report.Classes {
		if c.Class == ClassBooking {
			r.Claimed, r.Outcomes = c.Total, c.Outcomes
			r.Reached = float64(c.Outcomes[Whole]) / report.Elapsed.Seconds()
			continue
		}
		r.Reads = c.Total
	}
	return r
}
