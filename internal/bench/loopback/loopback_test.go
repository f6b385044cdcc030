package loopback

import (
	"net"
	"testing"
)

func TestAddressesAreLoopbackAndDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		address := Address()
		if !address.Addr().IsLoopback() || seen[address.String()] {
			t.Fatalf("address %s", address)
		}
		seen[address.String()] = true
	}
	for range 2 {
		ln, err := net.Listen("tcp", String())
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
	}
}
