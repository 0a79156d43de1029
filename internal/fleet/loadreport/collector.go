package loadreport

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/zonelease"
	"garnetline/routing"
)

const stepInterval = 20 * time.Millisecond

// Options are the settings and the dependencies of a Collector. None of the functions may block.
type Options struct {
	zonelease.Options
	MinInterval float64 // minimum time between two polls of the same server, in ms
	MaxInterval float64 // maximum time between two polls, in ms; the time grows up to it while the server's load does not change

	// Servers returns the servers of the zone that are ready.
	Servers func() []Server
	// ReportLoad is called with the load of a server. The argument age is the time in ms since the
	// load was measured.
	ReportLoad func(server routing.ServerID, load routing.LoadReport, age float64)
}

// Collector polls servers while this router holds the lease. While another router holds it, the
// Collector receives the reports of that router.
type Collector struct {
	options   Options
	leaseName string
	done      chan struct{}

	mu         sync.Mutex
	fence      lease.Fence
	servers    map[routing.ServerID]*polledServer
	unsent     map[routing.ServerID]measurement
	nextSendAt float64
}

// measurement is a server's load that has not been sent to the zone's other routers yet.
type measurement struct {
	load       routing.LoadReport
	measuredAt float64
}

// New returns a Collector. Run starts it.
func New(options Options) *Collector {
	return &Collector{
		options:   options,
		leaseName: LeaseName(options.Zone),
		done:      make(chan struct{}),
		fence:     lease.Fence{},
		servers:   map[routing.ServerID]*polledServer{},
		unsent:    map[routing.ServerID]measurement{},
	}
}

// Run polls while this router holds the lease, until ctx ends. It returns after all polls have
// ended and all connections are closed.
func (c *Collector) Run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	var polls sync.WaitGroup
	defer func() {
		polls.Wait()
		for _, server := range c.servers {
			server.close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.step(ctx, &polls)
		}
	}
}

// Stopped returns a channel that is closed when Run has returned.
func (c *Collector) Stopped() <-chan struct{} { return c.done }

// step starts the polls that are due and sends the reports of the polls that have ended.
func (c *Collector) step(ctx context.Context, polls *sync.WaitGroup) {
	fencingToken, holdsLease := c.options.Valid(c.leaseName)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !holdsLease {
		c.removeServers(func(Server) bool { return true })
		return
	}
	c.updateServers()
	now := c.options.Clock.Now()
	for _, server := range c.servers {
		if server.polling || server.nextPollAt > now {
			continue
		}
		server.polling = true
		polls.Go(func() { c.poll(ctx, server, fencingToken) })
	}
	c.sendReports(now, fencingToken)
}

// updateServers starts polling servers that have become ready and stops polling servers that are
// no longer ready. The caller holds mu.
func (c *Collector) updateServers() {
	ready := c.options.Servers()
	for _, server := range ready {
		if c.servers[server.ID] == nil {
			c.servers[server.ID] = newPolledServer(server, c.options.MinInterval)
		}
	}
	c.removeServers(func(server Server) bool { return !slices.Contains(ready, server) })
}

// removeServers stops polling the servers for which shouldRemove returns true. A server whose
// poll is under way is removed by a later step. The caller holds mu.
func (c *Collector) removeServers(shouldRemove func(Server) bool) {
	for id, server := range c.servers {
		if !server.polling && shouldRemove(server.Server) {
			server.close()
			delete(c.servers, id)
		}
	}
}

// BatchInterval returns the time in ms for which reports are collected before they are sent, as
// one batch to each of the other routers of the zone. The argument peers is the number of those
// routers. With an interval of at least 5 ms for each peer, a router sends at most about 200
// batches per second, whatever the number of servers. Without batches, each report would be a
// packet to each peer: the lease holder of a zone with 30 routers and 20 servers would send 772
// packets per second, while a router may send 500 packets per second.
func BatchInterval(peers int) float64 { return max(40, 5*float64(peers)) }

// sendReports sends the measurements since the previous batch to the zone's other routers. It
// does nothing until BatchInterval has passed since that batch. The caller holds mu.
func (c *Collector) sendReports(now float64, fencingToken uint64) {
	if now < c.nextSendAt || len(c.unsent) == 0 {
		return
	}
	peers := c.options.ZonePeers()
	c.nextSendAt = now + BatchInterval(len(peers))
	var reports []report
	for _, server := range slices.Sorted(maps.Keys(c.unsent)) {
		measured := c.unsent[server]
		reports = append(reports, report{server: server, load: measured.load, age: now - measured.measuredAt})
	}
	clear(c.unsent)
	for batch := range slices.Chunk(reports, MaxReportsPerPacket) {
		packet := encodePacket(fencingToken, batch)
		for _, peer := range peers {
			c.options.Send(peer, fragment.LoadReport, packet)
		}
	}
}

// Receive handles a packet of another router's reports. It rejects reports whose fencing token
// is lower than the highest token received, because their sender has lost the lease.
func (c *Collector) Receive(packet []byte) {
	fencingToken, reports, ok := decodePacket(packet)
	if !ok || fencingToken == 0 {
		return
	}
	c.mu.Lock()
	admitted := c.fence.Admit(c.leaseName, fencingToken)
	c.mu.Unlock()
	if !admitted {
		c.options.Metrics.Add("reports_refused", int64(len(reports)))
		return
	}
	c.options.Metrics.Add("reports_taken", int64(len(reports)))
	for _, r := range reports {
		c.options.ReportLoad(r.server, r.load, r.age)
	}
}
