//go:build amd64

// The test runs on amd64 only. On other architectures, fused multiply-add changes the last bits of
// some times, and thereby the hash.

package fleet_test

import (
	"bytes"
	"fmt"
	"hash"
	"hash/fnv"
	"testing"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/golden"
	"garnetline/internal/netsim"
)

// simulation is a fleet on a simulated network with a hash over all its packets and outputs.
type simulation struct {
	net     *netsim.Network
	hash    hash.Hash64
	packets int
	report  bytes.Buffer
}

func newSimulation(routers int) *simulation {
	s := &simulation{net: netsim.New(7), hash: fnv.New64a()}
	s.net.OnSend = func(sent netsim.Datagram) {
		s.packets++
		s.record("%v %v ", s.net.Now, sent.To)
		s.record("%s", sent.Packet.Append(nil))
	}
	s.net.StartFleet(routers, fleet.DefaultSettings(), netsim.AllProtocols)
	for _, host := range s.net.Hosts {
		host.OnStep = s.recordOutput
	}
	return s
}

func (s *simulation) record(format string, args ...any) {
	_, _ = fmt.Fprintf(s.hash, format, args...) // a hash returns no error
}

func (s *simulation) recordOutput(host *netsim.Host, now float64, out *fleet.Output) {
	for _, event := range out.Events {
		s.record("%v %s %s %x %s ", now, host.Name, event.Kind, event.Update.Revision, event.Update.Name)
	}
	for _, change := range out.Changes {
		s.record("%v %s %d %d %v ", now, host.Name, change.Kind, change.Server, change.Disabled)
	}
	s.record("%v %v %d ", out.Connectivity.State, out.Connectivity.Since, out.Connectivity.Known)
}

// do runs an action on the node of one router at the current time.
func (s *simulation) do(i int, action func(node *fleet.Node, now float64)) {
	host := s.net.Hosts[i]
	s.net.Step(host, func() { action(host.Machine.(*fleet.Node), s.net.Now) })
}

// run runs the fleet for the given duration, in ms. It adds the packet count and the hash so far to
// the report.
func (s *simulation) run(phase string, duration float64) {
	s.net.Run(s.net.Now + duration)
	fmt.Fprintf(&s.report, "%s %d %016x\n", phase, s.packets, s.hash.Sum64())
}

// Twelve routers on a simulated network send packets through loss, a stall, an upgrade, a crash, a
// partition that heals and a shutdown. After each phase, the packet count and the hash over all
// packets and their times are those in the golden file. The test guards against changes of behavior
// when code is refactored.
func TestGoldenSimulation(t *testing.T) {
	const routers = 12
	sim := newSimulation(routers)
	sim.run("start", 15_000)
	sim.do(2, func(node *fleet.Node, now float64) { node.SetDisabled(now, 5, true) })
	for i := range routers {
		sim.do(i, func(node *fleet.Node, now float64) {
			node.Publish(now, gossip.Item{Kind: gossip.Drain, Server: 6, StartedAt: 1000})
			node.Publish(now, gossip.Item{Kind: gossip.Purge, Object: 9, PurgedAt: 2000})
		})
	}
	sim.run("items", 5000)
	sim.net.Link.Loss = 0.2
	sim.net.Link.Duplicate = 0.1
	sim.run("loss", 30_000)
	sim.net.Pause(sim.net.Hosts[3], 5000)
	sim.run("stall", 20_000)
	sim.net.Link.Loss = 0.02
	sim.net.Link.Duplicate = 0
	predecessor := sim.net.Hosts[4]
	sim.net.StartHost(4, predecessor.Name, predecessor.Self.ID, 2, fleet.DefaultSettings(), netsim.AllProtocols)
	sim.run("upgrade", 10_000)
	sim.net.Kill(sim.net.Hosts[5])
	sim.run("crash", 20_000)
	sim.net.Link.Partitioned = func(from, to *netsim.Host) bool { return (from.Self.ID^to.Self.ID)&2 != 0 }
	sim.run("partition", 30_000)
	sim.do(2, func(node *fleet.Node, now float64) { node.SetDisabled(now, 5, false) })
	sim.do(6, func(node *fleet.Node, now float64) { node.SetDisabled(now, 5, true) })
	sim.run("partition with bans", 10_000)
	sim.net.Link.Partitioned = nil
	sim.run("healed", 60_000)
	reportedHost := sim.net.Hosts[8]
	sim.do(7, func(node *fleet.Node, _ float64) {
		node.InjectUpdate(membership.Update{ID: reportedHost.Self.ID, Revision: membership.FirstRevision(1), State: membership.Failed, ReportedBy: 3, Name: "r008", Addr: reportedHost.Addr})
	})
	sim.run("false report", 10_000)
	sim.net.Leave(sim.net.Hosts[9])
	sim.run("shutdown", 20_000)
	golden.Compare(t, "simulation.golden", sim.report.Bytes())
}
