// Package settings reads the operators' file, deploy/garnetline.hcl: a block for
// each feature that the platform does not have. Without a file all of them are off.
package operatorconfig

import (
	"errors"
	"fmt"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"os"
	"reflect"

	"garnetline/internal/frontend/dnsfront"
	"garnetline/internal/logs"
)

// Config is the whole of the operators' file.
type Config struct {
	Log    Log
	DNS    dnsfront.Config
	Trace  Trace
	Fleet  Fleet
	Leases Leases
}

// Log says what is logged.
type Log struct {
	Level string `hcl:"level,optional"` // one of logs.Levels
}

// Default is what holds without a file.
func Default() Config {
	return Config{Log: Log{Level: "info"}, DNS: dnsfront.DefaultConfig(),
		Fleet: defaultFleet(), Leases: defaultLeases(), Trace: Trace{SegmentMB: 8, KeepMB: 256, UndecidedKB: 4096, OrdinaryPerSecond: 2, RetryWindow: 5000, HonorSampled: true}}
}

// Load reads an operators' file; "" stands for none. An error is one line that
// names the file, the line and the field.
func Load(path string) (Config, error) {
	f := Default()
	if path == "" {
		return f, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Default(), err
	}
	parsed, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	if diags.HasErrors() {
		return Default(), firstError(diags)
	}
	blocks := struct {
		Log    *Log             `hcl:"log,block"`
		DNS    *dnsfront.Config `hcl:"dns,block"`
		Trace  *Trace           `hcl:"trace,block"`
		Fleet  *Fleet           `hcl:"fleet,block"`
		Duties *Leases          `hcl:"duties,block"`
	}{&f.Log, &f.DNS, &f.Trace, &f.Fleet, &f.Leases}
	if diags = gohcl.DecodeBody(parsed.Body, nil, &blocks); diags.HasErrors() {
		return Default(), firstError(diags)
	}
	for _, c := range []struct {
		block string
		check func() error
	}{{"log", f.Log.validate}, {"dns", f.DNS.Validate}, {"trace", f.Trace.validate}, {"fleet", f.Fleet.validate},
		{"duties", func() error { return f.Leases.validate(f.Fleet.Enabled) }}} {
		if err := c.check(); err != nil {
			return Default(), fmt.Errorf("%s: %w", position(parsed, path, c.block, err), err)
		}
	}
	return f, nil
}

func (l *Log) validate() error {
	if _, err := logs.ParseLevel(l.Level); err != nil {
		return fmt.Errorf("level: %w", err)
	}
	return nil
}

// CheckReload tells whether a running program can go over to another file. An error
// names what only a restart can change.
func (f *Config) CheckReload(next Config) error {
	if f.DNS != next.DNS {
		return errors.New("dns: only a restart can change it")
	}
	if f.Trace.Enabled != next.Trace.Enabled || f.Trace.Dir != next.Trace.Dir || f.Trace.Secret != next.Trace.Secret || f.Trace.PropagateToServers != next.Trace.PropagateToServers ||
		!sameCollector(f.Trace.Collector, next.Trace.Collector) {
		return errors.New("trace: only a restart can change enabled, folder, secret, peers and collector")
	}
	if err := f.Fleet.checkReload(&next.Fleet); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if !reflect.DeepEqual(f.Leases, next.Leases) {
		return errors.New("duties: only a restart can change it")
	}
	return nil
}
