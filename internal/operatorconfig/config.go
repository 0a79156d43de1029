// Package settings reads the operators' file, deploy/garnetline.hcl: a block for
// each feature that the platform does not have. Without a file all of them are off.
package operatorconfig

import (
	"errors"
	"fmt"
	"net/url"
	"os"
	"reflect"
	"regexp"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

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

// Trace says what is traced, and kept of it.
type Trace struct {
	Enabled            bool         `hcl:"enabled,optional"`
	Dir                string       `hcl:"folder,optional"`         // of the segments
	Secret             string       `hcl:"secret,optional"`         // mixed into whatever names a client or a key; the same at all routers
	SegmentMB          int          `hcl:"segment_mb,optional"`     // size at which a segment is closed
	KeepMB             int          `hcl:"keep_mb,optional"`        // of all segments; the oldest go first
	UndecidedKB        int          `hcl:"undecided_kb,optional"`   // memory for traces that are not decided
	OrdinaryPerSecond  float64      `hcl:"ordinary_per_s,optional"` // ordinary traces kept a second, a class
	RetryWindow        float64      `hcl:"retry_within_ms,optional"`
	HonorSampled       bool         `hcl:"honour_sampled,optional"` // what a client samples, as its traceparent says, is kept
	PropagateToServers bool         `hcl:"peers,optional"`          // boxes and hubs take the fields trace and kept
	Classes            []TraceClass `hcl:"class,block"`
	Collector          *Collector   `hcl:"collector,block"`
}

// TraceClass is what differs for one class.
type TraceClass struct {
	Name              string   `hcl:"name,label"`
	OrdinaryPerSecond *float64 `hcl:"ordinary_per_s,optional"` // nil: that of all classes
	SlowThreshold     float64  `hcl:"wanted_ms,optional"`      // slower ones are kept; 0: the class's own aim
}

// Collector is where kept traces are sent by OTLP over HTTP.
type Collector struct {
	URL        string  `hcl:"url"`
	QueueLimit int     `hcl:"queue,optional"`      // traces that wait; more are dropped and counted
	Timeout    float64 `hcl:"timeout_ms,optional"` // of one call
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

// firstError is the first of what was found, as one line.
func firstError(diags hcl.Diagnostics) error {
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			at := ""
			if d.Subject != nil {
				at = fmt.Sprintf("%s:%d: ", d.Subject.Filename, d.Subject.Start.Line)
			}
			return fmt.Errorf("%s%s: %s", at, d.Summary, lineBreaks.ReplaceAllString(d.Detail, " "))
		}
	}
	return diags
}

var (
	lineBreaks   = regexp.MustCompile(`\s*\n\s*`)
	leadingField = regexp.MustCompile(`^[a-z_]+`)
)

// position is where a field that cannot be used stands: file, line and block.
func position(f *hcl.File, path, block string, err error) string {
	for _, b := range f.Body.(*hclsyntax.Body).Blocks {
		if b.Type != block {
			continue
		}
		line := b.TypeRange.Start.Line
		if a := b.Body.Attributes[leadingField.FindString(err.Error())]; a != nil {
			line = a.NameRange.Start.Line
		}
		return fmt.Sprintf("%s:%d: %s", path, line, block)
	}
	return path + ": " + block
}

func (l *Log) validate() error {
	if _, err := logs.ParseLevel(l.Level); err != nil {
		return fmt.Errorf("level: %w", err)
	}
	return nil
}

func (t *Trace) validate() error {
	switch {
	case t.Enabled && t.Dir == "":
		return errors.New("enabled: want a folder to keep traces in")
	case t.SegmentMB < 1 || t.SegmentMB > 1024:
		return errors.New("segment_mb: want 1 to 1024")
	case t.KeepMB < 2*t.SegmentMB || t.KeepMB > 1<<20:
		return errors.New("keep_mb: want two segments or more, and 1048576 at the most")
	case t.UndecidedKB < 64 || t.UndecidedKB > 1<<20:
		return errors.New("undecided_kb: want 64 to 1048576")
	case !(t.OrdinaryPerSecond >= 0 && t.OrdinaryPerSecond <= 1e5):
		return errors.New("ordinary_per_s: want 0 to 100000")
	case !(t.RetryWindow >= 0 && t.RetryWindow <= 60_000):
		return errors.New("retry_within_ms: want 0 to 60000")
	}
	seen := map[string]bool{}
	for i, c := range t.Classes {
		if seen[c.Name] {
			return fmt.Errorf("class %q: named twice", c.Name)
		}
		seen[c.Name] = true
		if c.OrdinaryPerSecond != nil && !(*c.OrdinaryPerSecond >= 0 && *c.OrdinaryPerSecond <= 1e5) || !(c.SlowThreshold >= 0 && c.SlowThreshold <= 600_000) {
			return fmt.Errorf("class %q: ordinary_per_s or wanted_ms out of range", t.Classes[i].Name)
		}
	}
	if c := t.Collector; c != nil {
		u, err := url.Parse(c.URL)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			return fmt.Errorf("collector: url: %q is not an http URL", c.URL)
		}
		if c.QueueLimit == 0 {
			c.QueueLimit = 1024
		}
		if c.Timeout == 0 {
			c.Timeout = 2000
		}
		if c.QueueLimit < 1 || c.QueueLimit > 1<<20 || !(c.Timeout >= 10 && c.Timeout <= 60_000) {
			return errors.New("collector: queue or timeout_ms out of range")
		}
	}
	return nil
}

// sameCollector tells whether two collectors are alike, or both absent.
func sameCollector(a, b *Collector) bool { return a == b || a != nil && b != nil && *a == *b }

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
