package directory

import (
	"fmt"
	"net/netip"
	"strings"
	"unicode/utf8"

	"filberthook/internal/engines/engineapi"
)

// Limits of an announcement.
const (
	MaxNameBytes = 128
	MaxModels    = 64
	MaxAdapters  = 256
	MaxKVBlocks  = 1 << 20
	// MaxStateBytes bounds the names of all models and adapters, so that a record fits in a
	// datagram to another host.
	MaxStateBytes = 48 << 10
	// maxReasonBytes is the length to which an order's reason is cut: an engine does not leave
	// for a long one.
	maxReasonBytes = 1 << 10
)

// InvalidError reports a refused announcement.
type InvalidError struct{ Field, Problem string }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("announcement refused: %s %s; correct the instance's settings", e.Field, e.Problem)
}

// Validate checks the fields of an announcement, which may come from any sender.
func Validate(a *engineapi.Announcement) error {
	if err := validateName("instance", a.Instance); err != nil {
		return err
	}
	if err := validateName("zone", a.Zone); err != nil {
		return err
	}
	if err := validateText("endpoint", a.Endpoint); err != nil {
		return err
	}
	if a.Kind != engineapi.KindModel && a.Kind != engineapi.KindService {
		return &InvalidError{"kind", "must be model or service"}
	}
	if a.Kind == engineapi.KindService && a.Endpoint == "" {
		return &InvalidError{"endpoint", "must be set for a service"}
	}
	at, err := netip.ParseAddrPort(a.Address)
	if err != nil || at.Port() == 0 || at.Addr().IsUnspecified() || at.Addr().IsMulticast() || len(a.Address) > MaxNameBytes {
		return &InvalidError{"address", "must be the IP number of one host and a port"}
	}
	if a.Incarnation == 0 {
		return &InvalidError{"incarnation", "must be above 0"}
	}
	if err := validateSizes(a); err != nil {
		return err
	}
	return validateState(&a.State)
}

// validateState checks the texts of an engine's state.
func validateState(s *engineapi.EngineState) error {
	texts := []string{string(s.Role)}
	for _, o := range []*engineapi.OrderStatus{&s.Outstanding, &s.LastOrder} {
		texts = append(texts, o.ID, string(o.Kind), string(o.Phase))
	}
	for _, m := range s.Models {
		texts = append(append(texts, m.Name, m.Version), m.Adapters...)
	}
	total := 0
	for _, text := range texts {
		if err := validateText("state", text); err != nil {
			return err
		}
		total += len(text)
	}
	if total > MaxStateBytes {
		return &InvalidError{"state", fmt.Sprintf("must not have names of more than %d bytes", MaxStateBytes)}
	}
	return nil
}

func validateSizes(a *engineapi.Announcement) error {
	if a.KVBlocks < 0 || a.KVBlocks > MaxKVBlocks {
		return &InvalidError{"pieces", fmt.Sprintf("must be between 0 and %d", MaxKVBlocks)}
	}
	if len(a.State.Models) > MaxModels {
		return &InvalidError{"models", fmt.Sprintf("must not be more than %d", MaxModels)}
	}
	for _, m := range a.State.Models {
		if len(m.Adapters) > MaxAdapters {
			return &InvalidError{"adapters", fmt.Sprintf("must not be more than %d for a model", MaxAdapters)}
		}
	}
	return nil
}

func validateName(field, v string) error {
	if v == "" {
		return &InvalidError{field, "must be set"}
	}
	return validateText(field, v)
}

func validateText(field, v string) error {
	if len(v) > MaxNameBytes {
		return &InvalidError{field, fmt.Sprintf("must not be longer than %d bytes", MaxNameBytes)}
	}
	if !utf8.ValidString(v) {
		return &InvalidError{field, "must be text"}
	}
	return nil
}

// shortenReasons cuts the reasons of orders.
func shortenReasons(s *engineapi.EngineState) {
	for _, o := range []*engineapi.OrderStatus{&s.Outstanding, &s.LastOrder} {
		if len(o.Reason) > maxReasonBytes {
			o.Reason = o.Reason[:maxReasonBytes]
		}
		o.Reason = strings.ToValidUTF8(o.Reason, "")
	}
}
