package soak

import (
	"cmp"
	"fmt"
	"slices"
)

// Limits of the growth between the second and the last quarter of a process's
// samples: the later median may be growthFactor times the earlier plus the slack.
const (
	growthFactor    = 1.25
	slackBytes      = 16 << 20
	slackFiles      = 32
	slackGoroutines = 64
	minSamples      = 8 // processes with fewer samples are not assessed
)

// Growth is the growth of one metric of one process.
type Growth struct {
	Process string
	PID     int
	Metric  string
	Early   float64 // median of the second quarter of its samples
	Late    float64 // median of the last quarter
	Flat    bool
}

// String implements fmt.Stringer.
func (g Growth) String() string {
	verdict := "flat"
	if !g.Flat {
		verdict = "GROWS"
	}
	return fmt.Sprintf("%s (process %d) %s %.0f to %.0f: %s", g.Process, g.PID, g.Metric, g.Early, g.Late, verdict)
}

// AssessGrowth compares the early with the late samples of a process, for each
// metric. It returns nil if there are too few samples.
func AssessGrowth(name string, samples []Sample) []Growth {
	if len(samples) < minSamples {
		return nil
	}
	metrics := []struct {
		name  string
		value func(Sample) float64
		slack float64
	}{
		{"resident bytes", func(s Sample) float64 { return float64(s.Resident) }, slackBytes},
		{"open files", func(s Sample) float64 { return float64(s.Files) }, slackFiles},
		{"goroutines", func(s Sample) float64 { return float64(s.Goroutines) }, slackGoroutines},
	}
	quarter := len(samples) / 4
	var out []Growth
	for _, f := range metrics {
		g := Growth{
			Process: name,
			PID:     samples[0].PID,
			Metric:  f.name,
			Early:   median(samples[quarter:2*quarter], f.value),
			Late:    median(samples[len(samples)-quarter:], f.value),
		}
		g.Flat = g.Late <= growthFactor*g.Early+f.slack
		out = append(out, g)
	}
	return out
}

func median(samples []Sample, value func(Sample) float64) float64 {
	sorted := slices.SortedFunc(slices.Values(samples), func(a, b Sample) int { return cmp.Compare(value(a), value(b)) })
	return value(sorted[len(sorted)/2])
}
