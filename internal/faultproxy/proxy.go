// Package faultproxy is a proxy for UDP and TCP on the loopback interface that injects network
// faults. Each ordered pair of parties has a link of its own, so that traffic from one to the
// other can be partitioned, delayed, lost, duplicated, reordered, corrupted, half-closed or
// throttled while the opposite direction is not, on command or by a schedule.
//
// Faults are drawn from a seed, so that a failure can be repeated. The package is for tests and
// experiments; nothing in the router uses it.
package faultproxy

import (
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Streams of the random number generator. Each seed has both.
const (
	faultStream    = 1
	scheduleStream = 2
)

// Proxy forwards traffic between named parties. Its methods may be called by any goroutine.
type Proxy struct {
	mu         sync.Mutex
	random     *rand.Rand // draws faults; a seed repeats the same sequence of draws
	links      map[direction]*link
	senders    map[netip.AddrPort]string // names of UDP parties by the address of their own socket
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

// direction is an ordered pair of parties.
type direction struct{ from, to string }

// link is the state of one direction.
type link struct {
	fault     Fault
	counters  Counters
	busyUntil time.Time     // when all datagrams so far will have passed a limited throughput
	changed   chan struct{} // closed, and replaced, when fault changes or the proxy is closed
}

// New returns a Proxy that draws its faults from a seed. The caller must close it.
func New(seed uint64) *Proxy {
	return &Proxy{
		random:    rand.New(rand.NewPCG(seed, faultStream)),
		links:     map[direction]*link{},
		senders:   map[netip.AddrPort]string{},
		startedAt: time.Now(),
	}
}

// link returns the link of a direction and creates it if needed. The caller holds the lock.
func (p *Proxy) link(dir direction) *link {
	state := p.links[dir]
	if state == nil {
		state = &link{changed: make(chan struct{})}
		p.links[dir] = state
	}
	return state
}

// notifyChanged wakes the streams that are waiting on the link. The caller holds the lock.
func (l *link) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Set replaces the fault of the traffic from one party to another.
func (p *Proxy) Set(from, to string, fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.link(direction{from, to})
	state.fault = fault
	state.notifyChanged()
	p.log = append(p.log, LogEntry{At: time.Since(p.startedAt), From: from, To: to, Fault: fault})
}

// SetBoth replaces the faults of both directions between two parties.
func (p *Proxy) SetBoth(a, b string, fault Fault) {
	p.Set(a, b, fault)
	p.Set(b, a, fault)
}

// Partition stops the traffic between each party of one side and each party of the other, in both
// directions.
func (p *Proxy) Partition(sideA, sideB []string) {
	for _, partyA := range sideA {
		for _, partyB := range sideB {
			p.SetBoth(partyA, partyB, Fault{Partitioned: true})
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

// Counters returns the counters of the traffic from one party to another.
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

// Close closes all sockets and connections of the proxy and waits until the goroutines that forward
// have ended. Delayed datagrams that have not been forwarded yet are lost. Further calls do
// nothing.
func (p *Proxy) Close() {
	for _, socket := range p.markClosed() {
		closeIgnoringError(socket)
	}
	p.forwarders.Wait()
}

// markClosed makes track refuse further sockets, wakes the streams that are waiting, and returns
// the open sockets.
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
// the proxy is closed, track closes the socket at once.
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

// closeTracked closes a socket and removes it from the sockets that Close closes.
func (p *Proxy) closeTracked(socket io.Closer) {
	closeIgnoringError(socket)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sockets = slices.DeleteFunc(p.sockets, func(tracked io.Closer) bool { return tracked == socket })
}

// closeIgnoringError closes a socket that is no longer needed and may be closed already.
func closeIgnoringError(socket io.Closer) { _ = socket.Close() }

// chance draws whether a fault that affects a share of the packets affects this one. It draws no
// random number for a share of 0. The caller holds the lock.
func (p *Proxy) chance(share float64) bool {
	return share > 0 && p.random.Float64() < share
}

// corrupt changes one byte of the packet if the packet is drawn for corruption. The caller holds
// the lock.
func (p *Proxy) corrupt(state *link, packet []byte) {
	if !p.chance(state.fault.Corrupt) || len(packet) == 0 {
		return
	}
	state.counters.Corrupted++
	position := p.random.IntN(len(packet))
	change := byte(1 + p.random.IntN(255)) // never 0, which would leave the byte unchanged
	packet[position] ^= change
}

// delay draws the delay of a packet in ms from its link's delay and jitter. The caller holds the
// lock.
func (p *Proxy) delay(state *link) float64 {
	return state.fault.Delay + state.fault.Jitter*p.random.Float64()
}
