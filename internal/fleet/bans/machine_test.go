package bans

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// simulatedRouter has the parts of a router that bans affect: its disabled servers and its gossip
// store.
type simulatedRouter struct {
	machine     *Machine
	disabled    map[routing.ServerID]bool
	gossip      *gossip.Store
	partitioned bool // the router reaches neither the registry nor the other routers
	changes     map[uint64]Change
}

// simulation simulates routers, operators, and a registry without replication.
type simulation struct {
	rng         *rand.Rand
	now         float64
	loss        float64 // share of lost requests, and of lost responses
	registry    *leaseregistry.State
	index       uint64 // log index of the registry's latest command
	routers     []*simulatedRouter
	lastChange  map[routing.ServerID]string // latest change of an operator that was applied to each server
	enableCount int
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), registry: leaseregistry.New(), lastChange: map[routing.ServerID]string{}}
	for i := range 3 {
		sim.routers = append(sim.routers, &simulatedRouter{
			machine:  NewMachine(DefaultSettings(), uint64(i)<<40, nil, 0),
			disabled: map[routing.ServerID]bool{},
			gossip:   gossip.New(gossip.DefaultSettings(), membership.ID(i+1), 1),
			changes:  map[uint64]Change{},
		})
	}
	return sim
}

func (r *simulatedRouter) disabledHere() []routing.ServerID {
	return slices.Sorted(maps.Keys(r.disabled))
}

func (r *simulatedRouter) setDisabled(server routing.ServerID, disable bool) {
	if disable {
		r.disabled[server] = true
	} else {
		delete(r.disabled, server)
	}
}

// applyGossip takes the changes that other routers published and disables or enables the router's
// servers, as the watcher of the endpoint list does.
func (r *simulatedRouter) applyGossip() {
	for _, change := range r.gossip.TakeChanges() {
		r.setDisabled(change.Server, change.Disabled)
	}
}

func (s *simulation) setDisabled(router *simulatedRouter, server routing.ServerID, disable, publish bool) {
	router.setDisabled(server, disable)
	if publish {
		router.gossip.SetDisabled(s.now, server, disable)
	}
	router.applyGossip()
}

// handleOutput carries out an output as a Manager does.
func (s *simulation) handleOutput(router *simulatedRouter, out Output) {
	for _, action := range out.Actions {
		s.setDisabled(router, action.Server, action.Disable, !action.Disable)
	}
	for _, completion := range out.Completions {
		change := router.changes[completion.ChangeID]
		if completion.Err == nil {
			s.setDisabled(router, change.Server, false, true)
			s.enableCount++
		}
	}
	for _, request := range out.Requests {
		if router.partitioned || s.rng.Float64() < s.loss {
			continue
		}
		response := s.respond(request)
		if s.rng.Float64() >= s.loss {
			s.handleOutput(router, router.machine.HandleResponse(s.now, response))
		}
	}
}

// respond returns the voters' response to a request.
func (s *simulation) respond(request Request) consensus.BanResponse {
	response := consensus.BanResponse{RequestID: request.ID}
	if request.Set != nil {
		s.index++
		command, _ := leaseregistry.DecodeCommand(request.Set.Append(nil))
		if err := s.registry.Apply(s.index, command); err != nil {
			response.Rejection = err.Error()
		} else if !command.Disabled {
			s.lastChange[command.Server] = "enabled"
		}
	}
	response.Version = s.registry.BanVersion()
	if response.Version != request.KnownVersion {
		response.Bans = s.registry.BansSnapshot()
	}
	return response
}

func (s *simulation) run(ms float64) {
	for end := s.now + ms; s.now < end; s.now += 20 {
		for _, router := range s.routers {
			s.handleOutput(router, router.machine.Step(s.now, router.disabledHere()))
			peer := s.routers[s.rng.IntN(len(s.routers))]
			if router == peer || router.partitioned || peer.partitioned || s.rng.Float64() < max(0.7, s.loss) {
				continue
			}
			for bucket := range membership.BucketCount {
				router.gossip.ForEach(bucket, func(item []byte) bool {
					peer.gossip.Receive(s.now, 0, item)
					return true
				})
			}
			peer.applyGossip()
		}
	}
}

// randomEvent simulates one random event: an operator's change, a partition or its end, the restart
// of a router, or a change of the message loss.
func (s *simulation) randomEvent() {
	router := s.routers[s.rng.IntN(3)]
	server := routing.ServerID(s.rng.IntN(2) + 1)
	switch s.rng.IntN(6) {
	case 0, 1:
		s.setDisabled(router, server, true, true)
		router.machine.RecordDisabled(s.now, Change{Server: server, Disable: true, SetBy: "x"})
		s.lastChange[server] = "disabled"
	case 2:
		change := Change{Server: server}
		router.changes[router.machine.RequestEnable(s.now, change)] = change
	case 3:
		router.partitioned = !router.partitioned
	case 4:
		router.machine = NewMachine(DefaultSettings(), s.rng.Uint64()>>1, maps.Clone(router.machine.LocalBans()), s.now)
		router.changes = map[uint64]Change{}
	case 5:
		s.loss = s.rng.Float64() * 0.4
	}
}

// Operators disable and enable servers at any router, while routers are partitioned, restart, and
// lose requests and responses. After these events end, every router has disabled exactly the
// servers that the registry has disabled, and a server whose latest change was a disable is
// disabled.
func TestRandomOperatorChanges(t *testing.T) {
	enableCount := 0
	for seed := range uint64(100) {
		sim := newSimulation(seed)
		for range 30 {
			sim.randomEvent()
			sim.run(sim.rng.Float64() * 900)
		}
		sim.loss = 0
		for _, router := range sim.routers {
			router.partitioned = false
		}
		sim.run(15_000)
		enableCount += sim.enableCount
		for server := routing.ServerID(1); server <= 2; server++ {
			ban := sim.registry.Bans[server]
			registered := ban != nil && ban.Disabled
			for i, router := range sim.routers {
				disabled := router.disabled[server]
				if disabled != registered || sim.lastChange[server] == "disabled" && !disabled {
					t.Errorf("seed %d: server %d: got disabled %v at router %d, want the state of the registered ban %+v and of the latest operator's change %q",
						seed, server, disabled, i, ban, sim.lastChange[server])
				}
			}
		}
	}
	if enableCount < 100 {
		t.Errorf("got %d enables in all simulations, want at least 100", enableCount)
	}
}

// enable simulates an operator's enable at a router until the change completes, and returns its
// result.
func (s *simulation) enable(router *simulatedRouter, change Change, partitioned bool) error {
	router.partitioned = partitioned
	changeID := router.machine.RequestEnable(s.now, change)
	for range 100 {
		s.now += 20
		out := router.machine.Step(s.now, router.disabledHere())
		for _, request := range out.Requests {
			if partitioned {
				continue
			}
			s.index++
			response := consensus.BanResponse{RequestID: request.ID}
			if request.Set != nil && s.registry.Apply(s.index, request.Set) != nil {
				response.Rejection = "no"
			}
			response.Version = s.registry.BanVersion()
			response.Bans = s.registry.BansSnapshot()
			out.Completions = append(out.Completions, router.machine.HandleResponse(s.now, response).Completions...)
		}
		for _, completion := range out.Completions {
			if completion.ChangeID == changeID {
				return completion.Err
			}
		}
	}
	return errors.New("the change did not complete")
}

// A change whose version differs from the version in the registry fails with ErrVersionConflict. A
// change without a response fails with ErrNoQuorum, and the server stays disabled.
func TestVersionConflictAndNoQuorum(t *testing.T) {
	const server = routing.ServerID(7)
	sim := newSimulation(1)
	router, other := sim.routers[0], sim.routers[2]
	sim.setDisabled(router, server, true, true)
	router.machine.RecordDisabled(0, Change{Server: server, Disable: true, SetBy: "ada", Reason: "disk"})
	sim.run(1000)
	bans := other.machine.Bans()
	if len(bans) != 1 || !bans[0].Disabled || bans[0].SetBy != "ada" || bans[0].Reason != "disk" || !other.disabled[server] {
		t.Fatalf("after a ban by ada: another router has registered bans %+v, want one with the reason disk, applied at that router", bans)
	}
	if err := sim.enable(router, Change{Server: server, Version: 99}, false); !errors.Is(err, ErrVersionConflict) {
		t.Error(err)
	}
	if err := sim.enable(router, Change{Server: server}, true); !errors.Is(err, ErrNoQuorum) || !sim.registry.Bans[server].Disabled {
		t.Error(err)
	}
	current := sim.registry.Bans[server].Version
	if err := sim.enable(router, Change{Server: server, Version: current}, false); err != nil || sim.registry.Bans[server].Disabled {
		t.Error(err)
	}
}
