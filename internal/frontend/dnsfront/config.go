package dnsfront

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/miekg/dns"

	"garnetline/internal/fielderror"
)

// Config holds the settings of the DNS server. They are read from the dns block of the
// operators' configuration, or from the deprecated separate DNS file. deploy/garnetline.hcl
// documents the keys.
type Config struct {
	Enabled        bool    `toml:"enabled" hcl:"enabled,optional"`
	Listen         string  `toml:"listen" hcl:"listen,optional"`
	Zone           string  `toml:"zone" hcl:"zone,optional"`
	TimeoutMs      float64 `toml:"patience_ms" hcl:"patience_ms,optional"`
	MaxInflight    int     `toml:"max_inflight" hcl:"max_inflight,optional"`
	MaxConnections int     `toml:"max_connections" hcl:"max_connections,optional"`
}

// Upper bounds of the values in Config.
const (
	timeoutLimitMs   = 60_000
	inflightLimit    = 4096
	connectionsLimit = 256
)

// DefaultConfig returns the default settings. They apply to keys that the configuration leaves out.
// By default, the DNS server is disabled.
func DefaultConfig() Config {
	return Config{
		Listen:         "127.0.0.1:5353",
		Zone:           "garnetline.local.",
		TimeoutMs:      1000,
		MaxInflight:    256,
		MaxConnections: 32,
	}
}

// LoadConfig reads the deprecated separate DNS file, which is in TOML. It returns the defaults
// if path is empty, and an error if the file holds an unknown key or an invalid value.
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

// Validate checks the values and converts the zone to its canonical form. An error is a
// *fielderror.Error that names the invalid key.
func (c *Config) Validate() error {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return fielderror.Errorf("listen", "expected an IP address and a port: %w", err)
	}
	if _, ok := dns.IsDomainName(c.Zone); !ok || c.Zone == "" || c.Zone == "." {
		return fielderror.Errorf("zone", "expected a domain name other than the root, got %q", c.Zone)
	}
	c.Zone = dns.CanonicalName(c.Zone)
	timeoutInRange := c.TimeoutMs >= 1 && c.TimeoutMs <= timeoutLimitMs // false for NaN
	switch {
	case !timeoutInRange:
		return fielderror.Errorf("patience_ms", "expected a time from 1 to %[2]d ms, got %[1]v", c.TimeoutMs, timeoutLimitMs)
	case c.MaxInflight < 1 || c.MaxInflight > inflightLimit:
		return fielderror.Errorf("max_inflight", "expected an integer from 1 to %d, got %d", inflightLimit, c.MaxInflight)
	case c.MaxConnections < 1 || c.MaxConnections > connectionsLimit:
		return fielderror.Errorf("max_connections", "expected an integer from 1 to %d, got %d", connectionsLimit, c.MaxConnections)
	}
	return nil
}
