package routing

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// playRandomStream feeds a legal stream of events made from a seed to one router, checks
// what one router's actions can tell of the rules, and returns the actions.
func playRandomStream(t *testing.T, seed uint64, step func(*Router, time.Duration, Event) []Action) []Action {
	rng := rand.New(rand.NewPCG(seed, 7))
	s := settings()
	f := newHarness(t, s, fleet())
	type sent struct {
		SendAttempt
		n int
	}
	var all []Action
	var out []sent
	tries, owed, gone := map[RequestID]int{}, map[RequestID]time.Duration{}, map[ServerID]bool{}
	live := map[RequestID]int{}
	handle := func(ev Event) {
		acts := step(f.router, f.now, ev)
		all = append(all, acts...)
		for _, a := range acts {
			switch a := a.(type) {
			case SendAttempt:
				if _, ok := owed[a.ID]; !ok {
					t.Fatalf("seed %d: sent for a finished request: %v", seed, a)
				}
				if gone[a.Server] || gone[a.FillSource] {
					t.Fatalf("seed %d: sent to a server that is gone: %v", seed, a)
				}
				if live[a.ID]++; live[a.ID] > 1 {
					t.Fatalf("seed %d: two attempts at once: %v", seed, a)
				}
				out = append(out, sent{a, tries[a.ID]})
				if tries[a.ID]++; tries[a.ID] > s.MaxAttempts {
					t.Fatalf("seed %d: too many attempts: %v", seed, a)
				}
			case Reject:
				if _, ok := owed[a.ID]; !ok {
					t.Fatalf("seed %d: second answer: %v", seed, a)
				}
				delete(owed, a.ID)
			case Fail:
				if _, ok := owed[a.ID]; !ok {
					t.Fatalf("seed %d: second answer: %v", seed, a)
				}
				delete(owed, a.ID)
			}
		}
	}
	type timer struct {
		at  time.Duration
		tok uint64
	}
	var timers []timer
	run := handle
	handle = func(ev Event) {
		before := len(all)
		run(ev)
		for _, a := range all[before:] {
			if w, ok := a.(SetTimer); ok {
				timers = append(timers, timer{f.now + w.Delay, w.Token})
			}
		}
	}
	finish := func(i int, res Result) {
		a := out[i]
		out = slices.Delete(out, i, i+1)
		live[a.ID]--
		_, open := owed[a.ID]
		if res == Served {
			delete(owed, a.ID)
		}
		handle(Outcome{ID: a.ID, Attempt: a.n, Server: a.Server, Result: res, CacheStatus: CacheStatus(rng.IntN(11)),
			Duration: time.Duration(rng.IntN(900)) * ms, RequestDone: res == Served || !open,
			Load: LoadReport{LinkUtilization: rng.Float64() * 4}})
	}
	for i := range 3000 {
		f.now += time.Duration(rng.IntN(20)) * ms
		for j := 0; j < len(timers); {
			if timers[j].at > f.now {
				j++
				continue
			}
			tok := timers[j].tok
			timers = slices.Delete(timers, j, j+1)
			handle(TimerFired{tok})
		}
		for j := 0; j < len(out); {
			if out[j].Deadline <= f.now {
				finish(j, TimedOut)
				continue
			}
			j++
		}
		for id := RequestID(1); id < RequestID(i+1); id++ {
			if by, ok := owed[id]; ok && by+8*ms+20*ms < f.now {
				t.Fatalf("seed %d: request %d is overdue", seed, id)
			}
		}
		switch x := rng.IntN(100); {
		case x < 45:
			id, class := RequestID(i+1), rng.IntN(4)
			left := time.Duration(1+rng.Int64N(int64(s.Classes[class].Deadline/ms))) * ms
			owed[id] = f.now + left
			handle(Request{ID: id, Class: class, Object: ObjectID(1 + rng.IntN(50)), PurgeGroup: rng.IntN(4),
				Timeout: left, SizeKB: float64(rng.IntN(800))})
		case x < 92:
			if len(out) > 0 {
				finish(rng.IntN(len(out)), Result(min(rng.IntN(16), int(NotCached))*rng.IntN(2)))
			}
		case x < 95:
			e := fleet()[rng.IntN(7)]
			e.Phase = Phase(rng.IntN(3))
			e.StartedAt = f.now - time.Duration(rng.IntN(5000))*ms
			gone[e.ID] = e.Phase != Ready
			handle(EndpointUpdate{Servers: []Server{e}})
		case x < 98:
			handle(Purge{Object: ObjectID(rng.IntN(50)), Group: rng.IntN(4), Age: time.Duration(rng.IntN(400)) * ms})
		default:
			id := RequestID(1 + rng.IntN(i+1))
			if _, ok := owed[id]; ok {
				delete(owed, id)
				handle(ClientDisconnected{id})
			}
		}
	}
	return all
}

func handleEvent(r *Router, now time.Duration, ev Event) []Action { return r.Handle(now, ev, nil) }

func TestRandomStreamsKeepTheRules(t *testing.T) {
	for seed := range uint64(30) {
		playRandomStream(t, seed, handleEvent)
	}
}

// The same events give the same actions, also beside another busy instance.
func TestReplay(t *testing.T) {
	want := playRandomStream(t, 3, handleEvent)
	other := newHarness(t, settings(), fleet())
	got := playRandomStream(t, 3, func(r *Router, now time.Duration, ev Event) []Action {
		other.request(Request{Object: ObjectID(now), SizeKB: 5})
		return r.Handle(now, ev, nil)
	})
	if !reflect.DeepEqual(want, got) {
		t.Error("a replay gave other actions")
	}
}
