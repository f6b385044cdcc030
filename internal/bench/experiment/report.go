package experiment

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"
	"time"

	"filberthook/internal/serve/class"
)

// WriteTable writes the summaries as an aligned table.
func (c *Comparison) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\t good/offered\t good/bound\t min..max\t role changes\t first p95 s\t gap p95 ms\t late\t slow\t not run\t\n", c.Scenario)
	for i := range c.Summaries {
		s := &c.Summaries[i]
		fmt.Fprintf(t, "%s\t %.4f\t %.4f\t %.4f..%.4f\t %.1f\t %.2f\t %.0f\t %.0f\t %.0f\t %.0f\t\n",
			s.Policy, s.OfOffered.Mean, s.OfBound.Mean, s.OfBound.Min, s.OfBound.Max,
			s.RoleChanges.Mean, s.FirstP95.Mean, s.GapP95.Mean, s.Late.Mean, s.Slow.Mean, s.NotRun.Mean)
	}
	return t.Flush()
}

// Write writes into a directory the table, the JSON, the plots of the first seed and, for each
// run, one CSV file with a row per second and one with the role changes.
func (c *Comparison) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("make output directory: %w", err)
	}
	if err := c.writeFile(filepath.Join(dir, "table.txt"), c.WriteTable); err != nil {
		return err
	}
	if err := c.writeFile(filepath.Join(dir, "result.json"), c.writeJSON); err != nil {
		return err
	}
	for i := range c.Runs {
		r := &c.Runs[i]
		suffix := fmt.Sprintf("-%s-%d.csv", r.Policy, r.Seed)
		if err := c.writeFile(filepath.Join(dir, "seconds"+suffix), r.writeCSV); err != nil {
			return err
		}
		if err := c.writeFile(filepath.Join(dir, "changes"+suffix), r.writeChanges); err != nil {
			return err
		}
	}
	return c.plot(dir)
}

func (c *Comparison) writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return fmt.Errorf("write %s: %w", path, err)
	}
	return f.Close()
}

func (c *Comparison) writeJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(c)
}

func (r *Result) writeCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	header := []string{"second"}
	for k := range class.Count {
		name := class.Class(k).String()
		header = append(header, "offered_"+name, "good_"+name)
	}
	header = append(header, "role_changes", "first_token_p95_ms", "gap_p95_ms", "memory", "prefill_engines")
	if err := out.Write(header); err != nil {
		return err
	}
	for i := range r.seconds {
		if err := out.Write(r.seconds[i].row(i)); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func (r *Result) writeChanges(w io.Writer) error {
	out := csv.NewWriter(w)
	if err := out.Write([]string{"seconds", "instance", "from", "to", "reason"}); err != nil {
		return err
	}
	for _, c := range r.changes {
		if err := out.Write([]string{decimal(c.At.Seconds()), c.Instance, string(c.From), string(c.To), c.Reason}); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func (s *second) row(at int) []string {
	row := []string{strconv.Itoa(at)}
	for c := range class.Count {
		row = append(row, strconv.Itoa(s.Offered[c]), strconv.Itoa(s.Good[c]))
	}
	return append(row, strconv.Itoa(s.RoleChanges), millis(percentile(s.FirstToken, 0.95)),
		millis(percentile(s.Gap, 0.95)), decimal(s.Memory), decimal(s.PrefillEngines))
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func decimal(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
