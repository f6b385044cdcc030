// Package metricsdoc compares the metrics of a running host with docs/METRICS.md.
package metricsdoc

import (
	"regexp"
	"slices"
	"strings"
)

// prefix is common to the metrics of filberthook. The page does not document the
// metrics of the Go runtime and the process.
const prefix = "filberthook_"

var documentedName = regexp.MustCompile("`(" + prefix + "[a-z_]+)`")

// Undocumented returns the filberthook metrics among names that the page does not
// list, each once. Names may carry labels and the suffixes of histograms.
func Undocumented(page string, names []string) []string {
	known := map[string]bool{}
	for _, m := range documentedName.FindAllStringSubmatch(page, -1) {
		known[m[1]] = true
	}
	var out []string
	for _, name := range names {
		name = baseName(name)
		if strings.HasPrefix(name, prefix) && !known[name] && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

func baseName(name string) string {
	name, _, _ = strings.Cut(name, " ")
	name, _, _ = strings.Cut(name, "{")
	for _, suffix := range []string{"_bucket", "_sum", "_count"} {
		name = strings.TrimSuffix(name, suffix)
	}
	return name
}
