package staging

import (
	"fmt"
	"testing"

	"filberthook/internal/engines/instances"
)

func TestEngineWithUnusualSlotsLeavesTheOthersTheirStages(t *testing.T) {
	var engines []instances.Instance
	for n := range 18 {
		engines = append(engines, instances.Instance{ID: fmt.Sprint("i-", n), Zone: fmt.Sprint("z", n%3), Slots: ReferenceSlots, Stage: instances.Decode})
	}
	demand := Demand{PromptTokens: 100_000, OutputTokens: 30_000, DecodeSlots: 300}
	s := DefaultSettings()
	want := s.Desired(engines, demand)
	for _, slots := range []int{1, instances.MaxSlots} {
		engines[7].Slots = slots
		if got := s.Desired(engines, demand); got < want-1 || got > want+1 {
			t.Errorf("with one engine of %d slots %d engines should decode, want about %d", slots, got, want)
		}
	}
}
