package loglimit

import (
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

var start = time.Unix(1_800_000_000, 0)

func TestOneLineOfAKindInAnInterval(t *testing.T) {
	var l Limiter
	if _, ok := l.Allow("a", start); !ok {
		t.Error("the first line is left out")
	}
	for range 7 {
		if _, ok := l.Allow("a", start.Add(Interval/2)); ok {
			t.Error("a second line in one interval")
		}
	}
	if _, ok := l.Allow("b", start.Add(Interval/2)); !ok {
		t.Error("a line of another kind is left out")
	}
	if omitted, ok := l.Allow("a", start.Add(Interval)); !ok || omitted != 7 {
		t.Errorf("after the interval: allowed %v, %d left out; want 7", ok, omitted)
	}
	if omitted, ok := l.Allow("a", start.Add(2*Interval)); !ok || omitted != 0 {
		t.Errorf("after another interval: allowed %v, %d left out; want 0", ok, omitted)
	}
}

func TestClockThatIsSetBackDoesNotEndTheLog(t *testing.T) {
	var l Limiter
	l.Allow("a", start)
	if _, ok := l.Allow("a", start.Add(-time.Hour)); !ok {
		t.Error("a line is left out after the clock was set back")
	}
}

func TestShortenedTextsAreValid(t *testing.T) {
	if got := Shorten("short"); got != "short" {
		t.Errorf("a short text became %q", got)
	}
	for pad := range 4 {
		got := Shorten(strings.Repeat("x", pad) + strings.Repeat("\u20ac", 1000))
		if !utf8.ValidString(got) || len(got) > maxTextBytes+len("...") {
			t.Errorf("%d bytes, valid %v", len(got), utf8.ValidString(got))
		}
	}
}
