package loopback

import (
	"errors"
	"net"
	"slices"
	"strings"
	"testing"
)

// drawing returns a function that draws the given networks one after the other, and the last one
// from then on.
func drawing(prefixes ...string) func() (prefix, guard string) {
	return func() (string, string) {
		prefix := prefixes[0]
		if len(prefixes) > 1 {
			prefixes = prefixes[1:]
		}
		return prefix, prefix + ".254"
	}
}

func TestNetworkInUseIsNotReservedAgain(t *testing.T) {
	taken, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	other, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	other.Release()
	got, err := reserve(drawing(taken.Prefix, taken.Prefix, other.Prefix))
	if err != nil {
		t.Fatal(err)
	}
	defer got.Release()
	if got.Prefix != other.Prefix {
		t.Errorf("network %s, want %s: %s is in use", got.Prefix, other.Prefix, taken.Prefix)
	}
	var exhausted *ExhaustedError
	if _, err := reserve(drawing(taken.Prefix)); !errors.As(err, &exhausted) {
		t.Errorf("error %v with no free network, want an ExhaustedError", err)
	}
	taken.Release()
	again, err := reserve(drawing(taken.Prefix))
	if err != nil {
		t.Fatalf("a network that was released: %v", err)
	}
	again.Release()
}

func TestWideNetworksAndOthersAreApart(t *testing.T) {
	var second []string
	for range 30 {
		wide, err := ReserveWide()
		if err != nil {
			t.Fatal(err)
		}
		defer wide.Release()
		if slices.Contains(second, wide.Prefix) {
			t.Errorf("network %s is reserved twice", wide.Prefix)
		}
		second = append(second, wide.Prefix)
	}
	for range 300 {
		n, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		defer n.Release()
		if slices.Contains(second, n.Prefix[:strings.LastIndex(n.Prefix, ".")]) {
			t.Errorf("network %s lies in a wide one", n.Prefix)
		}
	}
}

func TestAddressesOfAnotherProcessAreNotIssued(t *testing.T) {
	ln, err := net.Listen("tcp", own().guard.Addr().String())
	if err == nil {
		ln.Close()
		t.Error("another process can take the range of this one")
	}
}
