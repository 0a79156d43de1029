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

// newRecorder returns what traces requests, or nil where the operators' file has it off.
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

// openTraceSinks opens what traces go to: the folder of segments and, where one is named, a
// collector.
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

// recorderSettings says which traces of each class are retained: what the operators' file
// has of the class, and else those slower than its latency objective and the ordinary ones
// that the common budget allows.
func recorderSettings(settings operatorconfig.Trace, classes []routing.Class) recorder.Settings {
	recorder := recorder.Settings{
		UndecidedBytes:      settings.UndecidedKB << 10,
		RetryWindow:         settings.RetryWindow,
		RetainClientSampled: settings.HonorSampled,
		DefaultClass:        sampling.Class{OrdinaryPerSecond: settings.OrdinaryPerSecond},
		Classes:             map[string]sampling.Class{},
	}
	for _, class := range classes {
		recorder.Classes[class.Name] = sampling.Class{
			LatencyObjective:  clock.Millis(class.LatencyObjective),
			OrdinaryPerSecond: settings.OrdinaryPerSecond,
			RetainAll:         class.Idempotency == routing.IdempotentWithKey,
		}
	}
	for _, override := range settings.Classes {
		class, known := recorder.Classes[override.Name]
		if !known {
			continue
		}
		if override.OrdinaryPerSecond != nil {
			class.OrdinaryPerSecond = *override.OrdinaryPerSecond
		}
		if override.SlowThreshold > 0 {
			class.LatencyObjective = override.SlowThreshold
		}
		recorder.Classes[override.Name] = class
	}
	return recorder
}
