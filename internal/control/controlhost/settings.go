package controlhost

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"filberthook/internal/control/formation"
	"filberthook/internal/process/settings"
	"filberthook/internal/process/tomltime"
)

// Settings are the settings of a control host that finds its group from seeds.
type Settings struct {
	Host           string            `toml:"host"`
	Zone           string            `toml:"zone"` // availability zone
	DataDir        string            `toml:"data_dir"`
	Seeds          []string          `toml:"seeds"`           // control addresses of some control hosts
	Bootstrap      bool              `toml:"bootstrap"`       // set when the whole system starts for the first time
	TrustedNetwork bool              `toml:"trusted_network"` // plaintext between hosts; nothing else may reach their network
	MemoryMB       int               `toml:"memory_mb"`       // memory limit of this process, 0 for none
	Heartbeat      tomltime.Duration `toml:"heartbeat"`       // interval of the instances' heartbeats
	Listen         Listen            `toml:"listen"`
	Tolerate       Tolerate          `toml:"tolerate"`
	ReplaceAfter   tomltime.Duration `toml:"replace_after"` // time after a loss or replacement at which the next host may be lost; votes move in a quarter of it
	Stages         Stages            `toml:"stages"`
	Platform       Platform          `toml:"platform"`
	Usage          Usage             `toml:"usage"`
	Log            settings.Log      `toml:"log"`
}

// Platform names the API of the platform and the duties that the deployment asks for. Without
// an address the group has no duties.
type Platform struct {
	Address        string   `toml:"address"`          // host and port, or a URL
	Duties         []string `toml:"duties"`           // names in the platform's words
	CallsPerSecond float64  `toml:"calls_per_second"` // of all hosts together, 0 for no limit
}

// Usage configures the reports of accounts' requests.
type Usage struct {
	Window tomltime.Duration `toml:"window"` // 0 for no reports
	Late   tomltime.Duration `toml:"late"`   // when a report is due, from the end of its window
}

// Stages configures how engines are divided into prefill and decode engines.
type Stages struct {
	// Lease is the least time between the last order of one leader and the first of the
	// next.
	Lease tomltime.Duration `toml:"lease"`
	// ExpectedPromptTokens and ExpectedOutputTokens are the demand in tokens per second
	// and engine of 64 slots that is assumed until callers' demand is known.
	ExpectedPromptTokens float64 `toml:"expected_prompt_tokens"`
	ExpectedOutputTokens float64 `toml:"expected_output_tokens"`
}

// Listen holds the addresses of a control host.
type Listen struct {
	Control string `toml:"control"` // for operators and endpoint instances
	Peers   string `toml:"peers"`   // for other hosts of the system
	Status  string `toml:"status"`  // serves /metrics
	// Advertised is the address at which other hosts reach Peers, if that differs, as it
	// does behind a relay. All control hosts use the same port.
	Advertised string `toml:"advertised"`
}

// peersAddress returns the address at which other hosts reach this one.
func (l Listen) peersAddress() string {
	if l.Advertised != "" {
		return l.Advertised
	}
	return l.Peers
}

// Tolerate is how many hosts and zones the group must survive losing at once.
type Tolerate struct {
	Hosts int `toml:"hosts"`
	Zones int `toml:"zones"`
}

// ReplicaDir returns the folder of the replicated log.
func (s *Settings) ReplicaDir() string { return filepath.Join(s.DataDir, replicaFolder) }

// PeersAddress returns the address at which other hosts reach this one.
func (s *Settings) PeersAddress() string { return s.Listen.peersAddress() }

// SeedPeers returns the addresses at which hosts reach the control hosts among the seeds.
func (s *Settings) SeedPeers() ([]string, error) {
	at, err := netip.ParseAddrPort(s.PeersAddress())
	if err != nil {
		return nil, fmt.Errorf("listen.peers: %w", err)
	}
	return formation.PeerAddresses(s.Seeds, at.Port()), nil
}

// Check implements settings.Checkable.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("host", s.Host, "name this host")
	c.Required("zone", s.Zone, "name the availability zone of this host")
	c.Required("data_dir", s.DataDir, "name a folder on a disk")
	c.UniqueAddress("listen.control", s.Listen.Control)
	c.UniqueAddress("listen.peers", s.Listen.Peers)
	c.UniqueAddress("listen.status", s.Listen.Status)
	if s.Listen.Advertised != "" {
		c.Address("listen.advertised", s.Listen.Advertised)
	}
	CheckSeeds(c, s.Seeds)
	CheckTrust(c, s.TrustedNetwork, s.Listen.Peers)
	CheckTrust(c, s.TrustedNetwork, s.Listen.peersAddress())
	if s.Heartbeat.Duration <= 0 {
		c.Add("heartbeat", "is missing", "set the interval of the instances' heartbeats, such as 1.2s")
	}
	if s.ReplaceAfter.Duration <= 0 {
		c.Add("replace_after", "is missing", "set how long after a loss or replacement the next control host may be lost, such as 4s")
	}
	if s.Tolerate.Hosts < 0 || s.Tolerate.Zones < 0 {
		c.Add("tolerate", "is below 0", "use 0 or more")
	}
	if s.Stages.Lease.Duration <= 0 {
		c.Add("stages.lease", "is missing", "set the lease of the authority over engines, such as 3s")
	}
	if s.Stages.ExpectedPromptTokens < 0 || s.Stages.ExpectedOutputTokens < 0 {
		c.Add("stages", "expects a demand below 0", "use 0 or more")
	}
	if s.Platform.CallsPerSecond < 0 {
		c.Add("platform.calls_per_second", "is below 0", "use 0 or more")
	}
	checkUsage(c, s.Usage)
	s.Log.Check(c, "log")
}

// checkUsage reports windows that cannot be numbered in milliseconds or reported in time.
func checkUsage(c *settings.Checker, u Usage) {
	CheckUsageWindow(c, u.Window)
	if u.Window.Duration > 0 && u.Late.Duration < time.Second {
		c.Add("usage.late", fmt.Sprintf("is %v", u.Late.Duration), "set the time until a report is due, such as 10s, at least 1s")
	}
}

// CheckUsageWindow reports a length of usage windows that is not a whole number of milliseconds.
func CheckUsageWindow(c *settings.Checker, window tomltime.Duration) {
	if window.Duration < 0 || window.Duration%time.Millisecond != 0 {
		c.Add("usage.window", fmt.Sprintf("is %v", window.Duration), "use whole milliseconds, such as 5s, or leave it out for no reports")
	}
}

// CheckSeeds reports missing and malformed seeds.
func CheckSeeds(c *settings.Checker, seeds []string) {
	if len(seeds) == 0 {
		c.Add("seeds", "is empty", "list the control addresses of one to three control hosts")
	}
	for i, seed := range seeds {
		c.Address(fmt.Sprintf("seeds[%d]", i), seed)
	}
}

// CheckTrust reports an address outside loopback that is served in plaintext
// without trusted_network.
func CheckTrust(c *settings.Checker, trusted bool, address string) {
	at, err := netip.ParseAddrPort(address)
	if err == nil && !at.Addr().IsLoopback() && !trusted {
		c.Add("trusted_network", "is not set and listen.peers is outside loopback", "set it to true if only hosts of the system reach this network")
	}
}
