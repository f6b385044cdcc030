package settings

import (
	"fmt"
	"log/slog"
)

// TLS names the files for mutual TLS between hosts. Either all are set or none.
type TLS struct {
	CA          string `toml:"ca"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Enabled reports whether TLS is set.
func (t TLS) Enabled() bool { return t.CA != "" && t.Certificate != "" && t.Key != "" }

// Check reports every wrong value. The key is the table's name.
func (t TLS) Check(c *Checker, key string) {
	if t == (TLS{}) {
		return
	}
	c.Required(key+".ca", t.CA, "name the file of the CA certificate, or remove the table")
	c.Required(key+".certificate", t.Certificate, "name the file of the host certificate, or remove the table")
	c.Required(key+".key", t.Key, "name the file of the host key, or remove the table")
}

// Log holds the level and the format of the log.
type Log struct {
	Level  string `toml:"level"`  // debug, info, warn or error; info by default
	Format string `toml:"format"` // json or text; json by default
}

// Check reports every wrong value. The key is the table's name.
func (l Log) Check(c *Checker, key string) {
	var level slog.Level
	if l.Level != "" && level.UnmarshalText([]byte(l.Level)) != nil {
		c.Add(key+".level", fmt.Sprintf("%q is unknown", l.Level), "use debug, info, warn or error")
	}
	switch l.Format {
	case "", "json", "text":
	default:
		c.Add(key+".format", fmt.Sprintf("%q is unknown", l.Format), "use json or text")
	}
}
