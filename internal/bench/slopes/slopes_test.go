package slopes

import (
	"bytes"
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"filberthook/internal/control/distribution"
)

func TestSlopeOfALine(t *testing.T) {
	s := Series{Unit: "host", Samples: []Sample{
		{Size: 10, Cores: 0.3, Heap: 1000, Bytes: 50, Goroutines: 25},
		{Size: 20, Cores: 0.5, Heap: 1500, Bytes: 150, Goroutines: 45},
		{Size: 40, Cores: 0.9, Heap: 2500, Bytes: 350, Goroutines: 85},
	}}
	got := s.Slope()
	for _, v := range []struct {
		name      string
		got, want float64
	}{{"cores", got.Cores, 0.02}, {"heap", got.Heap, 50}, {"bytes", got.Bytes, 10}, {"goroutines", got.Goroutines, 2}} {
		if math.Abs(v.got-v.want) > 1e-9 {
			t.Errorf("slope of %s = %v, want %v", v.name, v.got, v.want)
		}
	}
	if got := (Series{Samples: s.Samples[:1]}).Slope(); got != (Slope{}) {
		t.Errorf("slope of one sample = %+v, want none", got)
	}
}

// TestComponentsRunAtSmallSizes runs each component briefly and checks that it
// reports samples; the costs themselves are not checked.
func TestComponentsRunAtSmallSizes(t *testing.T) {
	components := []struct {
		name    string
		measure func(context.Context, []int, time.Duration) (Series, error)
		sizes   []int
		length  time.Duration // longer than the interval between two messages
		sends   bool          // whether bytes sent are measured
	}{
		{"hosts", Hosts, []int{2, 4}, 500 * time.Millisecond, true},
		{"watchers", Watchers, []int{2}, distribution.WatchWait + 200*time.Millisecond, true},
		{"instances", Instances, []int{2}, 100 * time.Millisecond, false},
	}
	for _, tt := range components {
		t.Run(tt.name, func(t *testing.T) {
			s, err := tt.measure(t.Context(), tt.sizes, tt.length)
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range s.Samples {
				if p.Goroutines <= 0 || (p.Bytes > 0) != tt.sends {
					t.Errorf("sample = %+v, want goroutines, and bytes: %v", p, tt.sends)
				}
			}
			var out bytes.Buffer
			s.Print(&out)
			if !strings.Contains(out.String(), "one more "+s.Unit) {
				t.Errorf("report lacks the slope:\n%s", out.String())
			}
		})
	}
}
