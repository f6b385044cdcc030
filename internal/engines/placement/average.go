package placement

import (
	"math"
	"time"
)

// movingAverage is an exponential moving average that also decays with time.
type movingAverage struct {
	value float64
	at    time.Time
}

// sampleWeight is the weight of one new value.
const sampleWeight = 0.3

// add adds a sample.
func (a *movingAverage) add(value float64, now time.Time) { a.addWeighted(value, sampleWeight, now) }

// addWeighted adds a sample with a weight from 0 to 1.
func (a *movingAverage) addWeighted(value, weight float64, now time.Time) {
	if a.at.IsZero() {
		a.value, a.at = value, now
		return
	}
	a.value += weight * (value - a.value)
	a.at = now
}

// decayed returns the average, halved for each half-life since the last sample.
func (a *movingAverage) decayed(now time.Time, halfLife time.Duration) float64 {
	if a.at.IsZero() || a.value == 0 {
		return 0
	}
	return a.value * math.Exp2(-float64(max(0, now.Sub(a.at)))/float64(halfLife))
}
