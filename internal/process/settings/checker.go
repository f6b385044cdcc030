package settings

import (
	"fmt"
	"net/netip"
	"time"

	"filberthook/internal/process/tomltime"
)

// Checker collects the problems of a settings structure.
type Checker struct {
	problems  []Problem
	addresses map[string]string // address to the first key that uses it
}

// Add records a problem.
func (c *Checker) Add(key, reason, remedy string) {
	c.problems = append(c.problems, Problem{Key: key, Reason: reason, Remedy: remedy})
}

// Required reports an empty value.
func (c *Checker) Required(key, value, remedy string) {
	if value == "" {
		c.Add(key, "is missing", remedy)
	}
}

// Address reports a value that is not an IP number with a port.
func (c *Checker) Address(key, value string) {
	if value == "" {
		c.Add(key, "is missing", "set an IP number with a port, for example 127.0.0.1:7101")
		return
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		c.Add(key, fmt.Sprintf("%q is not an IP number with a port", value), "write it as 127.0.0.1:7101; host names are not looked up")
		return
	}
	if addr.Port() == 0 {
		c.Add(key, "port 0 is not allowed", "choose a fixed port")
	}
}

// UniqueAddress reports what Address reports, and an address that an earlier
// key uses.
func (c *Checker) UniqueAddress(key, value string) {
	before := len(c.problems)
	c.Address(key, value)
	if len(c.problems) > before {
		return
	}
	if first, ok := c.addresses[value]; ok {
		c.Add(key, fmt.Sprintf("address %s is used by %s already", value, first), "give each its own address")
		return
	}
	if c.addresses == nil {
		c.addresses = map[string]string{}
	}
	c.addresses[value] = key
}

// Between reports a duration outside a range.
func (c *Checker) Between(key string, value tomltime.Duration, low, high time.Duration) {
	if value.Duration < low || value.Duration > high {
		c.Add(key, fmt.Sprintf("%s is out of range", value.Duration), fmt.Sprintf("use %s to %s", low, high))
	}
}

// LoopbackOrTLS reports an address outside loopback that would be served in
// plaintext because TLS is not set.
func (c *Checker) LoopbackOrTLS(key, value string, tls TLS) {
	addr, err := netip.ParseAddrPort(value)
	if err == nil && !addr.Addr().IsLoopback() && !tls.Enabled() {
		c.Add(key, fmt.Sprintf("%s is not on loopback and tls is not set", value),
			"set tls.ca, tls.certificate and tls.key, or use a loopback address")
	}
}
