//go:build amd64

// On other machines, fused multiply-add changes the last bits of some times.

package fleet_test

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"testing"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/golden"
	"garnetline/internal/virtual"
)

// Twelve routers on a simulated network send the same packets at the same times as before,
// through loss, a stall, an upgrade, a crash, a partition that heals and a shutdown: what is
// rewritten for its readers behaves as it did.
func TestGoldenSimulation(t *testing.T) {
	const routers = 12
	net := virtual.New(7)
	sum := fnv.New64a()
	packets := 0
	net.Tap = func(s virtual.Send) {
		packets++
		fmt.Fprintf(sum, "%v %v ", net.Now, s.To)
		sum.Write(s.Packet.Append(nil))
	}
	net.Fleet(routers, fleet.DefaultSettings(), false)
	for _, host := range net.Hosts {
		host.On = func(h *virtual.Host, now float64, out *fleet.Output) {
			for _, e := range out.Events {
				fmt.Fprintf(sum, "%v %s %s %x %s ", now, h.Name, e.Kind, e.Update.Revision, e.Update.Name)
			}
			for _, c := range out.Changes {
				fmt.Fprintf(sum, "%v %s %d %d %v ", now, h.Name, c.Kind, c.Server, c.Disabled)
			}
			fmt.Fprintf(sum, "%v %v %d ", out.Connectivity.State, out.Connectivity.Since, out.Connectivity.Known)
		}
	}
	node := func(i int) *fleet.Node { return net.Hosts[i].Machine.(*fleet.Node) }
	var got bytes.Buffer
	phase := func(name string, ms float64) {
		net.Run(net.Now + ms)
		fmt.Fprintf(&got, "%s %d %016x\n", name, packets, sum.Sum64())
	}
	phase("start", 15_000)
	net.Do(net.Hosts[2], func() { node(2).SetDisabled(net.Now, 5, true) })
	for i := range routers {
		net.Do(net.Hosts[i], func() {
			node(i).Publish(net.Now, gossip.Item{Kind: gossip.Drain, Server: 6, StartedAt: 1000})
			node(i).Publish(net.Now, gossip.Item{Kind: gossip.Purge, Object: 9, PurgedAt: 2000})
		})
	}
	phase("items", 5000)
	net.Link.Loss, net.Link.Repeat = 0.2, 0.1
	phase("loss", 30_000)
	net.Stall(net.Hosts[3], 5000)
	phase("stall", 20_000)
	net.Link.Loss, net.Link.Repeat = 0.02, 0
	old := net.Hosts[4]
	net.Start(4, old.Name, old.Self.ID, 2, fleet.DefaultSettings(), false)
	phase("upgrade", 10_000)
	net.Kill(net.Hosts[5])
	phase("crash", 20_000)
	net.Link.Cut = func(from, to *virtual.Host) bool { return (from.Self.ID^to.Self.ID)&2 != 0 }
	phase("partition", 30_000)
	net.Do(net.Hosts[2], func() { node(2).SetDisabled(net.Now, 5, false) })
	net.Do(net.Hosts[6], func() { node(6).SetDisabled(net.Now, 5, true) })
	phase("partition with bans", 10_000)
	net.Link.Cut = nil
	phase("healed", 60_000)
	net.Do(net.Hosts[7], func() {
		node(7).InjectUpdate(membership.Update{ID: net.Hosts[8].Self.ID, Revision: membership.FirstRevision(1), State: membership.Failed, ReportedBy: 3, Name: "r008", Addr: net.Hosts[8].Addr})
	})
	phase("false report", 10_000)
	net.Leave(net.Hosts[9])
	phase("shutdown", 20_000)
	golden.Compare(t, "simulation.golden", got.Bytes())
}
