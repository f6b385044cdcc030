// Package loglimit bounds what input from other writers adds to a log: the lines about
// refused messages, and the length of what they quote.
package loglimit

import (
	"sync"
	"time"
	"unicode/utf8"
)

// Interval is the least time between two lines of a kind.
const Interval = time.Second

// maxTextBytes is the length to which Shorten cuts a text.
const maxTextBytes = 300

// Limiter allows one line of each kind in an Interval. It is ready for use and safe for
// concurrent use.
type Limiter struct {
	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	loggedAt time.Time
	omitted  int
}

// Allow reports whether a line may be logged now, and how many of its kind were left out
// since the last one. Kinds are names in the program, never what came from another writer.
func (l *Limiter) Allow(name string, now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kinds == nil {
		l.kinds = map[string]*kind{}
	}
	k := l.kinds[name]
	if k == nil {
		k = &kind{}
		l.kinds[name] = k
	} else if passed := now.Sub(k.loggedAt); passed >= 0 && passed < Interval {
		k.omitted++
		return 0, false
	}
	omitted = k.omitted
	k.loggedAt, k.omitted = now, 0
	return omitted, true
}

// Shorten returns the beginning of a text that may quote input of any length.
func Shorten(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	cut := maxTextBytes
	for cut > maxTextBytes-utf8.UTFMax && !utf8.RuneStart(text[cut]) {
		cut--
	}
	return text[:cut] + "..."
}
