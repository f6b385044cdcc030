// Package planner decides which roles and models the engines of one
// availability zone have. It forecasts the mix of prefill and decode work,
// weighs the gain of a change against the seconds for which the engine is
// unavailable, and limits the rate of changes. It does no I/O and has no
// clock; the holder of the zone's lease executes the changes.
package planner

import (
	"math"
	"time"
)

// Work is the work that arrived in a period.
type Work struct {
	Requests      float64
	PromptTokens  float64 // to be computed, without cached prefixes
	OutputTokens  float64 // expected
	ContextTokens float64 // prompt and expected output tokens
}

func (w *Work) add(o Work) {
	w.Requests += o.Requests
	w.PromptTokens += o.PromptTokens
	w.OutputTokens += o.OutputTokens
	w.ContextTokens += o.ContextTokens
}

func (w Work) scale(f float64) Work {
	return Work{Requests: w.Requests * f, PromptTokens: w.PromptTokens * f, OutputTokens: w.OutputTokens * f, ContextTokens: w.ContextTokens * f}
}

// Demand is forecast work per second.
type Demand Work

// meanContext returns the mean number of tokens that a request keeps in memory.
func (d Demand) meanContext() float64 { return ratio(d.ContextTokens, d.Requests) }

// meanPrompt returns the mean number of prompt tokens computed for a request.
func (d Demand) meanPrompt() float64 { return ratio(d.PromptTokens, d.Requests) }

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// bucketLength is the period over which the forecaster sums work.
const bucketLength = time.Second

// Forecaster predicts demand by a level and a trend, each an exponential
// moving average of the work per bucket.
type Forecaster struct {
	window      time.Duration // time constant of the level; the trend's is twice as long
	bucketStart time.Duration // of the current bucket
	seenBucket  bool          // a bucket has been closed
	bucket      Work
	level       Work
	trend       Work    // per second
	weight      float64 // sum of the bucket weights in level; approaches 1
}

// NewForecaster returns a forecaster with the given time constant.
func NewForecaster(window time.Duration) *Forecaster { return &Forecaster{window: window} }

// Observe adds work that arrived at now.
func (f *Forecaster) Observe(now time.Duration, w Work) {
	f.closeEndedBuckets(now)
	f.bucket.add(w)
}

// closeEndedBuckets closes the buckets that have ended.
func (f *Forecaster) closeEndedBuckets(now time.Duration) {
	for now >= f.bucketStart+bucketLength {
		f.close()
		f.bucketStart += bucketLength
	}
}

func (f *Forecaster) close() {
	previous := f.average()
	levelWeight := 1 - math.Exp(-bucketLength.Seconds()/f.window.Seconds())
	f.level = f.level.scale(1 - levelWeight)
	f.level.add(f.bucket.scale(levelWeight / bucketLength.Seconds()))
	f.weight = f.weight*(1-levelWeight) + levelWeight
	f.bucket = Work{}
	if f.seenBucket {
		change := f.average()
		change.add(previous.scale(-1))
		trendWeight := levelWeight / 2
		f.trend = f.trend.scale(1 - trendWeight)
		f.trend.add(change.scale(trendWeight / bucketLength.Seconds()))
	}
	f.seenBucket = true
}

// average returns the level, corrected for its start at zero.
func (f *Forecaster) average() Work {
	if f.weight == 0 {
		return Work{}
	}
	return f.level.scale(1 / f.weight)
}

// ready reports whether the closed buckets cover at least one window.
func (f *Forecaster) ready() bool { return f.weight >= 1-1/math.E }

// Forecast returns the demand expected at now+ahead. It is zero until the closed
// buckets cover one window. The trend is extrapolated by at most the window.
func (f *Forecaster) Forecast(now, ahead time.Duration) Demand {
	f.closeEndedBuckets(now)
	if !f.ready() {
		return Demand{}
	}
	d := f.average()
	d.add(f.trend.scale(min(ahead, f.window).Seconds()))
	return Demand{
		Requests:      max(0, d.Requests),
		PromptTokens:  max(0, d.PromptTokens),
		OutputTokens:  max(0, d.OutputTokens),
		ContextTokens: max(0, d.ContextTokens),
	}
}
