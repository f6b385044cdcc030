package class

import "testing"

func TestParseReversesString(t *testing.T) {
	for c := range Class(Count) {
		got, err := Parse(c.String())
		if err != nil || got != c {
			t.Errorf("%v parsed as %v, %v", c, got, err)
		}
	}
	if _, err := Parse("urgent"); err == nil {
		t.Error("Parse accepted an unknown class")
	}
}
