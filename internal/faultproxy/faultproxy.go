// Package faultproxy is a relay between sockets, UDP and TCP, with a place of its own for
// each ordered pair of parties: what goes from one to the other can be cut, delayed,
// lost, repeated, reordered, garbled, half-closed or throttled by itself, on command or
// by a schedule. It is for tests and experiments; nothing in the daemon uses it.
package faultproxy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Fault is what happens to what goes from one party to another. The zero value is a
// sound line. Shares are of packets; on TCP, of the pieces that are read.
type Fault struct {
	Partitioned    bool    // nothing passes; on TCP it waits until the cut ends
	Loss           float64 // share that is lost; on TCP a piece comes 200 ms late instead
	Duplicate      float64 // share that comes twice; UDP alone
	Reorder        float64 // share that is overtaken by what comes within 30 ms; UDP alone
	Corrupt        float64 // share of which a byte is changed
	Delay          float64 // ms
	Jitter         float64 // ms on top at the most, evenly
	BytesPerSecond float64 // bytes a second; 0: any
	HalfClosed     bool    // TCP: this direction is closed, the other goes on
}

// Counters is what passed from one party to another.
type Counters struct {
	Packets, Bytes                           int64 // that came in
	Partitioned, Lost, Duplicated, Corrupted int64
}

// Proxy is the relay.
type Proxy struct {
	mu        sync.Mutex
	random    *rand.Rand
	links     map[[2]string]*link
	senders   map[netip.AddrPort]string // real address of each UDP party
	sockets   []interface{ Close() error }
	log       []LogEntry
	startedAt time.Time
	closed    bool
	forwarder sync.WaitGroup
}

// LogEntry is a change of a line, for the log.
type LogEntry struct {
	At       time.Duration // since the relay began
	From, To string
	Fault    Fault
}

// link is an ordered pair.
type link struct {
	fault     Fault
	counters  Counters
	busyUntil time.Time // when what was throttled has passed
	changed   chan struct{}
}

// New returns a relay whose chances are drawn from a seed.
func New(seed uint64) *Proxy {
	return &Proxy{random: rand.New(rand.NewPCG(seed, 1)), links: map[[2]string]*link{}, senders: map[netip.AddrPort]string{}, startedAt: time.Now()}
}

// link returns a pair's; the lock is held.
func (p *Proxy) link(from, to string) *link {
	way := [2]string{from, to}
	state := p.links[way]
	if state == nil {
		state = &link{changed: make(chan struct{})}
		p.links[way] = state
	}
	return state
}

// Set puts a fault on what goes from one party to another.
func (p *Proxy) Set(from, to string, fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.link(from, to)
	state.fault = fault
	close(state.changed)
	state.changed = make(chan struct{})
	p.log = append(p.log, LogEntry{time.Since(p.startedAt), from, to, fault})
}

// SetBoth puts a fault on both directions.
func (p *Proxy) SetBoth(a, b string, fault Fault) {
	p.Set(a, b, fault)
	p.Set(b, a, fault)
}

// Partition cuts each of one side from each of the other.
func (p *Proxy) Partition(sideA, sideB []string) {
	for _, partyA := range sideA {
		for _, partyB := range sideB {
			p.SetBoth(partyA, partyB, Fault{Partitioned: true})
		}
	}
}

// Heal makes all lines sound.
func (p *Proxy) Heal() {
	p.mu.Lock()
	var faulty [][2]string
	for way, state := range p.links {
		if state.fault != (Fault{}) {
			faulty = append(faulty, way)
		}
	}
	p.mu.Unlock()
	for _, way := range faulty {
		p.Set(way[0], way[1], Fault{})
	}
}

// Counters returns what passed from one party to another.
func (p *Proxy) Counters(from, to string) Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link(from, to).counters
}

// Log returns the changes of lines so far.
func (p *Proxy) Log() []LogEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.log)
}

// Close ends the relay and all that goes through it.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	sockets := p.sockets
	p.sockets = nil
	for _, state := range p.links {
		close(state.changed)
		state.changed = make(chan struct{})
	}
	p.mu.Unlock()
	for _, socket := range sockets {
		socket.Close()
	}
	p.forwarder.Wait()
}

// track has a socket closed with the relay. It tells whether the relay is still open.
func (p *Proxy) track(socket interface{ Close() error }) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		socket.Close()
		return false
	}
	p.sockets = append(p.sockets, socket)
	return true
}

// closeTracked forgets a socket that is closed.
func (p *Proxy) closeTracked(socket interface{ Close() error }) {
	socket.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sockets = slices.DeleteFunc(p.sockets, func(tracked interface{ Close() error }) bool { return tracked == socket })
}

// UDP returns the address at which others reach a party whose socket is at real. Who
// writes there is told by the address that it writes from, which is another party's real
// one; all others are the party "".
func (p *Proxy) UDP(name string, target netip.AddrPort) (netip.AddrPort, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return netip.AddrPort{}, err
	}
	if !p.track(socket) {
		return netip.AddrPort{}, net.ErrClosed
	}
	p.mu.Lock()
	p.senders[target] = name
	p.mu.Unlock()
	p.forwarder.Go(func() { p.forwardDatagrams(socket, name, target) })
	return socket.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

func (p *Proxy) forwardDatagrams(socket *net.UDPConn, to string, target netip.AddrPort) {
	buffer := make([]byte, 1<<16)
	for {
		size, sender, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // what it wrote to is not there yet
		}
		sender = netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())
		packet := slices.Clone(buffer[:size])
		for _, delay := range p.datagramDelays(sender, to, packet) {
			if delay <= 0 {
				socket.WriteToUDPAddrPort(packet, target)
				continue
			}
			time.AfterFunc(delay, func() { socket.WriteToUDPAddrPort(packet, target) })
		}
	}
}

// datagramDelays returns how late each copy of a datagram is to go on; none where it is lost. It
// may change a byte of it.
func (p *Proxy) datagramDelays(sender netip.AddrPort, to string, packet []byte) (delays []time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.link(p.senders[sender], to)
	fault := &state.fault
	state.counters.Packets++
	state.counters.Bytes += int64(len(packet))
	switch {
	case fault.Partitioned:
		state.counters.Partitioned++
		return nil
	case fault.Loss > 0 && p.random.Float64() < fault.Loss:
		state.counters.Lost++
		return nil
	}
	if fault.Corrupt > 0 && p.random.Float64() < fault.Corrupt && len(packet) > 0 {
		state.counters.Corrupted++
		packet[p.random.IntN(len(packet))] ^= byte(1 + p.random.IntN(255))
	}
	delay := milliseconds(fault.Delay + fault.Jitter*p.random.Float64())
	if fault.Reorder > 0 && p.random.Float64() < fault.Reorder {
		delay += milliseconds(30)
	}
	if fault.BytesPerSecond > 0 {
		now := time.Now()
		if state.busyUntil.Before(now) {
			state.busyUntil = now
		}
		state.busyUntil = state.busyUntil.Add(time.Duration(float64(len(packet)) / fault.BytesPerSecond * float64(time.Second)))
		if queueing := state.busyUntil.Sub(now); queueing > time.Second { // what a queue holds
			state.counters.Lost++
			return nil
		} else {
			delay += queueing
		}
	}
	delays = append(delays, delay)
	if fault.Duplicate > 0 && p.random.Float64() < fault.Duplicate {
		state.counters.Duplicated++
		delays = append(delays, delay+milliseconds(5))
	}
	return delays
}

func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// Step is one change of a schedule.
type Step struct {
	At       time.Duration
	From, To string
	Fault    Fault
}

// RandomSchedule draws a schedule from a seed: so many faults of the kinds given among the parties
// within a span, each healed before the end.
func RandomSchedule(seed uint64, parties []string, kinds []Fault, faults int, span time.Duration) (steps []Step) {
	random := rand.New(rand.NewPCG(seed, 2))
	for range faults {
		from, to := random.IntN(len(parties)), random.IntN(len(parties)-1)
		if to >= from {
			to++
		}
		start := time.Duration(random.Float64() * 0.7 * float64(span))
		length := time.Duration(random.Float64() * float64(span-start))
		steps = append(steps, Step{start, parties[from], parties[to], kinds[random.IntN(len(kinds))]}, Step{start + length, parties[from], parties[to], Fault{}})
	}
	slices.SortStableFunc(steps, func(from, to Step) int { return int(from.At - to.At) })
	return steps
}

// RunSchedule carries a schedule out. It returns when it is through, or stop is closed.
func (p *Proxy) RunSchedule(steps []Step, stop <-chan struct{}) {
	startedAt := time.Now()
	for _, step := range steps {
		select {
		case <-time.After(time.Until(startedAt.Add(step.At))):
			p.Set(step.From, step.To, step.Fault)
		case <-stop:
			return
		}
	}
}

// String is a fault in a few words.
func (f Fault) String() string {
	if f == (Fault{}) {
		return "sound"
	}
	text := ""
	add := func(present bool, format string, values ...any) {
		if present {
			text += " " + fmt.Sprintf(format, values...)
		}
	}
	add(f.Partitioned, "cut")
	add(f.HalfClosed, "closed")
	add(f.Loss > 0, "loss %.2f", f.Loss)
	add(f.Duplicate > 0, "repeat %.2f", f.Duplicate)
	add(f.Reorder > 0, "reorder %.2f", f.Reorder)
	add(f.Corrupt > 0, "garble %.2f", f.Corrupt)
	add(f.Delay+f.Jitter > 0, "delay %.0f+%.0f ms", f.Delay, f.Jitter)
	add(f.BytesPerSecond > 0, "%.0f B/s", f.BytesPerSecond)
	return text[1:]
}
