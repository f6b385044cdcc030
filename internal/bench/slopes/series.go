// Package slopes measures the marginal cost of a host, watcher or instance: it
// runs a component of the system at several sizes in this process and fits a
// line through the processor time, memory and bytes sent at each size.
package slopes

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"filberthook/internal/bench/loadgen"
)

// Sample is the cost at one size.
type Sample struct {
	Size       int     `json:"size"`
	Cores      float64 `json:"cores"`        // processor time per elapsed time
	Heap       float64 `json:"heap_bytes"`   // live heap above the baseline
	Bytes      float64 `json:"bytes_second"` // bytes sent per second; negative when not measured
	Goroutines int     `json:"goroutines"`   // above the baseline
}

// Series is the cost of one component at several sizes.
type Series struct {
	Name    string   `json:"name"`
	Unit    string   `json:"unit"` // what the size counts
	Samples []Sample `json:"samples"`
	Notes   []string `json:"notes,omitempty"`
}

// Slope is the cost of one more unit.
type Slope struct {
	Cores      float64
	Heap       float64
	Bytes      float64
	Goroutines float64
}

// Slope fits a least-squares line through the samples for each kind of cost.
func (s Series) Slope() Slope {
	return Slope{
		Cores:      s.fit(func(p Sample) float64 { return p.Cores }),
		Heap:       s.fit(func(p Sample) float64 { return p.Heap }),
		Bytes:      s.fit(func(p Sample) float64 { return p.Bytes }),
		Goroutines: s.fit(func(p Sample) float64 { return float64(p.Goroutines) }),
	}
}

// fit returns the slope of the least-squares line through the samples, or 0 if
// all sizes are equal.
func (s Series) fit(value func(Sample) float64) float64 {
	n := float64(len(s.Samples))
	var sumX, sumY, sumXY, sumXX float64
	for _, p := range s.Samples {
		x, y := float64(p.Size), value(p)
		sumX += x
		sumY += y
		sumXY += x * y
		sumXX += x * x
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return 0
	}
	return (n*sumXY - sumX*sumY) / spread
}

// Print writes the series as text.
func (s Series) Print(w io.Writer) {
	fmt.Fprintf(w, "%s\n", s.Name)
	for _, p := range s.Samples {
		per := 1 / float64(p.Size)
		fmt.Fprintf(w, "  %4d: %.3f cores (%.3f%% of a core each), heap %.0f KiB (%.1f each), %s, %d goroutines\n",
			p.Size, p.Cores, 100*p.Cores*per, p.Heap/1024, p.Heap/1024*per, formatBytes(p.Bytes, per), p.Goroutines)
	}
	slope := s.Slope()
	fmt.Fprintf(w, "  one more %s: %.4f%% of a core, %.1f KiB heap, %.0f bytes/s, %.1f goroutines\n",
		s.Unit, 100*slope.Cores, slope.Heap/1024, max(slope.Bytes, 0), slope.Goroutines)
	for _, n := range s.Notes {
		fmt.Fprintln(w, "  ", n)
	}
}

func formatBytes(bytes, per float64) string {
	if bytes < 0 {
		return "bytes not measured"
	}
	return fmt.Sprintf("%.0f bytes/s (%.0f each)", bytes, bytes*per)
}

// baseline is the state of the process before the measured component started.
type baseline struct {
	heap       uint64
	goroutines int
}

func newBaseline() baseline { return baseline{heap: liveHeap(), goroutines: runtime.NumGoroutine()} }

// liveHeap returns the heap in use after garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measure lets the component run for length and returns its cost. counter
// returns the bytes sent so far; with nil, bytes are not measured.
func (b baseline) measure(size int, length time.Duration, counter func() uint64) (Sample, error) {
	heap := float64(liveHeap()) - float64(b.heap)
	before, err := loadgen.OwnCPU()
	if err != nil {
		return Sample{}, err
	}
	var sent uint64
	if counter != nil {
		sent = counter()
	}
	start := time.Now()
	time.Sleep(length)
	elapsed := time.Since(start).Seconds()
	after, err := loadgen.OwnCPU()
	s := Sample{Size: size, Cores: (after - before).Seconds() / elapsed, Heap: heap, Bytes: -1, Goroutines: runtime.NumGoroutine() - b.goroutines}
	if counter != nil {
		s.Bytes = float64(counter()-sent) / elapsed
	}
	return s, err
}
