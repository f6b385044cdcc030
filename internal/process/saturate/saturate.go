// Package saturate converts floating-point numbers to integers and durations. Go leaves open
// what a conversion beyond the range of the integer gives, and processors differ.
//
// All functions truncate toward zero. Values beyond the range, infinities included, give the
// nearest end of the range. NaN gives 0.
package saturate

import (
	"math"
	"time"
)

// Milliseconds returns a number of milliseconds as a duration.
func Milliseconds(ms float64) time.Duration { return Nanoseconds(ms * float64(time.Millisecond)) }

// Seconds returns a number of seconds as a duration.
func Seconds(s float64) time.Duration { return Nanoseconds(s * float64(time.Second)) }

// Nanoseconds returns a number of nanoseconds as a duration, such as one that was scaled.
func Nanoseconds(ns float64) time.Duration { return time.Duration(Int64(ns)) }

// Int64 returns v as an int64.
func Int64(v float64) int64 {
	switch {
	case v >= 1<<63:
		return math.MaxInt64
	case v < -1<<63:
		return math.MinInt64
	case math.IsNaN(v):
		return 0
	}
	return int64(v)
}

// Int returns v as an int.
func Int(v float64) int { return int(min(max(Int64(v), math.MinInt), math.MaxInt)) }

// Uint32 returns v as a uint32.
func Uint32(v float64) uint32 { return uint32(min(max(Int64(v), 0), math.MaxUint32)) }
