package routing_test

import (
	"fmt"
	"hash"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"garnetline/internal/golden"
	"garnetline/routing"
)

const (
	traceLines    = 60   // number of lines at the start of a trace that the golden file holds as text
	traceHashStep = 1000 // number of lines between two hashes
)

// traceScenario describes the settings of the router, and the fleet and traffic of one simulation.
type traceScenario struct {
	name     string
	seed     uint64
	settings func(*routing.Settings)
	servers  func([]routing.Server) []routing.Server
	statuses bool    // outcomes report the cache status
	sizes    bool    // requests have a size
	loads    bool    // outcomes carry load reports
	rate     float64 // requests per second
	length   time.Duration
	updated  bool // the settings are replaced after half of the length
}

// withWeight returns a function that gives all servers the same weight.
func withWeight(weight float64) func([]routing.Server) []routing.Server {
	return func(list []routing.Server) []routing.Server {
		for i := range list {
			list[i].Weight = weight
		}
		return list
	}
}

// meteredSettings returns a function that changes settings to those of a deployment in which weights are
// capacities and outcomes report the bytes of responses. The zone has the given number of routers.
func meteredSettings(routers int) func(*routing.Settings) {
	return func(settings *routing.Settings) {
		settings.WeightIsCapacity = true
		settings.BodyBytesPerSecond = 100_000
		settings.RoutersByZone = []int{0, routers, 1}
		settings.Routers = routers + 1
	}
}

func traceScenarios() []traceScenario {
	const minute = 60 * time.Second
	return []traceScenario{
		{name: "notes", seed: 1, statuses: true, sizes: true, loads: true, rate: 120, length: minute, updated: true},
		{name: "notes-unsized", seed: 2, statuses: true, loads: true, rate: 60, length: minute},
		{name: "metered", seed: 3, settings: meteredSettings(1), servers: withWeight(6), rate: 60, length: minute, updated: true},
		{name: "metered-thin", seed: 4, settings: meteredSettings(8), servers: withWeight(6), rate: 25, length: minute},
		{name: "metered-thinnest", seed: 5, settings: meteredSettings(40), servers: withWeight(4), rate: 10, length: minute},
		{name: "untold", seed: 6, rate: 60, length: minute},
		{name: "hits-only", seed: 7, statuses: true, sizes: true, rate: 80, length: minute,
			settings: func(settings *routing.Settings) {
				settings.HitStatusOnly = true
				settings.CanCancel = false
			}},
		{name: "no-bypass", seed: 8, statuses: true, sizes: true, loads: true, rate: 80, length: minute,
			settings: func(settings *routing.Settings) {
				settings.AllowBypass = false
				settings.CanJoinFill = false
				settings.OriginStopsOnOverload = true
				settings.MustSubscribe = true
				settings.RoutersByZone = nil
				settings.MaxRetryAfter = 0
				settings.MaxAttempts = 3
			}},
		{name: "no-parents", seed: 9, statuses: true, sizes: true, loads: true, rate: 80, length: 40 * time.Second,
			settings: func(settings *routing.Settings) { settings.ParentKind = -1 },
			servers: func(list []routing.Server) []routing.Server {
				return slices.DeleteFunc(list, func(listed routing.Server) bool { return listed.Kind == 1 })
			}},
		{name: "only-caches", seed: 10, rate: 50, length: 40 * time.Second,
			settings: func(settings *routing.Settings) {
				settings.ParentKind = -1
				settings.OriginKind = -1
			},
			servers: func(list []routing.Server) []routing.Server { return list[:4] }},
		{name: "pushed-origin", seed: 11, statuses: true, sizes: true, rate: 150, length: 30 * time.Second,
			settings: func(settings *routing.Settings) {
				settings.RoutersByZone = []int{0, 20, 1}
				settings.Routers = 21
			}},
	}
}

func traceSettings() routing.Settings {
	const millisecond, second = time.Millisecond, time.Second
	return routing.Settings{
		Zones: 3, Zone: 1, Kinds: 3, ParentKind: 1, OriginKind: 2,
		RoutersByZone: []int{0, 1, 1}, Routers: 2, MaxAttempts: 6, MaxRetryAfter: 500 * millisecond,
		CanCancel: true, CanJoinFill: true, AllowBypass: true, TransferKBPerSecond: 1000,
		DrainGrace: 250 * millisecond, PurgeGrace: 300 * millisecond, PurgeRetention: 6 * second,
		CacheSlowStart: routing.SlowStart{
			InitialCapacity: 0.2, Duration: 10 * second, OverloadFactor: 2, OverloadWindow: 2 * second,
		},
		ParentSlowStart: routing.SlowStart{
			InitialCapacity: 0.1, Duration: 20 * second, OverloadFactor: 2, OverloadWindow: 2 * second,
		},
		Classes: []routing.Class{
			{
				Name: "big", Idempotency: routing.Idempotent, LatencyObjective: 600 * millisecond,
				ObjectiveTransferFactor: 2, Deadline: 6 * second, PriorityWeight: 2,
			},
			{
				Name: "small", Idempotency: routing.Idempotent, LatencyObjective: 250 * millisecond,
				ObjectiveTransferFactor: 2, Deadline: 3 * second, PriorityWeight: 1, FreshnessLifetime: 8 * second,
			},
			{
				Name: "write", Idempotency: routing.IdempotentWithKey, KeyWindow: 2 * second,
				LatencyObjective: 700 * millisecond, Deadline: 3 * second, PriorityWeight: 3, Write: true,
			},
			{
				Name: "once", Idempotency: routing.NonIdempotent,
				LatencyObjective: 700 * millisecond, Deadline: 3 * second, PriorityWeight: 3, Write: true,
			},
			{
				Name: "form", Idempotency: routing.IdempotentWithKey, KeyScope: routing.KeyScopeZone,
				LatencyObjective: 400 * millisecond, Deadline: 2 * second, KeyWindow: second, PriorityWeight: 4,
			},
			{
				Name: "cell", Idempotency: routing.IdempotentWithKey, KeyScope: routing.KeyScopeCell,
				LatencyObjective: 400 * millisecond, Deadline: 2 * second, KeyWindow: second, PriorityWeight: 1,
			},
		},
	}
}

// traceFleet returns four caches in the router's zone, one cache in another zone, three parents and an
// origin.
func traceFleet() []routing.Server {
	return []routing.Server{
		{ID: 21, Zone: 2, Kind: 0, Phase: routing.Ready},
		{ID: 11, Zone: 1, Kind: 0, Cell: 1, Phase: routing.Ready},
		{ID: 12, Zone: 1, Kind: 0, Cell: 1, Phase: routing.Ready},
		{ID: 13, Zone: 1, Kind: 0, Cell: 2, Phase: routing.Ready},
		{ID: 14, Zone: 1, Kind: 0, Cell: 2, Phase: routing.Ready},
		{ID: 31, Kind: 1, Phase: routing.Ready},
		{ID: 32, Kind: 1, Phase: routing.Ready},
		{ID: 33, Kind: 1, Phase: routing.Ready},
		{ID: 41, Kind: 2, Phase: routing.Ready},
	}
}

// traceWriter keeps the first lines of a trace as text and hashes of the whole trace.
type traceWriter struct {
	all   strings.Builder
	kept  strings.Builder
	hash  hash.Hash
	count int
}

func (w *traceWriter) printf(format string, values ...any) {
	line := fmt.Sprintf(format+"\n", values...)
	w.all.WriteString(line)
	w.hash.Write([]byte(line))
	if w.count++; w.count <= traceLines {
		w.kept.WriteString(line)
	} else if w.count%traceHashStep == 0 {
		w.printHash()
	}
}

func (w *traceWriter) printHash() {
	fmt.Fprintf(&w.kept, "%d lines, sha256 %x\n", w.count, w.hash.Sum(nil)[:12])
}

// TestDecisionTrace compares all decisions of the package with recorded decisions. A simulated fleet with
// a fixed seed sends a router requests, outcomes, timers, endpoint updates and purges, and each action
// that the router returns is printed field by field. The golden file of a scenario holds the first lines
// of the printed trace, and running hashes of all lines. A refactoring must leave the golden files
// unchanged.
//
//	UPDATE_GOLDEN=1 go test ./routing -run Trace            rewrites the golden files in testdata
//	DECISION_TRACE_DIR=/tmp/x go test ./routing -run Trace  also writes all lines to that directory
//
// The golden files are recorded on amd64. On an architecture that fuses multiplication and addition,
// floating point results may differ, and the router may decide differently.
func TestDecisionTrace(t *testing.T) {
	for _, scenario := range traceScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			simulated := newSimulation(t, scenario)
			simulated.run()
			writeWholeTrace(t, scenario.name, simulated.trace.all.String())
			golden.Compare(t, "decisions-"+scenario.name+".txt", []byte(simulated.trace.kept.String()))
		})
	}
}

// writeWholeTrace writes all lines of a trace to the directory DECISION_TRACE_DIR, if it is set.
func writeWholeTrace(t *testing.T, name, lines string) {
	t.Helper()
	dir := os.Getenv("DECISION_TRACE_DIR")
	if dir == "" {
		return
	}
	if err := os.WriteFile(filepath.Join(dir, name+".txt"), []byte(lines), 0o666); err != nil {
		t.Fatal(err)
	}
}

// traceGuards returns guards with and without purges.
func traceGuards() []routing.Guard {
	const second = time.Second
	return []routing.Guard{
		{},
		{
			Ready:          map[routing.ServerID]bool{1: true},
			PurgeRetention: 6 * second, PurgeGrace: 300 * time.Millisecond,
			PurgesOccur: true, LastFrameAt: 100 * second,
			Purges: []routing.PurgeRecord{
				{Object: 7, At: 99 * second}, {Group: 4, At: 95 * second}, {Object: 7, Group: 3, At: 101 * second},
			},
		},
		{
			Ready:          map[routing.ServerID]bool{1: true, 2: false},
			PurgeRetention: 2 * second, PurgeGrace: second, LastFrameAt: 10 * second,
			Purges: []routing.PurgeRecord{{At: 100 * second}},
		},
	}
}

// TestGuardTrace compares the results of guards for purges and stale watch streams with recorded results.
func TestGuardTrace(t *testing.T) {
	text := &strings.Builder{}
	guards := traceGuards()
	for i := range guards {
		for id := range routing.ServerID(4) {
			fmt.Fprintf(text, "guard %d server=%d barred=%t\n", i, uint64(id), guards[i].Excludes(id))
		}
		printGuard(text, i, &guards[i])
	}
	var none *routing.Guard
	fmt.Fprintf(text, "no guard barred=%t purged=%t\n", none.Excludes(1), none.MayBeStale(time.Second, 1, 1))
	golden.Compare(t, "guard.txt", []byte(text.String()))
}

// printGuard prints the results of a guard for each combination of several times, objects and groups.
func printGuard(text *strings.Builder, index int, guard *routing.Guard) {
	const second = time.Second
	times := []time.Duration{
		99 * second, 100 * second, 101*second + 1, 101*second + 500*time.Millisecond + 1, 110 * second,
	}
	for _, now := range times {
		for _, object := range []routing.ObjectID{0, 6, 7, 8} {
			for _, group := range []int{-1, 2, 4} {
				fmt.Fprintf(text, "guard %d now=%d object=%d group=%d age=%d of_5s=%d purged=%t\n",
					index, int64(now), uint64(object), group,
					int64(guard.MaxAge(now, 0, object, group)),
					int64(guard.MaxAge(now, 5*second, object, group)),
					guard.MayBeStale(now, object, group))
			}
		}
	}
}
