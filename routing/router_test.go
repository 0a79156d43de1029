package routing

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestUnusableSettingIsNamed(t *testing.T) {
	tests := []struct {
		setting string
		spoil   func(*Settings)
	}{
		{setting: "Classes", spoil: func(s *Settings) { s.Classes = nil }},
		{setting: "Zone", spoil: func(s *Settings) { s.Zone = 3 }},
		{setting: "ParentKind", spoil: func(s *Settings) { s.ParentKind = 3 }},
		{setting: "OriginKind", spoil: func(s *Settings) { s.OriginKind = -2 }},
		{setting: "RoutersByZone", spoil: func(s *Settings) { s.RoutersByZone = []int{1} }},
		{setting: "MaxAttempts", spoil: func(s *Settings) { s.MaxAttempts = 0 }},
		{setting: "Deadline", spoil: func(s *Settings) { s.Classes[1].Deadline = 0 }},
	}
	for _, test := range tests {
		t.Run(test.setting, func(t *testing.T) {
			config := settings()
			test.spoil(&config)
			_, err := New(config, 1)
			if err == nil || !strings.Contains(err.Error(), test.setting) {
				t.Errorf("error %v, want one that names %s", err, test.setting)
			}
			var unusable *SettingError
			if !errors.As(err, &unusable) || !strings.Contains(unusable.Setting, test.setting) {
				t.Errorf("error %v, want a SettingError of %s", err, test.setting)
			}
		})
	}
}

// Every request has one final answer, in time, whatever is listed or lost.
func TestEveryRequestIsAnswered(t *testing.T) {
	tests := []struct {
		name    string
		servers []Server
	}{
		{name: "no server", servers: nil},
		{name: "no cache", servers: fleet()[3:]},
		{name: "no parent", servers: slices.Concat(fleet()[:4], fleet()[6:])},
		{name: "no origin", servers: fleet()[:6]},
		{name: "only caches", servers: fleet()[:3]},
	}
	for _, test := range tests {
		for class, described := range settings().Classes {
			t.Run(test.name+"/"+described.Name, func(t *testing.T) {
				harness := newHarness(t, settings(), test.servers)
				harness.timeOutUntilAnswered(Request{Class: class, Object: 1, SizeKB: 10})
			})
		}
	}
}

// timeOutUntilAnswered sends a request whose attempts all time out, and fails the test unless it gets
// a final answer.
func (h *harness) timeOutUntilAnswered(request Request) {
	h.Helper()
	const mostAttempts = 9
	actions := h.request(request)
	for index := range mostAttempts {
		if isRejected(actions) || isFailed(actions) {
			return
		}
		attempts := sendActions(actions)
		if len(attempts) != 1 {
			h.Fatalf("actions %v, want one attempt or an answer", actions)
		}
		h.now = attempts[0].Deadline
		actions = h.finish(attempts[0], index, TimedOut, CacheStatusUnknown)
	}
	if !isRejected(actions) && !isFailed(actions) {
		h.Fatalf("no answer after %d attempts: %v", mostAttempts, actions)
	}
}

// A request of a class that was never announced is rejected.
func TestUnknownClassIsRejected(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	if actions := harness.handle(Request{ID: 9, Class: 99, Timeout: second}); !isRejected(actions) {
		t.Errorf("actions %v, want a rejection", actions)
	}
}

// Late events, and those of others, change nothing.
func TestUnknownEventsChangeNothing(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	sent := harness.requestOne(Request{Object: 1, SizeKB: 10})
	harness.finish(sent, 0, Served, Hit)
	events := []Event{
		Outcome{ID: sent.ID, Server: sent.Server},
		Outcome{ID: 77},
		Outcome{ID: sent.ID, Attempt: 9},
		TimerFired{Token: uint64(sent.ID)<<timerKindBits | timerCheckAttempt},
		TimerFired{Token: 1 << 62},
		ClientDisconnected{ID: sent.ID},
		ClientDisconnected{ID: 77},
		Purge{Object: 3, Age: 1 << 60},
		EndpointUpdate{},
	}
	for _, event := range events {
		t.Run(fmt.Sprintf("%T", event), func(t *testing.T) {
			if actions := harness.handle(event); len(actions) != 0 {
				t.Errorf("%+v: actions %v, want none", event, actions)
			}
		})
	}
}

// Servers come and go all the time; what is kept of them does not grow.
func TestRemovedServersExpire(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	for i := range 500 {
		guest := Server{ID: ServerID(1000 + i), Zone: 1, Kind: cacheKind, Phase: Ready, StartedAt: harness.now}
		elsewhere := Server{ID: ServerID(90000 + i), Zone: 2, Kind: cacheKind, Phase: Ready}
		harness.handle(EndpointUpdate{Servers: []Server{guest, elsewhere}})
		harness.finish(harness.requestOne(Request{Object: ObjectID(i + 1), SizeKB: 1}), 0, Served, Hit)
		harness.now += second
		guest.Phase = Removed
		harness.handle(EndpointUpdate{Servers: []Server{guest}})
	}
	got := len(harness.router.servers)
	if most := int(serverRetention/second) + 10; got > most {
		t.Errorf("%d servers kept, want at most %d", got, most)
	}
}

// benchmarkFleet lists zones of five caches, a parent for every four of them, and an origin.
func benchmarkFleet(zones int) []Server {
	list := []Server{{ID: 1, Kind: originKind, Phase: Ready}}
	for zone := range zones {
		for i := range 5 {
			id := ServerID(100 + 10*zone + i)
			list = append(list, Server{ID: id, Zone: zone, Kind: cacheKind, Phase: Ready})
		}
		if zone%4 == 0 {
			list = append(list, Server{ID: ServerID(10 + zone), Kind: parentKind, Phase: Ready})
		}
	}
	return list
}

// BenchmarkHandle shows what a request with its outcome costs in a small and in a large fleet.
func BenchmarkHandle(b *testing.B) {
	for name, zones := range map[string]int{"small": 4, "large": 40} {
		b.Run(name, func(b *testing.B) {
			router, err := New(settings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			var actions []Action
			now := 1000 * second
			router.Handle(now, EndpointUpdate{Snapshot: true, Servers: benchmarkFleet(zones)}, nil)
			b.ReportAllocs()
			for i := range b.N {
				now += 10 * millisecond
				id := RequestID(i + 1)
				request := Request{ID: id, Object: ObjectID(i % 1000), Timeout: second, SizeKB: 10}
				actions = router.Handle(now, request, actions[:0])
				served := Outcome{
					ID: id, Result: Served, CacheStatus: Hit,
					Duration: 10 * millisecond, RequestDone: true,
				}
				router.Handle(now, served, actions[:0])
			}
		})
	}
}
