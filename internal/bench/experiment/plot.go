package experiment

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"filberthook/internal/serve/class"
)

// plotBinSeconds is the time covered by one point of a plot.
const plotBinSeconds = 5

// legendShare is the fraction of the time axis added on the right for the legend.
const legendShare = 0.35

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
)

type line struct {
	name   string
	points plotter.XYs
}

// chart is one plot of a value over time, with a line for each policy.
type chart struct {
	file, title, unit string
	value             func(bin []second, before float64) (y float64, ok bool)
}

var charts = []chart{
	{"goodput.png", "Answers in time, share of offered", "share", goodShare},
	{"role-changes.png", "Role changes since the start", "changes", cumulativeRoleChanges},
	{"first-token.png", "Time to first token, 95th percentile", "s", firstTokenP95},
	{"gap.png", "Time between tokens, 95th percentile", "ms", gapP95},
	{"memory.png", "Engine memory in use", "share", memoryUsed},
}

// plot draws all charts from each policy's run with the first seed, and goodput by class
// for each policy.
func (c *Comparison) plot(dir string) error {
	firsts := c.firstSeeds()
	for _, ch := range charts {
		var lines []line
		for _, r := range firsts {
			lines = append(lines, line{r.Policy, ch.points(r.seconds)})
		}
		if err := draw(filepath.Join(dir, ch.file), c.Scenario+": "+ch.title, ch.unit, lines); err != nil {
			return err
		}
	}
	for _, r := range firsts {
		path := filepath.Join(dir, "goodput-by-class-"+r.Policy+".png")
		if err := draw(path, c.Scenario+": good answers per second, "+r.Policy, "answers per second", byClass(r.seconds)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Comparison) firstSeeds() []*Result {
	var out []*Result
	for i := range c.Runs {
		if c.Runs[i].Seed == c.Runs[0].Seed {
			out = append(out, &c.Runs[i])
		}
	}
	return out
}

func (ch *chart) points(seconds []second) plotter.XYs {
	var out plotter.XYs
	before := 0.0
	for at := 0; at+plotBinSeconds <= len(seconds); at += plotBinSeconds {
		y, ok := ch.value(seconds[at:at+plotBinSeconds], before)
		if ok {
			out = append(out, plotter.XY{X: float64(at), Y: y})
			before = y
		}
	}
	return out
}

func goodShare(bin []second, _ float64) (float64, bool) {
	good, offered := 0, 0
	for i := range bin {
		for c := range class.Count {
			good += bin[i].Good[c]
			offered += bin[i].Offered[c]
		}
	}
	return share(good, offered), offered > 0
}

func cumulativeRoleChanges(bin []second, before float64) (float64, bool) {
	for i := range bin {
		before += float64(bin[i].RoleChanges)
	}
	return before, true
}

func firstTokenP95(bin []second, _ float64) (float64, bool) {
	all := bin[0].FirstToken
	for i := range bin[1:] {
		all = append(all[:len(all):len(all)], bin[i+1].FirstToken...)
	}
	return percentile(all, 0.95).Seconds(), len(all) > 0
}

func gapP95(bin []second, _ float64) (float64, bool) {
	all := bin[0].Gap
	for i := range bin[1:] {
		all = append(all[:len(all):len(all)], bin[i+1].Gap...)
	}
	return float64(percentile(all, 0.95).Milliseconds()), len(all) > 0
}

func memoryUsed(bin []second, _ float64) (float64, bool) {
	sum := 0.0
	for i := range bin {
		sum += bin[i].Memory
	}
	return sum / float64(len(bin)), true
}

// byClass returns offered requests and good answers per second for each class in use.
func byClass(seconds []second) []line {
	var lines []line
	for k := range class.Count {
		offered := line{name: class.Class(k).String() + " offered"}
		good := line{name: class.Class(k).String() + " good"}
		sum := 0
		for at := 0; at+plotBinSeconds <= len(seconds); at += plotBinSeconds {
			o, g := 0, 0
			for i := range seconds[at : at+plotBinSeconds] {
				o += seconds[at+i].Offered[k]
				g += seconds[at+i].Good[k]
			}
			sum += o
			offered.points = append(offered.points, plotter.XY{X: float64(at), Y: float64(o) / plotBinSeconds})
			good.points = append(good.points, plotter.XY{X: float64(at), Y: float64(g) / plotBinSeconds})
		}
		if sum > 0 {
			lines = append(lines, offered, good)
		}
	}
	return lines
}

// draw writes a line plot over time as a PNG file.
func draw(path, title, unit string, lines []line) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		drawn.Color = plotutil.Color(i)
		drawn.Dashes = plotutil.Dashes(i)
		drawn.Width = vg.Points(1.5)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	p.X.Max += legendShare * (p.X.Max - p.X.Min)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}
