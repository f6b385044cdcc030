package tomltime

import (
	"strings"
	"testing"
	"time"
)

func TestDurationText(t *testing.T) {
	var d Duration
	if err := d.UnmarshalText([]byte("1.6s")); err != nil || d.Duration != 1600*time.Millisecond {
		t.Errorf("1.6s parsed to %v, %v", d, err)
	}
	err := d.UnmarshalText([]byte("16"))
	if err == nil || !strings.Contains(err.Error(), "unit") {
		t.Errorf("a number without unit gave %v, want an error that asks for a unit", err)
	}
	text, _ := Of(42 * time.Millisecond).MarshalText()
	if string(text) != "42ms" {
		t.Errorf("42 ms written as %q", text)
	}
}
