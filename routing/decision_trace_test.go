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
	traceLines    = 60   // lines at the start of a trace that are kept as text
	traceHashStep = 1000 // lines between two hashes
)

// traceScenario is one set of settings and what the simulated fleet does under them.
type traceScenario struct {
	name     string
	seed     uint64
	settings func(*routing.Settings)
	servers  func([]routing.Server) []routing.Server
	statuses bool    // outcomes tell the cache status
	sizes    bool    // requests tell their size
	loads    bool    // outcomes carry load reports
	rate     float64 // requests a second
	length   time.Duration
	updated  bool // other settings are taken halfway
}

func traceScenarios() []traceScenario {
	weights := func(weight float64) func([]routing.Server) []routing.Server {
		return func(list []routing.Server) []routing.Server {
			for i := range list {
				list[i].Weight = weight
			}
			return list
		}
	}
	// metered is a site without cache status, whose weights are capacities and whose responses tell their bytes.
	metered := func(routers int) func(*routing.Settings) {
		return func(s *routing.Settings) {
			s.WeightIsCapacity, s.BodyBytesPerSecond = true, 100_000
			s.RoutersByZone, s.Routers = []int{0, routers, 1}, routers+1
		}
	}
	return []traceScenario{
		{name: "notes", seed: 1, statuses: true, sizes: true, loads: true, rate: 120, length: 60 * time.Second, updated: true},
		{name: "notes-unsized", seed: 2, statuses: true, loads: true, rate: 60, length: 60 * time.Second},
		{name: "metered", seed: 3, settings: metered(1), servers: weights(6), rate: 60, length: 60 * time.Second, updated: true},
		{name: "metered-thin", seed: 4, settings: metered(8), servers: weights(6), rate: 25, length: 60 * time.Second},
		{name: "metered-thinnest", seed: 5, settings: metered(40), servers: weights(4), rate: 10, length: 60 * time.Second},
		{name: "untold", seed: 6, rate: 60, length: 60 * time.Second},
		{name: "hits-only", seed: 7, statuses: true, sizes: true, rate: 80, length: 60 * time.Second,
			settings: func(s *routing.Settings) { s.HitStatusOnly, s.CanCancel = true, false }},
		{name: "no-bypass", seed: 8, statuses: true, sizes: true, loads: true, rate: 80, length: 60 * time.Second,
			settings: func(s *routing.Settings) {
				s.AllowBypass, s.CanJoinFill, s.OriginStopsOnOverload, s.MustSubscribe = false, false, true, true
				s.RoutersByZone, s.MaxRetryAfter, s.MaxAttempts = nil, 0, 3
			}},
		{name: "no-parents", seed: 9, statuses: true, sizes: true, loads: true, rate: 80, length: 40 * time.Second,
			settings: func(s *routing.Settings) { s.ParentKind = -1 },
			servers: func(list []routing.Server) []routing.Server {
				return slices.DeleteFunc(list, func(s routing.Server) bool { return s.Kind == 1 })
			}},
		{name: "only-caches", seed: 10, rate: 50, length: 40 * time.Second,
			settings: func(s *routing.Settings) { s.ParentKind, s.OriginKind = -1, -1 },
			servers:  func(list []routing.Server) []routing.Server { return list[:4] }},
		{name: "pushed-origin", seed: 11, statuses: true, sizes: true, rate: 150, length: 30 * time.Second,
			settings: func(s *routing.Settings) { s.RoutersByZone, s.Routers = []int{0, 20, 1}, 21 }},
	}
}

func traceSettings() routing.Settings {
	ms, sec := time.Millisecond, time.Second
	return routing.Settings{
		Zones: 3, Zone: 1, Kinds: 3, ParentKind: 1, OriginKind: 2,
		RoutersByZone: []int{0, 1, 1}, Routers: 2, MaxAttempts: 6, MaxRetryAfter: 500 * ms,
		CanCancel: true, CanJoinFill: true, AllowBypass: true, TransferKBPerSecond: 1000,
		DrainGrace: 250 * ms, PurgeGrace: 300 * ms, PurgeRetention: 6 * sec,
		CacheSlowStart:  routing.SlowStart{InitialCapacity: 0.2, Duration: 10 * sec, OverloadFactor: 2, OverloadWindow: 2 * sec},
		ParentSlowStart: routing.SlowStart{InitialCapacity: 0.1, Duration: 20 * sec, OverloadFactor: 2, OverloadWindow: 2 * sec},
		Classes: []routing.Class{
			{Name: "big", Idempotency: routing.Idempotent, LatencyObjective: 600 * ms, ObjectiveTransferFactor: 2, Deadline: 6 * sec, PriorityWeight: 2},
			{Name: "small", Idempotency: routing.Idempotent, LatencyObjective: 250 * ms, ObjectiveTransferFactor: 2, Deadline: 3 * sec, PriorityWeight: 1, FreshnessLifetime: 8 * sec},
			{Name: "write", Idempotency: routing.IdempotentWithKey, LatencyObjective: 700 * ms, Deadline: 3 * sec, KeyWindow: 2 * sec, PriorityWeight: 3, Write: true},
			{Name: "once", Idempotency: routing.NonIdempotent, LatencyObjective: 700 * ms, Deadline: 3 * sec, PriorityWeight: 3, Write: true},
			{Name: "form", Idempotency: routing.IdempotentWithKey, KeyScope: routing.KeyScopeZone, LatencyObjective: 400 * ms, Deadline: 2 * sec, KeyWindow: sec, PriorityWeight: 4},
			{Name: "cell", Idempotency: routing.IdempotentWithKey, KeyScope: routing.KeyScopeCell, LatencyObjective: 400 * ms, Deadline: 2 * sec, KeyWindow: sec, PriorityWeight: 1},
		},
	}
}

// traceFleet lists four caches in the router's zone and one elsewhere, three parents and an origin.
func traceFleet() []routing.Server {
	return []routing.Server{
		{ID: 21, Zone: 2, Kind: 0, Phase: routing.Ready},
		{ID: 11, Zone: 1, Kind: 0, Cell: 1, Phase: routing.Ready}, {ID: 12, Zone: 1, Kind: 0, Cell: 1, Phase: routing.Ready},
		{ID: 13, Zone: 1, Kind: 0, Cell: 2, Phase: routing.Ready}, {ID: 14, Zone: 1, Kind: 0, Cell: 2, Phase: routing.Ready},
		{ID: 31, Kind: 1, Phase: routing.Ready}, {ID: 32, Kind: 1, Phase: routing.Ready}, {ID: 33, Kind: 1, Phase: routing.Ready},
		{ID: 41, Kind: 2, Phase: routing.Ready},
	}
}

// traceWriter keeps the start of a trace as lines and all of it as hashes.
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

// TestDecisionTrace pins every decision of the package: a simulated fleet with a fixed seed feeds
// a router requests, outcomes, timers, endpoint updates and purges, and each action that it returns
// is printed field by field. The first actions of a scenario are kept as lines, all of them as a
// running hash. A change of shape or names must leave the files as they are.
//
//	UPDATE_GOLDEN=1 go test ./routing -run Trace            writes testdata anew
//	DECISION_TRACE_DIR=/tmp/x go test ./routing -run Trace  writes all lines to that folder too
//
// The figures come from floating point arithmetic on amd64; a machine that fuses multiplication
// and addition may decide otherwise.
func TestDecisionTrace(t *testing.T) {
	for _, scenario := range traceScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			s := newSimulation(t, scenario)
			s.run()
			if dir := os.Getenv("DECISION_TRACE_DIR"); dir != "" {
				if err := os.WriteFile(filepath.Join(dir, scenario.name+".txt"), []byte(s.trace.all.String()), 0o666); err != nil {
					t.Fatal(err)
				}
			}
			golden.Compare(t, "decisions-"+scenario.name+".txt", []byte(s.trace.kept.String()))
		})
	}
}

// TestGuardTrace pins what a guard says of purges and of a stale watch stream.
func TestGuardTrace(t *testing.T) {
	second := time.Second
	guards := []routing.Guard{
		{},
		{Ready: map[routing.ServerID]bool{1: true}, PurgeRetention: 6 * second, PurgeGrace: 300 * time.Millisecond, PurgesSeen: true, LastEventAt: 100 * second,
			Purges: []routing.PurgeRecord{{Object: 7, At: 99 * second}, {Group: 4, At: 95 * second}, {Object: 7, Group: 3, At: 101 * second}}},
		{Ready: map[routing.ServerID]bool{1: true, 2: false}, PurgeRetention: 2 * second, PurgeGrace: second, LastEventAt: 10 * second,
			Purges: []routing.PurgeRecord{{At: 100 * second}}},
	}
	text := &strings.Builder{}
	for i := range guards {
		g := &guards[i]
		for id := range routing.ServerID(4) {
			fmt.Fprintf(text, "guard %d server=%d barred=%t\n", i, uint64(id), g.Excludes(id))
		}
		for _, now := range []time.Duration{99 * second, 100 * second, 101*second + 1, 101*second + 500*time.Millisecond + 1, 110 * second} {
			for object := range routing.ObjectID(9) {
				if object > 0 && object < 6 {
					continue
				}
				for group := -1; group < 6; group += 2 + group&1 {
					fmt.Fprintf(text, "guard %d now=%d object=%d group=%d age=%d of_5s=%d purged=%t\n", i, int64(now), uint64(object), group,
						int64(g.MaxAge(now, 0, object, group)), int64(g.MaxAge(now, 5*second, object, group)), g.MayBeStale(now, object, group))
				}
			}
		}
	}
	var none *routing.Guard
	fmt.Fprintf(text, "no guard barred=%t purged=%t\n", none.Excludes(1), none.MayBeStale(second, 1, 1))
	golden.Compare(t, "guard.txt", []byte(text.String()))
}
