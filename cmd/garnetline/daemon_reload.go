package main

import (
	"garnetline/internal/logs"
)

// reload reads the configuration again and goes over to it as a whole, or keeps the active
// one and logs the field that is at fault.
func (d *daemon) reload() {
	next, err := d.loadNext()
	if err != nil {
		d.metrics.Add("reloads_refused", 1)
		d.log.Error().Err(err).Msg("reload rejected, keeping the active configuration")
		return
	}
	d.metrics.Add("reloads", 1)
	d.apply(next)
	d.log.Info().Msg("configuration reloaded")
}

// loadNext returns a configuration that a running router can go over to. The log level is
// set, as the last of what can fail.
func (d *daemon) loadNext() (setup, error) {
	next, err := d.load()
	if err != nil {
		return next, err
	}
	if err := d.active.checkReload(next); err != nil {
		return next, err
	}
	return next, logs.SetLevel(next.operators.Log.Level)
}

// apply has all parts go over to next.
func (d *daemon) apply(next setup) {
	d.active = next
	applyRuntimeLimits(next.platform.Limits)
	d.platform.Store(next.platform)
	d.dispatcher.Reload(next.platform.Settings)
	d.watcher.Reload(next.platform)
	d.fleet.Reload(next.operators.Fleet)
	if d.recorder != nil {
		d.recorder.UpdateSettings(recorderSettings(next.operators.Trace, next.platform.Settings.Classes))
	}
}
