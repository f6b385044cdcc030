package retry

import (
	"time"

	"filberthook/internal/process/saturate"
	"filberthook/internal/process/tomltime"
)

// BackoffSettings are the delays between attempts.
type BackoffSettings struct {
	Base tomltime.Duration `toml:"base"`
	Max  tomltime.Duration `toml:"max"`
}

// DefaultBackoff returns delays that fit endpoints within one data centre.
func DefaultBackoff() BackoffSettings {
	return BackoffSettings{Base: tomltime.Of(10 * time.Millisecond), Max: tomltime.Of(time.Second)}
}

// Backoff returns the delay before the next attempt after n failed ones, n from
// 1. The delay is uniform between zero and a limit that doubles with n (full
// jitter), so that callers that failed together do not retry together. random
// is from 0 to 1.
func Backoff(s BackoffSettings, n int, random float64) time.Duration {
	limit := s.Base.Duration
	for i := 1; i < n && limit < s.Max.Duration; i++ {
		limit *= 2
	}
	return saturate.Nanoseconds(random * float64(min(limit, s.Max.Duration)))
}

// JitterRetryAfter lengthens an advised retry delay by up to half, so that callers
// refused together do not retry together. random is from 0 to 1.
func JitterRetryAfter(advised time.Duration, random float64) time.Duration {
	return advised + saturate.Nanoseconds(random*float64(advised)/2)
}
