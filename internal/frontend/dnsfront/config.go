package dnsfront

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/miekg/dns"
)

// Config is the dns block of the operators' file, or the older file of the front
// alone. deploy/garnetline.hcl documents the keys.
type Config struct {
	Enabled        bool    `toml:"enabled" hcl:"enabled,optional"`
	Listen         string  `toml:"listen" hcl:"listen,optional"`
	Zone           string  `toml:"zone" hcl:"zone,optional"`
	TimeoutMs      float64 `toml:"patience_ms" hcl:"patience_ms,optional"`
	MaxInflight    int     `toml:"max_inflight" hcl:"max_inflight,optional"`
	MaxConnections int     `toml:"max_connections" hcl:"max_connections,optional"`
}

// DefaultConfig is what holds where a key is not given: the front is off.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:5353", Zone: "garnetline.local.", TimeoutMs: 1000, MaxInflight: 256, MaxConnections: 32}
}

// LoadConfig reads a file of the front alone. Without one the front is off.
func LoadConfig(path string) (Config, error) {
	c := DefaultConfig()
	if path == "" {
		return c, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	meta, err := toml.Decode(string(text), &c)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	if rest := meta.Undecoded(); len(rest) > 0 {
		return c, fmt.Errorf("%s: %s: unknown key", path, rest[0])
	}
	if err := c.Validate(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Validate tells whether the values can be used, and brings the zone to its one form.
// An error begins with the field.
func (c *Config) Validate() error {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, ok := dns.IsDomainName(c.Zone); !ok || c.Zone == "" || c.Zone == "." {
		return fmt.Errorf("zone: %q is not a zone of its own", c.Zone)
	}
	c.Zone = dns.CanonicalName(c.Zone)
	switch {
	case !(c.TimeoutMs >= 1 && c.TimeoutMs <= 60_000):
		return fmt.Errorf("patience_ms: %v, want 1 to 60000", c.TimeoutMs)
	case c.MaxInflight < 1 || c.MaxInflight > 4096:
		return errors.New("max_inflight: want 1 to 4096")
	case c.MaxConnections < 1 || c.MaxConnections > 256:
		return errors.New("max_connections: want 1 to 256")
	}
	return nil
}
