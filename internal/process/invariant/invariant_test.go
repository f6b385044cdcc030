package invariant

import "testing"

func TestCheckPanicsOnlyWhenBroken(t *testing.T) {
	Check(true, "holds", "never shown")
	defer func() {
		v, ok := recover().(*Violation)
		if !ok || v.Name != "revision-grows" {
			t.Errorf("recovered %v, want a violation of revision-grows", v)
		}
	}()
	Check(false, "revision-grows", "was %d, is %d", 2, 1)
}
