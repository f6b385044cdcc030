package entryhost

import (
	"fmt"
	"log/slog"
	"sync"

	"filberthook/internal/replication/document"
	"filberthook/internal/serve/forward"
	"filberthook/internal/serve/routes"
)

// configuration applies the newest configuration to the server. It implements
// controlwatch.Configuration. Invariant: the version never decreases.
type configuration struct {
	decode  func([]byte) (*routes.Config, error)
	server  *forward.Server
	logger  *slog.Logger
	changed func() // called after a new configuration came into force; nil for no call

	mu sync.Mutex // serializes the check of the version and SetTable
}

// Version implements controlwatch.Configuration.
func (c *configuration) Version() uint64 {
	if t := c.server.Table(); t != nil {
		return t.Version
	}
	return 0
}

// Offer implements controlwatch.Configuration.
func (c *configuration) Offer(d document.Document, from string) error {
	if d.Version <= c.Version() {
		return nil
	}
	config, err := c.decode(d.Body)
	if err != nil {
		return fmt.Errorf("version %d of the control group cannot be read, upgrade this host: %w", d.Version, err)
	}
	table := routes.NewTable(config)
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.Version()
	if d.Version <= before {
		return nil
	}
	c.server.SetTable(table)
	c.logger.Info("configuration in force", "version", d.Version, "before", before, "from", from, "routes", len(config.Routes), "accounts", len(config.Accounts))
	if c.changed != nil {
		c.changed()
	}
	return nil
}
