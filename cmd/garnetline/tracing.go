package main

import (
	"fmt"
	"sync/atomic"

	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/platformconfig"
	"garnetline/internal/trace/export"
	"garnetline/internal/trace/keep"
	"garnetline/internal/trace/record"
	"garnetline/internal/trace/store"
	"garnetline/routing"
)

// tracing makes what follows the requests, or nil where the operators' file does not
// switch it on.
func tracing(t operatorconfig.Trace, conf *platformconfig.Config, clk clock.Clock, count *metrics.Registry, log *zerolog.Logger,
	now *atomic.Pointer[platformconfig.Config]) (*record.Recorder, error) {
	if !t.Enabled {
		return nil, nil
	}
	w, err := store.Open(t.Dir, int64(t.SegmentMB)<<20, int64(t.KeepMB)<<20)
	if err != nil {
		return nil, fmt.Errorf("trace: folder: %w", err)
	}
	sinks := record.Sinks{w}
	if c := t.Collector; c != nil {
		x, err := export.New(export.Options{URL: c.URL, Queue: c.QueueLimit, Timeout: c.Timeout, Stats: count, Log: log, Seed: conf.Seed})
		if err != nil {
			return nil, fmt.Errorf("trace: collector: url: %w", err)
		}
		sinks = append(sinks, x)
	}
	return record.New(record.Options{Clock: clk, Router: conf.Name, Secret: t.Secret, Seed: conf.Seed, Stats: count, Log: log, Sink: sinks,
		Pace: func() float64 { return now.Load().Settings.BodyBytesPerSecond }}, kept(t, conf.Settings.Classes)), nil
}

// kept is what is kept of each class: what the operators' file says, and else slower
// traces than the class's aim and the budget of all.
func kept(t operatorconfig.Trace, classes []routing.Class) record.Settings {
	s := record.Settings{Undecided: t.UndecidedKB << 10, RetryWithin: t.RetryWindow, Sampled: t.HonorSampled, Other: keep.Class{Ordinary: t.OrdinaryPerSecond},
		Classes: map[string]keep.Class{}}
	for _, c := range classes {
		s.Classes[c.Name] = keep.Class{Wanted: clock.Millis(c.LatencyObjective), Ordinary: t.OrdinaryPerSecond, All: c.Idempotency == routing.IdempotentWithKey}
	}
	for _, c := range t.Classes {
		k, known := s.Classes[c.Name]
		if !known {
			continue
		}
		if c.OrdinaryPerSecond != nil {
			k.Ordinary = *c.OrdinaryPerSecond
		}
		if c.SlowThreshold > 0 {
			k.Wanted = c.SlowThreshold
		}
		s.Classes[c.Name] = k
	}
	return s
}
