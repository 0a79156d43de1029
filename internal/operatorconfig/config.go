// Package operatorconfig reads the operators' file, for example deploy/garnetline.hcl. The file
// has one block for each feature that the platform's configuration has no settings for. Without
// a file, these features are off. A Config is not modified after Load returned it: a reload
// replaces the whole Config.
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
	blockLeases = "duties" // original name of the leases, which the file still uses
)

// Config is the content of the operators' file.
type Config struct {
	Log    Log
	DNS    dnsfront.Config
	Trace  Trace
	Fleet  Fleet
	Leases Leases
}

// Log configures the program's log.
type Log struct {
	Level string `hcl:"level,optional"` // name of the lowest level that is written, one of logs.Levels
}

// Default returns the configuration that applies without a file.
func Default() Config {
	return Config{
		Log:    Log{Level: "info"},
		DNS:    dnsfront.DefaultConfig(),
		Trace:  defaultTrace(),
		Fleet:  defaultFleet(),
		Leases: defaultLeases(),
	}
}

// Load reads the file at path, or returns the defaults if path is "". If it returns an error,
// the Config holds the defaults. The error is one line. It is a ConfigError unless the file
// could not be read.
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

// decode overwrites the values in c with those of the blocks in the file. Values that the file
// does not set stay unchanged.
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

// validate checks each block and fills in defaults that depend on other values. It returns the
// name of the first invalid block and a fielderror.Error.
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

// inRange reports whether low <= value <= high. It is false for NaN.
func inRange(value, low, high float64) bool { return value >= low && value <= high }
