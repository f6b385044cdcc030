package engineapi

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestAnnouncementSurvivesJSON(t *testing.T) {
	want := Announcement{
		Instance:    "w1",
		Incarnation: 3,
		Kind:        KindModel,
		Zone:        "bio",
		State:       EngineState{Role: RoleDecode, Models: []Model{{Name: "m", Version: "1"}}},
	}
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Announcement
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("announcement changed by JSON (-want +got):\n%s", diff)
	}
}
