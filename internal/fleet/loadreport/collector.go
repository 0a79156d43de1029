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

// Options are what a Collector works with. No function may block.
type Options struct {
	zonelease.Options
	MinInterval float64 // ms between polls of one server, at least
	MaxInterval float64 // ms between them where nothing changes

	// Servers returns the servers of the zone that are ready.
	Servers func() []Server
	// ReportLoad takes a server's load, which was measured age ms ago.
	ReportLoad func(server routing.ServerID, load routing.LoadReport, age float64)
}

// Collector polls servers while this router holds the lease, and takes the reports of the
// router that holds it otherwise.
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

// measurement is a load that the zone's other routers do not know yet.
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

// Run polls while this router holds the lease, until ctx ends. It returns when no poll is
// under way and all connections are closed.
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

// Stopped is closed when Run has returned.
func (c *Collector) Stopped() <-chan struct{} { return c.done }

// step begins the polls that are due and sends the reports of those that have ended.
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

// updateServers polls the servers that are ready now, and no others. The lock is held.
func (c *Collector) updateServers() {
	ready := c.options.Servers()
	for _, server := range ready {
		if c.servers[server.ID] == nil {
			c.servers[server.ID] = newPolledServer(server, c.options.MinInterval)
		}
	}
	c.removeServers(func(server Server) bool { return !slices.Contains(ready, server) })
}

// removeServers stops polling the servers for which remove returns true. One whose poll is
// under way is left for a later step. The lock is held.
func (c *Collector) removeServers(remove func(Server) bool) {
	for id, server := range c.servers {
		if !server.polling && remove(server.Server) {
			server.close()
			delete(c.servers, id)
		}
	}
}

// BatchInterval is how long reports are collected, in ms, where a zone has so many other
// routers. Each is sent a packet after it: no more than some 200 a second in all, whatever the
// number of servers.
//
// Symptom guarded against: each report went to each peer by itself, 772 packets a second with
// 30 routers and 20 servers, where a router may send 500.
func BatchInterval(peers int) float64 { return max(40, 5*float64(peers)) }

// sendReports sends the zone's other routers what was measured since it did so last. The lock
// is held.
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

// Receive takes another router's reports. Those under an older fencing token than the latest
// are rejected: their sender has lost the lease.
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
	for _, next := range reports {
		c.options.ReportLoad(next.server, next.load, next.age)
	}
}
