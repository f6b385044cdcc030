// Package metricsdoc compares the metrics of a running host with docs/METRICS.md.
package metricsdoc

import (
	"regexp"
	"slices"
	"strings"
)

// own is the prefix of our metrics. Those of the Go runtime and the process are not
// documented here.
const own = "filberthook_"

var documented = regexp.MustCompile("`(" + own + "[a-z_]+)`")

// Undocumented returns our metrics among names that the page does not have, each
// once. Names may carry labels and the suffixes of histograms.
func Undocumented(page string, names []string) []string {
	known := map[string]bool{}
	for _, m := range documented.FindAllStringSubmatch(page, -1) {
		known[m[1]] = true
	}
	var out []string
	for _, name := range names {
		name = base(name)
		if strings.HasPrefix(name, own) && !known[name] && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

func base(name string) string {
	name, _, _ = strings.Cut(name, " ")
	name, _, _ = strings.Cut(name, "{")
	for _, suffix := range []string{"_bucket", "_sum", "_count"} {
		name = strings.TrimSuffix(name, suffix)
	}
	return name
}
