// Package operatorconfig reads the operators' file, deploy/garnetline.hcl: one block for each
// feature that the platform's configuration does not know. Without a file all of them are
// off. A Config is read whole and then not changed; a reload replaces it.
package operatorconfig

import (
	"os"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"garnetline/internal/fielderror"
	"garnetline/internal/frontend/dnsfront"
	"garnetline/internal/logs"
)

// Names of the blocks.
const (
	blockLog    = "log"
	blockDNS    = "dns"
	blockTrace  = "trace"
	blockFleet  = "fleet"
	blockLeases = "duties" // as it was called first
)

// Config is the operators' file.
type Config struct {
	Log    Log
	DNS    dnsfront.Config
	Trace  Trace
	Fleet  Fleet
	Leases Leases
}

// Log configures the program's log.
type Log struct {
	Level string `hcl:"level,optional"` // one of logs.Levels
}

// Default returns what holds without a file.
func Default() Config {
	return Config{
		Log:    Log{Level: "info"},
		DNS:    dnsfront.DefaultConfig(),
		Trace:  defaultTrace(),
		Fleet:  defaultFleet(),
		Leases: defaultLeases(),
	}
}

// Load reads a file; path "" stands for none. It returns the defaults beside an error, which
// is one line. For all but a file that cannot be opened, it is a ConfigError.
func Load(path string) (Config, error) {
	config := Default()
	if path == "" {
		return config, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Default(), err
	}
	file, diagnostics := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	if diagnostics.HasErrors() {
		return Default(), parseError(diagnostics)
	}
	if diagnostics = config.decode(file.Body); diagnostics.HasErrors() {
		return Default(), parseError(diagnostics)
	}
	if block, err := config.validate(); err != nil {
		return Default(), blockError(file, path, block, err)
	}
	return config, nil
}

// decode reads the blocks that are there over the values that config holds.
func (c *Config) decode(body hcl.Body) hcl.Diagnostics {
	blocks := struct {
		Log    *Log             `hcl:"log,block"`
		DNS    *dnsfront.Config `hcl:"dns,block"`
		Trace  *Trace           `hcl:"trace,block"`
		Fleet  *Fleet           `hcl:"fleet,block"`
		Leases *Leases          `hcl:"duties,block"`
	}{&c.Log, &c.DNS, &c.Trace, &c.Fleet, &c.Leases}
	return gohcl.DecodeBody(body, nil, &blocks)
}

// validate checks each block, after it has completed it with defaults that depend on other
// values. It returns the first block that cannot be used, and a fielderror.Error.
func (c *Config) validate() (block string, err error) {
	for _, check := range []struct {
		block    string
		validate func() error
	}{
		{blockLog, c.Log.validate},
		{blockDNS, c.DNS.Validate},
		{blockTrace, c.Trace.validate},
		{blockFleet, c.Fleet.validate},
		{blockLeases, func() error { return c.Leases.validate(c.Fleet.Enabled) }},
	} {
		if err := check.validate(); err != nil {
			return check.block, err
		}
	}
	return "", nil
}

func (l *Log) validate() error {
	if _, err := logs.ParseLevel(l.Level); err != nil {
		return fielderror.Errorf("level", "%w", err)
	}
	return nil
}

// within reports whether a value lies in a range, which includes its ends. NaN does not.
func within(value, least, most float64) bool { return value >= least && value <= most }
