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

// loadNext reads the configuration files and checks that a running router can change to the new
// configuration. It sets the log level last, after all steps that can fail, so that a rejected
// reload changes nothing.
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

// apply makes updated the active configuration of all parts.
func (d *daemon) apply(updated daemonConfig) {
	d.active = updated
	applyProcessors(updated.platform.Limits)
	d.platform.Store(updated.platform)
	d.dispatcher.Reload(updated.platform.Settings)
	d.watcher.Reload(updated.platform)
	d.fleet.Reload(updated.operators.Fleet)
	if d.recorder != nil {
		d.recorder.UpdateSettings(recorderSettings(updated.operators.Trace, updated.platform.Settings.Classes))
	}
}
