package main

import (
	"garnetline/internal/logs"
)

// reload reads the configuration files again and applies all of them. If a file is invalid, or
// changes a field that only a restart can change, reload applies none of them and logs an error
// that names the field.
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

// loadNext reads a configuration and checks that a running router can change to it. It sets the
// log level last, when nothing else can fail, so that a rejected reload changes nothing.
func (d *daemon) loadNext() (daemonConfig, error) {
	next, err := d.load()
	if err != nil {
		return next, err
	}
	if err := d.active.checkReload(next); err != nil {
		return next, err
	}
	return next, logs.SetLevel(next.operators.Log.Level)
}

// apply makes next the active configuration of all parts.
func (d *daemon) apply(next daemonConfig) {
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
