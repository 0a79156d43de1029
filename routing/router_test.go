package routing

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// TestInvalidSettingIsNamed checks that the error for an invalid setting names the setting.
func TestInvalidSettingIsNamed(t *testing.T) {
	tests := []struct {
		setting string
		modify  func(*Settings)
	}{
		{setting: "Classes", modify: func(s *Settings) { s.Classes = nil }},
		{setting: "Zone", modify: func(s *Settings) { s.Zone = 3 }},
		{setting: "ParentKind", modify: func(s *Settings) { s.ParentKind = 3 }},
		{setting: "OriginKind", modify: func(s *Settings) { s.OriginKind = -2 }},
		{setting: "RoutersByZone", modify: func(s *Settings) { s.RoutersByZone = []int{1} }},
		{setting: "MaxAttempts", modify: func(s *Settings) { s.MaxAttempts = 0 }},
		{setting: "Deadline", modify: func(s *Settings) { s.Classes[1].Deadline = 0 }},
	}
	for _, test := range tests {
		t.Run(test.setting, func(t *testing.T) {
			config := settings()
			test.modify(&config)
			_, err := New(config, 1)
			if err == nil || !strings.Contains(err.Error(), test.setting) {
				t.Errorf("got error %v, want one that names %s", err, test.setting)
			}
			var invalid *SettingError
			if !errors.As(err, &invalid) || !strings.Contains(invalid.Setting, test.setting) {
				t.Errorf("got error %v, want a *SettingError for %s", err, test.setting)
			}
		})
	}
}

// TestEveryRequestIsAnswered checks that every request gets a final answer, even if some kinds of servers
// are missing and all attempts time out.
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

// timeOutUntilAnswered sends a request whose attempts all time out, and fails the test if the request
// gets no final answer.
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
			h.Fatalf("got actions %v, want one attempt or an answer", actions)
		}
		h.now = attempts[0].Deadline
		actions = h.finish(attempts[0], index, TimedOut, CacheStatusUnknown)
	}
	if !isRejected(actions) && !isFailed(actions) {
		h.Fatalf("got no answer after %d attempts; actions %v", mostAttempts, actions)
	}
}

// TestUnknownClassIsRejected checks that a request of a class that the settings do not list is rejected.
func TestUnknownClassIsRejected(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	if actions := harness.handle(Request{ID: 9, Class: 99, Timeout: second}); !isRejected(actions) {
		t.Errorf("got actions %v, want a rejection", actions)
	}
}

// TestUnknownEventsAreIgnored checks that late events and events of unknown requests cause no actions.
func TestUnknownEventsAreIgnored(t *testing.T) {
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
				t.Errorf("%+v: got actions %v, want none", event, actions)
			}
		})
	}
}

// TestRemovedServersExpire checks that the number of server records stays bounded while servers are
// continually added and removed.
func TestRemovedServersExpire(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	for i := range 500 {
		temporary := Server{ID: ServerID(1000 + i), Zone: 1, Kind: cacheKind, Phase: Ready, StartedAt: harness.now}
		elsewhere := Server{ID: ServerID(90000 + i), Zone: 2, Kind: cacheKind, Phase: Ready}
		harness.handle(EndpointUpdate{Servers: []Server{temporary, elsewhere}})
		harness.finish(harness.requestOne(Request{Object: ObjectID(i + 1), SizeKB: 1}), 0, Served, Hit)
		harness.now += second
		temporary.Phase = Removed
		harness.handle(EndpointUpdate{Servers: []Server{temporary}})
	}
	got := len(harness.router.servers)
	if most := int(serverRetention/second) + 10; got > most {
		t.Errorf("got %d server records, want at most %d", got, most)
	}
}

// benchmarkFleet returns five caches in each zone, one parent for every four zones, and an origin.
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

// BenchmarkHandle measures the handling of a request and its outcome in a small and in a large fleet.
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
