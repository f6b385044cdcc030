package controlapi

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/notice"
)

// Whatever stands between two sound entries of a list, both are used, and each entry that is
// taken has values that the rest of the system can work with.
func FuzzEntryOfAList(f *testing.F) {
	const sound = `{"id":%q,"born":100,"sequence":1,"endpoint":"lm","address":"10.0.0.%d:80","zone":"z","slots":4,"state":0,"stage":0}`
	f.Add([]byte(fmt.Sprintf(sound, "odd", 9)))
	f.Add([]byte(`{"id":"odd","born":9223372036854775807,"sequence":18446744073709551615,"endpoint":"lm","address":"[::1%x]:1","slots":65535}`))
	f.Add([]byte(`{"id":"first","state":2,"born":-1}`))
	f.Add([]byte(`{"id":"odd","slots":1e400,"models":[[[[[]]]]]}`))
	f.Add([]byte(`{"state":255,"stage":255}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, odd []byte) {
		if !json.Valid(odd) {
			return
		}
		var list Changes
		if err := json.Unmarshal([]byte(fmt.Sprintf("[%s,%s,%s]", fmt.Sprintf(sound, "first", 1), odd, fmt.Sprintf(sound, "last", 2))), &list); err != nil {
			t.Fatal(err)
		}
		valid, refused, _ := list.Valid()
		if len(valid)+refused != 3 || valid[0].ID != "first" || valid[len(valid)-1].ID != "last" {
			t.Fatalf("%d entries are valid and %d refused", len(valid), refused)
		}
		v, now := instances.NewView(time.Second), time.Unix(1_800_000_000, 0)
		v.Update("c", "1", 1, valid, now)
		v.Tick(now.Add(time.Hour))
		for _, in := range v.Snapshot().ByEndpoint["lm"] {
			_ = in.State.String() + in.Stage.String()
			if in.ID == "" || in.Slots < 1 || in.Slots > instances.MaxSlots || in.Born < 1 {
				t.Errorf("listed: %+v", in)
			}
		}
		if _, err := json.Marshal(valid); err != nil {
			t.Error(err)
		}
	})
}

func TestOddNoticeHidesNoneOfTheOthers(t *testing.T) {
	sound := notice.Report{Instance: "a", Born: 1, Limit: 3.5, Age: time.Second}
	last := notice.Report{Instance: "b", Born: 2, Leaving: true}
	for _, odd := range []notice.Report{
		{Instance: "odd", Limit: math.NaN()},
		{Instance: "odd", Limit: math.Inf(1)},
		{Instance: "odd", Limit: -1},
		{Instance: "odd", Age: -time.Second},
		{Instance: "odd", Age: math.MinInt64},
		{Instance: "odd", Age: math.MaxInt64},
	} {
		text, err := Notices{sound, odd, last}.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		var got Notices
		if err := got.UnmarshalText(text); err != nil || len(got) != 2 || got[0] != sound || got[1] != last {
			t.Errorf("beside %+v: %+v, error %v; want the sound ones", odd, got, err)
		}
	}
}
