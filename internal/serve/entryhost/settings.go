package entryhost

import (
	"fmt"

	"filberthook/internal/control/controlhost"
	"filberthook/internal/process/settings"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/revocation"
)

// Settings of an entry host that discovers its control hosts from seeds.
type Settings struct {
	Host           string            `toml:"host"`
	Zone           string            `toml:"zone"`            // availability zone
	Seeds          []string          `toml:"seeds"`           // control addresses of some control hosts
	PeerPort       uint16            `toml:"peer_port"`       // port at which control hosts serve other hosts
	TrustedNetwork bool              `toml:"trusted_network"` // no encryption between hosts; only safe in a network that nothing else can reach
	MemoryMB       int               `toml:"memory_mb"`       // memory limit of this process; 0 for none
	Heartbeat      tomltime.Duration `toml:"heartbeat"`       // heartbeat interval of the instances
	Grace          tomltime.Duration `toml:"grace"`           // time from the stop signal to the kill
	Listen         Listen            `toml:"listen"`
	Retry          Retry             `toml:"retry"`
	Accounts       Accounts          `toml:"accounts"`
	Usage          Usage             `toml:"usage"`
	Log            settings.Log      `toml:"log"`
}

// Accounts bounds the use of client accounts' keys.
type Accounts struct {
	// RevokeWithin is the time from the acknowledgement of a configuration without a key after
	// which no request with the key runs, also at a host that is out of touch with the control
	// hosts; 0 for no bound there.
	RevokeWithin tomltime.Duration `toml:"revoke_within"`
}

// Listen holds the addresses of an entry host.
type Listen struct {
	Callers string `toml:"callers"`
	Ready   string `toml:"ready"`  // readiness checks of the load balancer
	Status  string `toml:"status"` // /metrics
}

// Retry limits the retries of all entry hosts together, per endpoint.
type Retry struct {
	Ratio  float64           `toml:"ratio"`  // retries as a share of the requests in a window
	Slack  float64           `toml:"slack"`  // additional retries per window
	Window tomltime.Duration `toml:"window"` // length of the sliding window
}

// Usage configures the counts of accounts' requests that are reported to the control group.
type Usage struct {
	Window tomltime.Duration `toml:"window"` // as at the control hosts; 0 for no counts
}

// Check implements settings.Checkable.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("host", s.Host, "name this host")
	c.Required("zone", s.Zone, "name the availability zone of this host")
	c.UniqueAddress("listen.callers", s.Listen.Callers)
	c.UniqueAddress("listen.ready", s.Listen.Ready)
	c.UniqueAddress("listen.status", s.Listen.Status)
	controlhost.CheckSeeds(c, s.Seeds)
	if s.PeerPort == 0 {
		c.Add("peer_port", "is missing", "set the port of the control hosts' listen.peers")
	}
	for _, seed := range s.Seeds {
		controlhost.CheckTrust(c, s.TrustedNetwork, seed)
	}
	if s.Heartbeat.Duration <= 0 {
		c.Add("heartbeat", "is missing", "set the interval of the instances' heartbeats, such as 1.2s")
	}
	if s.Grace.Duration <= 0 {
		c.Add("grace", "is missing", "set the time from the signal to stop to the kill, such as 8s")
	}
	if s.Retry.Ratio < 0 || s.Retry.Ratio > 1 {
		c.Add("retry.ratio", fmt.Sprintf("is %v", s.Retry.Ratio), "use a part of 1")
	}
	if s.Retry.Slack < 0 {
		c.Add("retry.slack", fmt.Sprintf("is %v", s.Retry.Slack), "use 0 or more")
	}
	if s.Retry.Window.Duration <= 0 {
		c.Add("retry.window", "is missing", "set a window, such as 10s")
	}
	if within := s.Accounts.RevokeWithin.Duration; within != 0 && within < revocation.MinBound {
		c.Add("accounts.revoke_within", fmt.Sprintf("is %v", within), fmt.Sprintf("use at least %v, or leave it out for no bound", revocation.MinBound))
	}
	controlhost.CheckUsageWindow(c, s.Usage.Window)
	s.Log.Check(c, "log")
}
