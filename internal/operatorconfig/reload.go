package operatorconfig

import (
	"errors"
	"reflect"
)

// This file defines which settings only a restart can change.

// errRestartOnly is the cause of a CheckReload error for a block in which no field can change
// while the program runs.
var errRestartOnly = errors.New("only a restart can change this block")

// CheckReload returns a ConfigError for the first block in which c and next differ in a field
// that cannot change while the program runs.
func (c *Config) CheckReload(next Config) error {
	if c.DNS != next.DNS {
		return &ConfigError{Block: blockDNS, Err: errRestartOnly}
	}
	if err := c.Trace.checkReload(&next.Trace); err != nil {
		return &ConfigError{Block: blockTrace, Err: err}
	}
	if err := c.Fleet.checkReload(&next.Fleet); err != nil {
		return &ConfigError{Block: blockFleet, Err: err}
	}
	if !reflect.DeepEqual(c.Leases, next.Leases) {
		return &ConfigError{Block: blockLeases, Err: errRestartOnly}
	}
	return nil
}

// checkReload returns an error if t and next differ in a field that only a restart can change.
func (t *Trace) checkReload(next *Trace) error {
	if t.Enabled != next.Enabled || t.Dir != next.Dir || t.Secret != next.Secret ||
		t.PropagateToServers != next.PropagateToServers || !sameCollector(t.Collector, next.Collector) {
		return errors.New("only a restart can change enabled, folder, secret, peers and collector")
	}
	return nil
}

// sameCollector reports whether two collectors are equal, or both nil.
func sameCollector(a, b *Collector) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// checkReload returns an error if f and next differ in a field other than Keys and Join, the only
// ones that can change while the program runs.
func (f *Fleet) checkReload(next *Fleet) error {
	current, replacement := *f, *next
	current.Keys, replacement.Keys = nil, nil
	current.Join, replacement.Join = nil, nil
	if !reflect.DeepEqual(current, replacement) {
		return errors.New("only a restart can change fields other than keys and join")
	}
	return nil
}
