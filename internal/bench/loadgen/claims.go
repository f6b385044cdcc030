package loadgen

import (
	"context"
	"fmt"
	"io"
	"time"
)

// ClaimsConfig describes a measurement of calls that may run at most once.
type ClaimsConfig struct {
	Entries  []string // IP:port of entry hosts, used in turn
	TeamKey  string
	Service  string    // path prefix of the plain service
	Rates    []float64 // calls per second, one measurement each
	Duration time.Duration
	Timeout  time.Duration
	Seed     uint64
}

// ClaimsReport compares calls that run at most once with status reads, which
// need no claim, at one rate.
type ClaimsReport struct {
	Rate     float64         `json:"rate"`
	Reached  float64         `json:"reached"` // claimed calls per second with a whole answer
	Outcomes map[Outcome]int `json:"outcomes"`
	Claimed  Quantiles       `json:"claimed"`
	Reads    Quantiles       `json:"reads"`
}

// Print writes the report for people.
func (r ClaimsReport) Print(w io.Writer) {
	fmt.Fprintf(w, "%.0f calls/s of each kind, reached %.0f claimed calls/s;", r.Rate, r.Reached)
	for _, o := range Outcomes() {
		fmt.Fprintf(w, " %s %d", o, r.Outcomes[o])
	}
	fmt.Fprintf(w, "\n  claimed calls %s\n  status reads  %s\n  added at the median %s\n",
		r.Claimed, r.Reads, millis(r.Claimed.Median-r.Reads.Median))
}

// Claims measures one rate after the other; half of the calls are claimed.
func Claims(ctx context.Context, cfg ClaimsConfig) []ClaimsReport {
	var out []ClaimsReport
	for i, rate := range cfg.Rates {
		report := Run(ctx, RunConfig{
			Entries: cfg.Entries, TeamKey: cfg.TeamKey, Service: cfg.Service,
			Mix:  Mix{Booking: 1, Status: 1},
			Rate: 2 * rate, Calls: int(2 * rate * cfg.Duration.Seconds()),
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
