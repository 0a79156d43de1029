package operatorconfig

import (
	"errors"
	"reflect"
)

// This file says which settings only a restart can change.

// errRestartOnly is the cause of a CheckReload that fails for any change of a block.
var errRestartOnly = errors.New("only a restart can change it")

// CheckReload returns a ConfigError that names a block in which next differs by what cannot
// change while the program runs.
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

// checkReload returns an error if next differs by what only a restart can change.
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

// checkReload returns an error if next differs by more than keys and addresses to join at,
// which alone can change while the program runs.
func (f *Fleet) checkReload(next *Fleet) error {
	current, replacement := *f, *next
	current.Keys, replacement.Keys = nil, nil
	current.Join, replacement.Join = nil, nil
	if !reflect.DeepEqual(current, replacement) {
		return errors.New("only a restart can change it, but for keys and join")
	}
	return nil
}
