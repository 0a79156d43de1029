package main

import (
	"fmt"

	"garnetline/internal/clock"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/trace/export"
	"garnetline/internal/trace/recorder"
	"garnetline/internal/trace/sampling"
	"garnetline/internal/trace/store"
	"garnetline/routing"
)

// newRecorder returns the recorder of request traces, or nil if the operators' file does not
// enable tracing.
func newRecorder(router *daemon) (*recorder.Recorder, error) {
	settings := router.startup.operators.Trace
	if !settings.Enabled {
		return nil, nil
	}
	sinks, err := openTraceSinks(router, settings)
	if err != nil {
		return nil, err
	}
	platform := router.startup.platform
	options := recorder.Options{
		Clock:                router.clock,
		Router:               platform.Name,
		Secret:               settings.Secret,
		Seed:                 platform.Seed,
		Metrics:              router.metrics,
		Log:                  router.log,
		Sink:                 sinks,
		ClientBytesPerSecond: func() float64 { return router.platform.Load().Settings.BodyBytesPerSecond },
	}
	return recorder.New(options, recorderSettings(settings, platform.Settings.Classes)), nil
}

// openTraceSinks opens the destinations of traces: the directory of segment files and, if the
// operators' file names one, a collector.
func openTraceSinks(router *daemon, settings operatorconfig.Trace) (recorder.Sinks, error) {
	segments, err := store.Open(settings.Dir, int64(settings.SegmentMB)<<20, int64(settings.KeepMB)<<20)
	if err != nil {
		return nil, fmt.Errorf("trace: folder: %w", err)
	}
	collector := settings.Collector
	if collector == nil {
		return recorder.Sinks{segments}, nil
	}
	exporter, err := export.New(export.Options{
		URL:       collector.URL,
		QueueSize: collector.QueueLimit,
		Timeout:   collector.Timeout,
		Metrics:   router.metrics,
		Log:       router.log,
		Seed:      router.startup.platform.Seed,
	})
	if err != nil {
		return nil, fmt.Errorf("trace: collector: url: %w", err)
	}
	return recorder.Sinks{segments, exporter}, nil
}

// recorderSettings returns the settings that say which traces the recorder retains. By default, it
// retains the traces that are slower than the latency objective of their class, and samples ordinary
// traces, which no other rule retains, at the rate in the trace block. A class block of the operators'
// file overrides the latency objective and the rate for its class. All traces of a class with
// idempotency keys are retained.
func recorderSettings(settings operatorconfig.Trace, classes []routing.Class) recorder.Settings {
	result := recorder.Settings{
		UndecidedBytes:      settings.UndecidedKB << 10,
		RetryWindow:         settings.RetryWindow,
		RetainClientSampled: settings.HonorSampled,
		DefaultClass:        sampling.Class{OrdinaryPerSecond: settings.OrdinaryPerSecond},
		Classes:             map[string]sampling.Class{},
	}
	for _, class := range classes {
		result.Classes[class.Name] = sampling.Class{
			LatencyObjective:  clock.Millis(class.LatencyObjective),
			OrdinaryPerSecond: settings.OrdinaryPerSecond,
			RetainAll:         class.Idempotency == routing.IdempotentWithKey,
		}
	}
	for _, override := range settings.Classes {
		class, known := result.Classes[override.Name]
		if !known {
			continue
		}
		if override.OrdinaryPerSecond != nil {
			class.OrdinaryPerSecond = *override.OrdinaryPerSecond
		}
		if override.SlowThreshold > 0 {
			class.LatencyObjective = override.SlowThreshold
		}
		result.Classes[override.Name] = class
	}
	return result
}
