package settings

import (
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"filberthook/internal/engines/planner"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/admission"
	"filberthook/internal/serve/routing"
)

// MinGossipKeyBytes is the minimum length of the key that signs gossip packets.
const MinGossipKeyBytes = 16

// Entry holds the settings of the entry daemon.
type Entry struct {
	Host      string           `toml:"host"`     // name of this host, unique in the deployment
	Zone      string           `toml:"zone"`     // availability zone
	DataDir   string           `toml:"data_dir"` // stores the last configuration; if empty, it is not stored
	Listen    EntryListen      `toml:"listen"`
	Control   EntryControl     `toml:"control"`
	Gossip    EntryGossip      `toml:"gossip"`
	Stop      EntryStop        `toml:"stop"`
	Routing   routing.Config   `toml:"routing"`
	Admission admission.Config `toml:"admission"`
	Planner   planner.Config   `toml:"planner"`
	Callers   EntryCallers     `toml:"callers"`
	TLS       TLS              `toml:"tls"`
	Log       Log              `toml:"log"`
}

// EntryListen holds the addresses that the entry daemon listens on.
type EntryListen struct {
	Callers  string `toml:"callers"`  // callers' requests, behind the platform's load balancer
	Announce string `toml:"announce"` // announcements of endpoint instances
	Gossip   string `toml:"gossip"`   // UDP, other entry hosts
	Status   string `toml:"status"`   // /metrics, /healthz, /readyz and the status page
}

// EntryControl names the replicas of the control group.
type EntryControl struct {
	Replicas []string `toml:"replicas"` // listen.peers of each
	Follow   bool     `toml:"follow"`   // adopt new addresses of the replicas without a restart; true by default
}

// EntryGossip holds the settings of the protocol between entry hosts.
type EntryGossip struct {
	Seeds   []string `toml:"seeds"`    // gossip addresses of some other entry hosts
	KeyFile string   `toml:"key_file"` // file with the shared key in hexadecimal; required outside loopback
}

// EntryStop bounds a graceful stop.
type EntryStop struct {
	ReadyGrace tomltime.Duration `toml:"ready_grace"` // time between failing readiness and refusing new requests
	Limit      tomltime.Duration `toml:"limit"`       // longest time for requests in progress
}

// Defaults and limits of EntryStop.
const (
	DefaultReadyGrace = 3 * time.Second
	DefaultStopLimit  = 2 * time.Minute
	MaxStopLimit      = time.Hour
)

// DefaultEntry returns the defaults of the settings that a file may omit.
func DefaultEntry() Entry {
	return Entry{
		Control:   EntryControl{Follow: true},
		Stop:      EntryStop{ReadyGrace: tomltime.Of(DefaultReadyGrace), Limit: tomltime.Of(DefaultStopLimit)},
		Routing:   routing.DefaultConfig(),
		Callers:   DefaultEntryCallers(),
		Admission: admission.DefaultConfig(),
		Planner:   planner.DefaultConfig(),
	}
}

// Check implements Checkable.
func (s *Entry) Check(c *Checker) {
	c.Required("host", s.Host, "name this host")
	c.Required("zone", s.Zone, "name the availability zone of this host")
	c.UniqueAddress("listen.callers", s.Listen.Callers)
	c.UniqueAddress("listen.announce", s.Listen.Announce)
	c.Address("listen.gossip", s.Listen.Gossip)
	c.UniqueAddress("listen.status", s.Listen.Status)
	if len(s.Control.Replicas) == 0 {
		c.Add("control.replicas", "is empty", "list listen.peers of the replicas of the control group")
	}
	for i, address := range s.Control.Replicas {
		c.UniqueAddress(fmt.Sprintf("control.replicas[%d]", i), address)
	}
	for i, address := range s.Gossip.Seeds {
		c.Address(fmt.Sprintf("gossip.seeds[%d]", i), address)
	}
	if s.Gossip.KeyFile == "" {
		c.LoopbackOrTLS("listen.gossip", s.Listen.Gossip, TLS{})
	}
	c.Between("stop.ready_grace", s.Stop.ReadyGrace, 0, MaxStopLimit)
	c.Between("stop.limit", s.Stop.Limit, 0, MaxStopLimit)
	s.Callers.Check(c, "callers")
	s.TLS.Check(c, "tls")
	s.Log.Check(c, "log")
}

// GossipKey reads the shared key; it is empty when no file is set.
func (s *Entry) GossipKey() ([]byte, error) {
	if s.Gossip.KeyFile == "" {
		return nil, nil
	}
	text, err := os.ReadFile(s.Gossip.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("gossip.key_file: %w", err)
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(key) < MinGossipKeyBytes {
		return nil, fmt.Errorf("gossip.key_file: not a key of at least %d bytes in hexadecimal; make one with `filberthook keys gossip`", MinGossipKeyBytes)
	}
	return key, nil
}
