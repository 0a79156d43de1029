package bans

import (
	"testing"

	"garnetline/internal/fleet/consensus"
	"garnetline/routing"
)

// delayedResponse is a response that has not arrived yet.
type delayedResponse struct {
	consensus.BanResponse
	arrivesAt float64
}

// slowRegistry is a simulation of one router whose registry carries out each request at once, and whose
// responses arrive later.
type slowRegistry struct {
	*simulation
	delay      float64 // ms
	inFlight   []delayedResponse
	completed  []Completion
	setsOfBans int // requests that set a ban
}

func newSlowRegistry(delay float64) *slowRegistry {
	return &slowRegistry{simulation: newSimulation(1), delay: delay}
}

// runSlow advances the simulation until the time end.
func (s *slowRegistry) runSlow(end float64) {
	router := s.routers[0]
	for ; s.now < end; s.now += 10 {
		s.collect(router.machine.Step(s.now, router.disabledHere()))
		for len(s.inFlight) > 0 && s.inFlight[0].arrivesAt <= s.now {
			response := s.inFlight[0].BanResponse
			s.inFlight = s.inFlight[1:]
			s.collect(router.machine.HandleResponse(s.now, response))
		}
	}
}

func (s *slowRegistry) collect(out Output) {
	s.completed = append(s.completed, out.Completions...)
	for _, request := range out.Requests {
		if request.Set != nil {
			s.setsOfBans++
		}
		s.inFlight = append(s.inFlight, delayedResponse{s.respond(request), s.now + s.delay})
	}
}

// TestSlowRegistryIsHeard guards against responses that are ignored because the request was repeated before
// they arrived: an enable failed although the registry had carried it out, and a ban was registered again and
// again, each time as another version.
func TestSlowRegistryIsHeard(t *testing.T) {
	const server = routing.ServerID(7)
	delays := []float64{0, 140, 160, 300, 450, 690}
	for i := range 2 * len(delays) {
		delay, operatorReadVersion := delays[i/2], i%2 == 1
		registry := newSlowRegistry(delay)
		router := registry.routers[0]
		registry.runSlow(2000) // the registry has been read
		router.setDisabled(server, true)
		router.machine.RecordDisabled(registry.now, Change{Server: server, Disable: true, SetBy: "ada"})
		registry.runSlow(10_000)
		ban := registry.registry.Bans[server]
		if ban == nil || !ban.Disabled || router.machine.LocalBans()[server].Unregistered {
			t.Errorf("delay %.0f ms: got registered ban %+v and local ban %+v, want a registered one", delay, ban, router.machine.LocalBans()[server])
		}
		if most := 2 + int(delay/DefaultSettings().RetryInterval); registry.setsOfBans > most {
			t.Errorf("delay %.0f ms: got %d registrations, want at most %d", delay, registry.setsOfBans, most)
		}
		change := Change{Server: server}
		if operatorReadVersion {
			change.Version = ban.Version
		}
		changeID := router.machine.RequestEnable(registry.now, change)
		registry.runSlow(registry.now + 2000)
		if len(registry.completed) != 1 || registry.completed[0] != (Completion{ChangeID: changeID}) {
			t.Errorf("delay %.0f ms, version %d: got completions %+v, want change %d without an error", delay, change.Version, registry.completed, changeID)
		}
		if registry.registry.Bans[server].Disabled {
			t.Errorf("delay %.0f ms, version %d: the server is still disabled in the registry", delay, change.Version)
		}
	}
}
