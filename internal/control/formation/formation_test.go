package formation

import "testing"

func TestFoundersAreTheSameOnEveryHost(t *testing.T) {
	orders := [][]string{
		{"10.1.0.1:80", "10.2.0.1:80", "10.3.0.1:80"},
		{"10.3.0.1:80", "10.1.0.1:80", "10.2.0.1:80"},
		{"10.2.0.1:80", "10.2.0.1:80", "10.3.0.1:80", "10.1.0.1:80"},
	}
	first := Founders(orders[0], 7000)
	if len(first) != 3 || first[0].Address[len(first[0].Address)-5:] != ":7000" {
		t.Fatalf("founders %+v", first)
	}
	for _, seeds := range orders[1:] {
		got := Founders(seeds, 7000)
		if len(got) != len(first) {
			t.Fatalf("founders %+v of %v", got, seeds)
		}
		for i := range got {
			if got[i] != first[i] {
				t.Errorf("founder %+v of %v, want %+v", got[i], seeds, first[i])
			}
		}
	}
}
