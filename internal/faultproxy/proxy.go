// Package faultproxy provides a proxy for UDP and TCP on the loopback interface that injects network
// faults between named endpoints, such as routers and servers. Each direction between two endpoints
// has its own fault. The proxy can partition, delay, lose, duplicate, reorder, corrupt, half-close
// or throttle the traffic of one direction while it forwards the opposite direction unchanged.
// Faults are set by calls or by a schedule.
//
// A random number generator with a given seed draws the faults, so that a failure can be reproduced.
// The package is for tests and experiments; nothing in the router uses it.
package faultproxy

import (
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Streams: the second halves of the seeds of the random number generators. The first half is the
// seed that the caller gives. Faults and schedules that are drawn with the same seed use different
// streams and therefore different random numbers.
const (
	faultStream    = 1
	scheduleStream = 2
)

// Proxy forwards traffic between named endpoints, such as routers and servers. Its methods may be
// called by any goroutine.
type Proxy struct {
	mu         sync.Mutex
	random     *rand.Rand // draws faults; the same seed gives the same sequence of draws
	links      map[direction]*link
	senders    map[netip.AddrPort]string // names of UDP endpoints by the address of their own socket
	sockets    []io.Closer               // open sockets, which Close closes
	log        []LogEntry
	startedAt  time.Time
	closed     bool
	forwarders sync.WaitGroup // goroutines that forward traffic
}

// LogEntry is a change of the fault of one direction.
type LogEntry struct {
	At       time.Duration // since the proxy was created
	From, To string
	Fault    Fault
}

// direction is an ordered pair of endpoints: the sender and the receiver.
type direction struct{ from, to string }

// link is the state of one direction.
type link struct {
	fault     Fault
	counters  Counters
	busyUntil time.Time     // time until which earlier datagrams use the limited throughput
	changed   chan struct{} // closed, and replaced, when fault changes or the proxy is closed
}

// New returns a Proxy that draws its random faults with the given seed. The caller must close the
// Proxy.
func New(seed uint64) *Proxy {
	return &Proxy{
		random:    rand.New(rand.NewPCG(seed, faultStream)),
		links:     map[direction]*link{},
		senders:   map[netip.AddrPort]string{},
		startedAt: time.Now(),
	}
}

// link returns the link of a direction and creates it if needed. The caller holds p.mu.
func (p *Proxy) link(dir direction) *link {
	state := p.links[dir]
	if state == nil {
		state = &link{changed: make(chan struct{})}
		p.links[dir] = state
	}
	return state
}

// notifyChanged wakes the streams that are waiting on the link. The caller holds Proxy.mu.
func (l *link) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Set replaces the fault of the traffic from one endpoint to another.
func (p *Proxy) Set(from, to string, fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.link(direction{from, to})
	state.fault = fault
	state.notifyChanged()
	p.log = append(p.log, LogEntry{At: time.Since(p.startedAt), From: from, To: to, Fault: fault})
}

// SetBoth replaces the faults of both directions between two endpoints.
func (p *Proxy) SetBoth(a, b string, fault Fault) {
	p.Set(a, b, fault)
	p.Set(b, a, fault)
}

// Partition stops the traffic between each endpoint of sideA and each endpoint of sideB, in both
// directions.
func (p *Proxy) Partition(sideA, sideB []string) {
	for _, endpointA := range sideA {
		for _, endpointB := range sideB {
			p.SetBoth(endpointA, endpointB, Fault{Partitioned: true})
		}
	}
}

// Heal removes the faults of all directions.
func (p *Proxy) Heal() {
	for _, dir := range p.faultyDirections() {
		p.Set(dir.from, dir.to, Fault{})
	}
}

// faultyDirections returns the directions that have a fault, in no particular order.
func (p *Proxy) faultyDirections() []direction {
	p.mu.Lock()
	defer p.mu.Unlock()
	var faulty []direction
	for dir, state := range p.links {
		if state.fault != (Fault{}) {
			faulty = append(faulty, dir)
		}
	}
	return faulty
}

// Counters returns the counters of the traffic from one endpoint to another.
func (p *Proxy) Counters(from, to string) Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link(direction{from, to}).counters
}

// Log returns the changes of faults so far, oldest first.
func (p *Proxy) Log() []LogEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.log)
}

// Close closes all sockets and connections of the proxy and waits until all forwarding goroutines
// have ended. Delayed datagrams that have not been forwarded yet are lost. Further calls of Close
// do nothing.
func (p *Proxy) Close() {
	for _, socket := range p.markClosed() {
		closeIgnoringError(socket)
	}
	p.forwarders.Wait()
}

// markClosed marks the proxy as closed, so that track refuses further sockets. It wakes the streams
// that are waiting on a link and returns the open sockets.
func (p *Proxy) markClosed() []io.Closer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, state := range p.links {
		state.notifyChanged()
	}
	sockets := p.sockets
	p.sockets = nil
	return sockets
}

// track registers a socket that Close is to close, and reports whether the proxy is still open. If
// the proxy is closed already, track closes the socket.
func (p *Proxy) track(socket io.Closer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		closeIgnoringError(socket)
		return false
	}
	p.sockets = append(p.sockets, socket)
	return true
}

// closeTracked closes a socket and removes it from the list of sockets that Close closes.
func (p *Proxy) closeTracked(socket io.Closer) {
	closeIgnoringError(socket)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sockets = slices.DeleteFunc(p.sockets, func(tracked io.Closer) bool { return tracked == socket })
}

// closeIgnoringError closes a socket that is no longer needed and may be closed already.
func closeIgnoringError(socket io.Closer) { _ = socket.Close() }

// chance draws a random number and reports whether a fault that affects the given share of packets
// affects the current packet. If the share is 0, chance draws no random number. The caller holds
// p.mu.
func (p *Proxy) chance(share float64) bool {
	return share > 0 && p.random.Float64() < share
}

// corrupt changes one byte of the packet with the probability that the link's fault specifies. The
// caller holds p.mu.
func (p *Proxy) corrupt(state *link, packet []byte) {
	if !p.chance(state.fault.Corrupt) || len(packet) == 0 {
		return
	}
	state.counters.Corrupted++
	position := p.random.IntN(len(packet))
	change := byte(1 + p.random.IntN(255)) // never 0, which would leave the byte unchanged
	packet[position] ^= change
}

// delay draws the delay of a packet in ms from its link's delay and jitter. The caller holds p.mu.
func (p *Proxy) delay(state *link) float64 {
	return state.fault.Delay + state.fault.Jitter*p.random.Float64()
}
