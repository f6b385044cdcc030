package backup

import (
	"errors"
	"testing"

	"filberthook/internal/engines/fleet"
)

func TestDamageIsNoticed(t *testing.T) {
	data, err := Encode(fleet.Configuration{Revision: 9, Teams: map[string]fleet.Team{"a": {Name: "a"}}})
	if err != nil {
		t.Fatal(err)
	}
	if c, err := Decode(data); err != nil || c.Revision != 9 || len(c.Teams) != 1 {
		t.Fatalf("got %+v, %v", c, err)
	}
	for i := range data {
		bad := append([]byte(nil), data...)
		bad[i] ^= 1
		var damaged *DamagedError
		if _, err := Decode(bad); !errors.As(err, &damaged) {
			t.Fatalf("damage at byte %d was not noticed: %v", i, err)
		}
	}
	if _, err := Decode(data[:len(data)-1]); err == nil {
		t.Error("a truncated backup was accepted")
	}
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(fleet.Configuration{Revision: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatal(err)
		}
	})
}
