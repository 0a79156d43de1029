package recoveryprobe

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// server is the ID of the server that fails and recovers in these tests.
const server = routing.ServerID(7)

// zone simulates the routers of one zone and one server. Each router ejects the server for the same
// times as the routing module does if there is no lease: the first ejection takes 500 ms, and each
// further one twice as long, up to 4 s. A router sends one request after each ejection.
type zone struct {
	rng          *rand.Rand
	now          float64 // ms
	messageLoss  float64 // share of lost messages
	serverUp     bool
	routers      []*zoneRouter
	holder       int // index of the lease holder; -1: none
	fencingToken uint64
	probes       []float64 // times of requests to the running server from routers that had ejected the server
	withLease    bool
}

type zoneRouter struct {
	machine      *Machine
	id           membership.ID
	failures     int // consecutive failures; above 0: this router has the server ejected
	ejectedUntil float64
	lastSuccess  float64
	unreachable  bool // this router cannot reach the server
	peers        []membership.ID
}

func newZone(seed uint64, routers int, withLease bool) *zone {
	z := &zone{rng: rand.New(rand.NewPCG(seed, 1)), serverUp: true, holder: 0, fencingToken: 1, withLease: withLease}
	for i := range routers {
		id := membership.ID(i + 1)
		z.routers = append(z.routers, &zoneRouter{machine: NewMachine(DefaultSettings(), id), id: id})
	}
	for _, router := range z.routers {
		for _, other := range z.routers {
			if other != router {
				router.peers = append(router.peers, other.id)
			}
		}
	}
	return z
}

// run simulates the given duration, in ms, in steps of 10 ms. Each router has a request every 50 ms.
func (z *zone) run(duration float64) {
	for end := z.now + duration; z.now < end; z.now += 10 {
		for i, router := range z.routers {
			if int(z.now/10)%5 == i%5 && z.now >= router.ejectedUntil {
				z.request(router)
			}
			if z.withLease && int(z.now)%50 == 0 {
				z.step(router, i == z.holder)
			}
		}
	}
}

// request simulates a request of a router to the server.
func (z *zone) request(router *zoneRouter) {
	if !z.serverUp || router.unreachable {
		router.ejectedUntil = z.now + min(500*float64(int(1)<<min(router.failures, 8)), 4000)
		router.failures++
		return
	}
	if router.failures > 0 {
		z.probes = append(z.probes, z.now)
	}
	router.failures = 0
	router.lastSuccess = z.now
}

// step simulates a step of a router's Coordinator and routing module.
func (z *zone) step(router *zoneRouter, isHolder bool) {
	input := Input{HolderCandidates: []membership.ID{z.routers[0].id, z.routers[1].id}, ZonePeers: router.peers}
	if router.failures > 0 {
		input.Ejected = []routing.ServerID{server}
	}
	if isHolder {
		input.FencingToken = z.fencingToken
	}
	out := router.machine.Step(z.now, input)
	if extension := out.EjectionExtensions[server]; extension > 0 && router.failures > 0 {
		router.ejectedUntil = max(router.ejectedUntil, z.now+min(extension, 5000))
	}
	if slices.Contains(out.Probes, server) && router.failures == 0 && z.now > router.lastSuccess+500 {
		router.failures = 1
		router.ejectedUntil = z.now
	}
	for to, message := range out.Messages {
		if z.rng.Float64() >= z.messageLoss {
			received, _ := Decode(message.Append(nil))
			z.routers[to-1].machine.HandleMessage(z.now, router.id, received)
		}
	}
}

// ejectedCount counts the routers that have the server ejected.
func (z *zone) ejectedCount() int {
	count := 0
	for _, router := range z.routers {
		if router.failures > 0 {
			count++
		}
	}
	return count
}

// failAndRecover makes the server fail for 10 s. It returns the number of probes that the recovered
// server receives within 1 s of the first probe. It also returns the time from the recovery until no
// router has the server ejected, in ms.
func (z *zone) failAndRecover() (probesInFirstSecond int, recoveryTime float64) {
	z.run(1000)
	z.serverUp = false
	z.run(10_000)
	z.serverUp = true
	z.probes = nil
	recoveredAt := z.now
	for z.ejectedCount() > 0 && z.now < recoveredAt+60_000 {
		z.run(50)
	}
	for _, at := range z.probes {
		if at < z.probes[0]+1000 {
			probesInFirstSecond++
		}
	}
	return probesInFirstSecond, z.now - recoveredAt
}

// A server that recovers receives one probe first. Then the other routers return to the server at
// the return rate, even if messages are lost. Without a lease, all routers return as soon as their
// ejection times end.
func TestRoutersReturnGradually(t *testing.T) {
	returnRate := DefaultSettings().ReturnRate
	for _, routers := range []int{3, 30, 300} {
		withLease, recoveryTime := newZone(1, routers, true).failAndRecover()
		withoutLease, recoveryTimeWithout := newZone(1, routers, false).failAndRecover()
		t.Logf("%d routers: %d probes in the first second, all routers returned after %.1f s; without a lease %d probes, %.1f s",
			routers, withLease, recoveryTime/1000, withoutLease, recoveryTimeWithout/1000)
		bound := 1 + int(returnRate)
		if withLease > bound || routers >= 300 && withoutLease < 2*bound {
			t.Errorf("%d routers: got %d probes in the first second with a lease and %d without, want at most %d with a lease (from 300 routers on, at least twice as many without)", routers, withLease, withoutLease, bound)
		}
		if recoveryTime > 1000*(float64(routers)/returnRate+5) {
			t.Errorf("%d routers: all routers returned only after %.0f ms, want at most 5 s more than the return rate requires", routers, recoveryTime)
		}
		lossy := newZone(2, routers, true)
		lossy.messageLoss = 0.2
		probes, recoveryTime := lossy.failAndRecover()
		if probes > 1+int(returnRate)+routers/20 || recoveryTime > 1000*(float64(routers)/returnRate+6) {
			t.Errorf("%d routers, 20%% message loss: got %d probes in the first second, and all routers returned after %.0f ms; too many probes, or more than 6 s later than the return rate requires", routers, probes, recoveryTime)
		}
	}
}

// No router waits for a lease holder that is gone or unresponsive. A router that cannot reach the
// server does not delay the return of the other routers.
func TestProbesWithoutHolder(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   func(z *zone)
		ejected int
	}{
		{"the holder is gone", func(z *zone) { z.holder = -1 }, 0},
		{"no messages arrive", func(z *zone) { z.messageLoss = 1 }, 0},
		{"another router holds the lease", func(z *zone) { z.holder, z.fencingToken = 5, 2 }, 0},
		{"one router cannot reach the server", func(z *zone) { z.routers[5].unreachable = true }, 1},
	} {
		z := newZone(3, 10, true)
		z.run(1000)
		z.serverUp = false
		z.run(5000)
		test.fault(z)
		z.serverUp = true
		z.run(12_000)
		if count := z.ejectedCount(); count != test.ejected {
			t.Errorf("%s: got %d routers that have the server ejected, want %d", test.name, count, test.ejected)
		}
	}
}

// If only one router cannot reach a server, all other routers keep using the server.
func TestUnreachableFromOneRouter(t *testing.T) {
	z := newZone(4, 10, true)
	z.routers[5].unreachable = true
	z.run(20_000)
	if count := z.ejectedCount(); count != 1 {
		t.Errorf("got %d routers that have the server ejected, want 1", count)
	}
}

// The routers find a lease holder that is not among the candidates, to which they send their
// reports while the holder is unknown.
func TestHolderOutsideCandidates(t *testing.T) {
	z := newZone(5, 30, true)
	z.holder = 17
	probes, recoveryTime := z.failAndRecover()
	if recoveryTime < 10*1000/DefaultSettings().ReturnRate || z.routers[3].machine.holder != 18 {
		t.Errorf("holder not found, or routers returned too early: got %d probes in the first second, and all routers returned after %.0f ms", probes, recoveryTime)
	}
}

// A message is rejected if its fencing token is older than the latest token.
func TestOlderTokenIsRejected(t *testing.T) {
	machine := NewMachine(DefaultSettings(), 1)
	if !machine.HandleMessage(0, 2, Message{FencingToken: 9}) || machine.HandleMessage(0, 3, Message{FencingToken: 8}) {
		t.Error("first message rejected, or message with an older fencing token accepted")
	}
}

func FuzzDecode(f *testing.F) {
	sent := Message{FencingToken: 3, Servers: []ServerStatus{{Server: 0, Age: 20, Recovered: true}, {Server: 9, Age: 1}}}
	f.Add(sent.Append(nil))
	if got, ok := Decode(sent.Append(nil)); !ok || !reflect.DeepEqual(got, sent) {
		f.Fatalf("got %+v after decoding, want the message that was encoded", got)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		if message, ok := Decode(encoded); ok && len(message.Servers) > MaxServers {
			t.Fatal(len(message.Servers))
		}
	})
}
