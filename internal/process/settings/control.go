package settings

import (
	"encoding/hex"
	"fmt"
)

// MaxMembers is the highest number of replicas of the control group.
const MaxMembers = 7

// Control holds the settings of the control daemon.
type Control struct {
	Host      string         `toml:"host"` // name of this host, unique in the deployment
	Zone      string         `toml:"zone"` // availability zone
	DataDir   string         `toml:"data_dir"`
	Listen    ControlListen  `toml:"listen"`
	Replica   ControlReplica `toml:"replica"`
	Operators Operators      `toml:"operators"`
	TLS       TLS            `toml:"tls"`
	Log       Log            `toml:"log"`
}

// ControlListen holds the addresses that the control daemon listens on.
type ControlListen struct {
	Peers     string `toml:"peers"`     // other hosts of the system
	Operators string `toml:"operators"` // operators' calls
	Status    string `toml:"status"`    // /metrics, /healthz and /readyz
}

// ControlReplica names this replica and the initial members of the group.
type ControlReplica struct {
	ID      uint64          `toml:"id"`
	Join    bool            `toml:"join"`    // join a running group as a learner instead of starting one
	Members []ControlMember `toml:"members"` // read at the first start only
}

// ControlMember is one replica of the control group.
type ControlMember struct {
	ID      uint64 `toml:"id"`
	Address string `toml:"address"` // listen.peers of that replica
	Zone    string `toml:"zone"`
}

// Operators holds the settings of operators' access.
type Operators struct {
	// BootstrapKeySHA256 is the hexadecimal SHA-256 sum of the first admin's key.
	BootstrapKeySHA256 string `toml:"bootstrap_key_sha256"`
}

// Check implements Checkable.
func (s *Control) Check(c *Checker) {
	c.Required("host", s.Host, "name this host")
	c.Required("zone", s.Zone, "name the availability zone of this host")
	c.Required("data_dir", s.DataDir, "name the data folder")
	c.UniqueAddress("listen.peers", s.Listen.Peers)
	c.UniqueAddress("listen.operators", s.Listen.Operators)
	c.UniqueAddress("listen.status", s.Listen.Status)
	c.LoopbackOrTLS("listen.peers", s.Listen.Peers, s.TLS)
	c.LoopbackOrTLS("listen.operators", s.Listen.Operators, s.TLS)
	s.checkReplica(c)
	s.checkBootstrap(c)
	s.TLS.Check(c, "tls")
	s.Log.Check(c, "log")
}

func (s *Control) checkBootstrap(c *Checker) {
	const key = "operators.bootstrap_key_sha256"
	raw, err := hex.DecodeString(s.Operators.BootstrapKeySHA256)
	if err != nil || len(raw) != 32 || hex.EncodeToString(raw) != s.Operators.BootstrapKeySHA256 {
		c.Add(key, "is not a SHA-256 sum in lower-case hexadecimal", "make a key with `filberthook key new` and copy its sum")
	}
}

func (s *Control) checkReplica(c *Checker) {
	if s.Replica.ID == 0 {
		c.Add("replica.id", "is missing", "give each replica its own number from 1")
	}
	if len(s.Replica.Members) == 0 || len(s.Replica.Members) > MaxMembers {
		c.Add("replica.members", fmt.Sprintf("has %d members", len(s.Replica.Members)), fmt.Sprintf("list 1 to %d, best 3 or 5", MaxMembers))
	}
	members := &Checker{}
	ids := map[uint64]bool{}
	self := false
	for i, m := range s.Replica.Members {
		key := fmt.Sprintf("replica.members[%d]", i)
		members.UniqueAddress(key+".address", m.Address)
		members.Required(key+".zone", m.Zone, "name the availability zone of the member")
		if m.ID == 0 || ids[m.ID] {
			members.Add(key+".id", fmt.Sprintf("%d is 0 or used twice", m.ID), "give each replica its own number from 1")
		}
		ids[m.ID] = true
		if m.ID == s.Replica.ID {
			self = true
			s.checkSelf(members, key, m)
		}
	}
	c.problems = append(c.problems, members.problems...)
	if !self && !s.Replica.Join && len(s.Replica.Members) > 0 {
		c.Add("replica.members", fmt.Sprintf("does not list this replica, id %d", s.Replica.ID), "list it, or set replica.join = true")
	}
}

func (s *Control) checkSelf(c *Checker, key string, m ControlMember) {
	if m.Address != s.Listen.Peers {
		c.Add(key+".address", fmt.Sprintf("%s differs from listen.peers %s", m.Address, s.Listen.Peers), "make them equal")
	}
	if m.Zone != s.Zone {
		c.Add(key+".zone", fmt.Sprintf("%q differs from zone %q", m.Zone, s.Zone), "make them equal")
	}
}
