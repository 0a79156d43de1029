package operatorconfig

import (
	"errors"
	"reflect"
)

// This file defines which settings only a restart can change.

// errRestartOnly is the cause of a CheckReload error for a block in which no field can change
// while the program runs.
var errRestartOnly = errors.New("a field of this block has changed, which needs a restart")

// CheckReload returns a ConfigError for the first block in which c and updated differ in a field
// that cannot change while the program runs.
func (c *Config) CheckReload(updated Config) error {
	if c.DNS != updated.DNS {
		return &ConfigError{Block: blockDNS, Err: errRestartOnly}
	}
	if err := c.Trace.checkReload(&updated.Trace); err != nil {
		return &ConfigError{Block: blockTrace, Err: err}
	}
	if err := c.Fleet.checkReload(&updated.Fleet); err != nil {
		return &ConfigError{Block: blockFleet, Err: err}
	}
	if !reflect.DeepEqual(c.Leases, updated.Leases) {
		return &ConfigError{Block: blockLeases, Err: errRestartOnly}
	}
	return nil
}

// checkReload returns an error if t and updated differ in a field that only a restart can change.
func (t *Trace) checkReload(updated *Trace) error {
	if t.Enabled != updated.Enabled || t.Dir != updated.Dir || t.Secret != updated.Secret ||
		t.PropagateToServers != updated.PropagateToServers || !sameCollector(t.Collector, updated.Collector) {
		return errors.New("only a restart can change enabled, folder, secret, peers and collector, and at least one of these fields has changed")
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

// checkReload returns an error if f and updated differ in a field other than Keys and Join. Only
// these two fields can change while the program runs.
func (f *Fleet) checkReload(updated *Fleet) error {
	current, replacement := *f, *updated
	current.Keys, replacement.Keys = nil, nil
	current.Join, replacement.Join = nil, nil
	if !reflect.DeepEqual(current, replacement) {
		return errors.New("fields other than keys and join have changed, which needs a restart")
	}
	return nil
}
