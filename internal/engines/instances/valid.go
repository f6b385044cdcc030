package instances

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
	"unicode/utf8"
)

// Bounds of what an instance may say of itself.
const (
	// MaxNameBytes bounds ids and names.
	MaxNameBytes = 128
	// MaxSlots bounds the requests that an instance runs at once: each takes a connection,
	// and an address has no more ports.
	MaxSlots = 1<<16 - 1
	// MaxModels bounds the models that an engine has loaded.
	MaxModels = 64
	// maxClockAhead bounds how far an instance's start lies ahead of this host's clock. A start
	// beyond it would hide each real one.
	maxClockAhead = time.Hour
)

// InvalidError reports an entry that no instance can have sent. It names none to use.
type InvalidError struct{ Field, Problem string }

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("entry refused: %s %s: correct what the instance announces, or stop its sender", e.Field, e.Problem)
}

// Validate returns an *InvalidError for the first value that no instance can have.
func (a *Instance) Validate(now time.Time) error {
	if err := ValidateStart(a.Born, now); err != nil {
		return err
	}
	return a.validate()
}

// Validate returns an *InvalidError for the first value that no control host can list. It reads
// no clock: that of an entry host may be wrong.
func (c *Change) Validate() error {
	if c.State == Gone {
		return ValidateID(c.ID) // the rest may be unknown
	}
	return c.validate()
}

func (a *Instance) validate() error {
	if err := ValidateID(a.ID); err != nil {
		return err
	}
	if a.Born <= 0 {
		return &InvalidError{"born", "is not above 0"}
	}
	if a.Endpoint == "" {
		return &InvalidError{"endpoint", "is empty"}
	}
	for _, named := range []struct{ field, name string }{{"endpoint", a.Endpoint}, {"zone", a.Zone}} {
		if err := validateName(named.field, named.name); err != nil {
			return err
		}
	}
	if err := validateAddress(a.Address); err != nil {
		return err
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return &InvalidError{"slots", fmt.Sprintf("are not between 1 and %d", MaxSlots)}
	}
	if a.State > Gone || a.Stage > Decode {
		return &InvalidError{"state or stage", "is unknown"}
	}
	if len(a.Models) > MaxModels {
		return &InvalidError{"models", fmt.Sprintf("are more than %d", MaxModels)}
	}
	for _, m := range a.Models {
		if err := validateName("model", m.Name); err != nil {
			return err
		}
	}
	return nil
}

// ValidateID returns an *InvalidError unless an id can be sent in a header.
func ValidateID(id string) error {
	if id == "" || len(id) > MaxNameBytes {
		return &InvalidError{"id", fmt.Sprintf("does not have 1 to %d bytes", MaxNameBytes)}
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' {
			return &InvalidError{"id", "has other characters than visible ones of ASCII"}
		}
	}
	return nil
}

// ValidateStart returns an *InvalidError unless born is 0 or a time that can be that of a start.
func ValidateStart(born int64, now time.Time) error {
	if born < 0 || born > now.Add(maxClockAhead).UnixMilli() {
		return &InvalidError{"born", "is no time in the past"}
	}
	return nil
}

func validateName(field, name string) error {
	if len(name) > MaxNameBytes || !utf8.ValidString(name) {
		return &InvalidError{field, fmt.Sprintf("is no text of at most %d bytes", MaxNameBytes)}
	}
	return nil
}

func validateAddress(address string) error {
	at, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return &InvalidError{"address", "is no IP number with a port"}
	case at.Port() == 0:
		return &InvalidError{"address", "has port 0"}
	case at.Addr().IsUnspecified() || at.Addr().IsMulticast():
		return &InvalidError{"address", "is not that of one host"}
	case len(address) > MaxNameBytes:
		return &InvalidError{"address", "is too long"} // by its IPv6 zone
	}
	return nil
}

// maxSlotsFactor bounds the slots that count of one instance, in those of the usual one.
const maxSlotsFactor = 2

// SlotsLimit returns how many slots of an instance of an endpoint count at most when load is
// divided: what a single one says of itself must not draw the load of all.
func SlotsLimit(list []Instance) int {
	if len(list) == 0 {
		return 0
	}
	slots := make([]int, len(list))
	for i := range list {
		slots[i] = list[i].Slots
	}
	slices.Sort(slots)
	return maxSlotsFactor * slots[(len(slots)-1)/2]
}
