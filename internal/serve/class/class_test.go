package class

import "testing"

func TestParseReversesString(t *testing.T) {
	for c := range Class(Count) {
		got, err := Parse(c.String())
		if err != nil || got != c {
			t.Errorf("%v read back as %v, %v", c, got, err)
		}
	}
	if _, err := Parse("urgent"); err == nil {
		t.Error("an unknown class was read")
	}
}
