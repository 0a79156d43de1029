package dnsfront

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/miekg/dns"

	"garnetline/internal/fielderror"
)

// Config is the dns block of the operators' configuration, and the content of the older file
// for DNS alone. deploy/garnetline.hcl documents the keys.
type Config struct {
	Enabled        bool    `toml:"enabled" hcl:"enabled,optional"`
	Listen         string  `toml:"listen" hcl:"listen,optional"`
	Zone           string  `toml:"zone" hcl:"zone,optional"`
	TimeoutMs      float64 `toml:"patience_ms" hcl:"patience_ms,optional"`
	MaxInflight    int     `toml:"max_inflight" hcl:"max_inflight,optional"`
	MaxConnections int     `toml:"max_connections" hcl:"max_connections,optional"`
}

// Upper bounds of the configured values.
const (
	timeoutLimitMs   = 60_000
	inflightLimit    = 4096
	connectionsLimit = 256
)

// DefaultConfig returns the values of keys that are not given. DNS is off.
func DefaultConfig() Config {
	return Config{
		Listen:         "127.0.0.1:5353",
		Zone:           "garnetline.local.",
		TimeoutMs:      1000,
		MaxInflight:    256,
		MaxConnections: 32,
	}
}

// LoadConfig reads the older file for DNS alone. Without a path it returns the defaults.
func LoadConfig(path string) (Config, error) {
	config := DefaultConfig()
	if path == "" {
		return config, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return config, err
	}
	meta, err := toml.Decode(string(text), &config)
	if err != nil {
		return config, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return config, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	if err := config.Validate(); err != nil {
		return config, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// Validate checks the values and brings the zone into its canonical form. Errors are
// fielderror.Error with the key at fault.
func (c *Config) Validate() error {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return fielderror.Errorf("listen", "%w", err)
	}
	if _, ok := dns.IsDomainName(c.Zone); !ok || c.Zone == "" || c.Zone == "." {
		return fielderror.Errorf("zone", "%q is not a zone of its own", c.Zone)
	}
	c.Zone = dns.CanonicalName(c.Zone)
	timeoutInRange := c.TimeoutMs >= 1 && c.TimeoutMs <= timeoutLimitMs // false for NaN
	switch {
	case !timeoutInRange:
		return fielderror.Errorf("patience_ms", "%v, want 1 to %d", c.TimeoutMs, timeoutLimitMs)
	case c.MaxInflight < 1 || c.MaxInflight > inflightLimit:
		return fielderror.Errorf("max_inflight", "want 1 to %d", inflightLimit)
	case c.MaxConnections < 1 || c.MaxConnections > connectionsLimit:
		return fielderror.Errorf("max_connections", "want 1 to %d", connectionsLimit)
	}
	return nil
}
