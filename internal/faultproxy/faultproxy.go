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

// Count is what passed from one party to another.
type Count struct {
	Packets, Bytes                           int64 // that came in
	Partitioned, Lost, Duplicated, Corrupted int64
}

// Net is the relay.
type Proxy struct {
	mu     sync.Mutex
	rng    *rand.Rand
	lines  map[[2]string]*line
	who    map[netip.AddrPort]string // real address of each UDP party
	open   []interface{ Close() error }
	log    []LogEntry
	began  time.Time
	closed bool
	wg     sync.WaitGroup
}

// Entry is a change of a line, for the log.
type LogEntry struct {
	At       time.Duration // since the relay began
	From, To string
	Fault    Fault
}

// line is an ordered pair.
type line struct {
	fault Fault
	count Count
	free  time.Time // when what was throttled has passed
	moved chan struct{}
}

// New returns a relay whose chances are drawn from a seed.
func New(seed uint64) *Proxy {
	return &Proxy{rng: rand.New(rand.NewPCG(seed, 1)), lines: map[[2]string]*line{}, who: map[netip.AddrPort]string{}, began: time.Now()}
}

// line returns a pair's; the lock is held.
func (n *Proxy) line(from, to string) *line {
	k := [2]string{from, to}
	l := n.lines[k]
	if l == nil {
		l = &line{moved: make(chan struct{})}
		n.lines[k] = l
	}
	return l
}

// Set puts a fault on what goes from one party to another.
func (n *Proxy) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.line(from, to)
	l.fault = f
	close(l.moved)
	l.moved = make(chan struct{})
	n.log = append(n.log, LogEntry{time.Since(n.began), from, to, f})
}

// Both puts a fault on both directions.
func (n *Proxy) SetBoth(a, b string, f Fault) {
	n.Set(a, b, f)
	n.Set(b, a, f)
}

// Split cuts each of one side from each of the other.
func (n *Proxy) Partition(a, b []string) {
	for _, x := range a {
		for _, y := range b {
			n.SetBoth(x, y, Fault{Partitioned: true})
		}
	}
}

// Heal makes all lines sound.
func (n *Proxy) Heal() {
	n.mu.Lock()
	var sick [][2]string
	for k, l := range n.lines {
		if l.fault != (Fault{}) {
			sick = append(sick, k)
		}
	}
	n.mu.Unlock()
	for _, k := range sick {
		n.Set(k[0], k[1], Fault{})
	}
}

// Count returns what passed from one party to another.
func (n *Proxy) Count(from, to string) Count {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.line(from, to).count
}

// Log returns the changes of lines so far.
func (n *Proxy) Log() []LogEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.log)
}

// Close ends the relay and all that goes through it.
func (n *Proxy) Close() {
	n.mu.Lock()
	n.closed = true
	open := n.open
	n.open = nil
	for _, l := range n.lines {
		close(l.moved)
		l.moved = make(chan struct{})
	}
	n.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
	n.wg.Wait()
}

// keep has a socket closed with the relay. It tells whether the relay is still open.
func (n *Proxy) keep(c interface{ Close() error }) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return false
	}
	n.open = append(n.open, c)
	return true
}

// drop forgets a socket that is closed.
func (n *Proxy) drop(c interface{ Close() error }) {
	c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = slices.DeleteFunc(n.open, func(x interface{ Close() error }) bool { return x == c })
}

// UDP returns the address at which others reach a party whose socket is at real. Who
// writes there is told by the address that it writes from, which is another party's real
// one; all others are the party "".
func (n *Proxy) UDP(name string, real netip.AddrPort) (netip.AddrPort, error) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return netip.AddrPort{}, err
	}
	if !n.keep(c) {
		return netip.AddrPort{}, net.ErrClosed
	}
	n.mu.Lock()
	n.who[real] = name
	n.mu.Unlock()
	n.wg.Go(func() { n.datagrams(c, name, real) })
	return c.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

func (n *Proxy) datagrams(c *net.UDPConn, to string, real netip.AddrPort) {
	b := make([]byte, 1<<16)
	for {
		k, src, err := c.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // what it wrote to is not there yet
		}
		src = netip.AddrPortFrom(src.Addr().Unmap(), src.Port())
		p := slices.Clone(b[:k])
		for _, late := range n.judge(src, to, p) {
			if late <= 0 {
				c.WriteToUDPAddrPort(p, real)
				continue
			}
			time.AfterFunc(late, func() { c.WriteToUDPAddrPort(p, real) })
		}
	}
}

// judge returns how late each copy of a datagram is to go on; none where it is lost. It
// may change a byte of it.
func (n *Proxy) judge(src netip.AddrPort, to string, p []byte) (late []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.line(n.who[src], to)
	f := &l.fault
	l.count.Packets++
	l.count.Bytes += int64(len(p))
	switch {
	case f.Partitioned:
		l.count.Partitioned++
		return nil
	case f.Loss > 0 && n.rng.Float64() < f.Loss:
		l.count.Lost++
		return nil
	}
	if f.Corrupt > 0 && n.rng.Float64() < f.Corrupt && len(p) > 0 {
		l.count.Corrupted++
		p[n.rng.IntN(len(p))] ^= byte(1 + n.rng.IntN(255))
	}
	wait := ms(f.Delay + f.Jitter*n.rng.Float64())
	if f.Reorder > 0 && n.rng.Float64() < f.Reorder {
		wait += ms(30)
	}
	if f.BytesPerSecond > 0 {
		now := time.Now()
		if l.free.Before(now) {
			l.free = now
		}
		l.free = l.free.Add(time.Duration(float64(len(p)) / f.BytesPerSecond * float64(time.Second)))
		if q := l.free.Sub(now); q > time.Second { // what a queue holds
			l.count.Lost++
			return nil
		} else {
			wait += q
		}
	}
	late = append(late, wait)
	if f.Duplicate > 0 && n.rng.Float64() < f.Duplicate {
		l.count.Duplicated++
		late = append(late, wait+ms(5))
	}
	return late
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// Step is one change of a schedule.
type Step struct {
	At       time.Duration
	From, To string
	Fault    Fault
}

// Draw draws a schedule from a seed: so many faults of the kinds given among the parties
// within a span, each healed before the end.
func RandomSchedule(seed uint64, parties []string, kinds []Fault, n int, span time.Duration) (s []Step) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for range n {
		a, b := rng.IntN(len(parties)), rng.IntN(len(parties)-1)
		if b >= a {
			b++
		}
		at := time.Duration(rng.Float64() * 0.7 * float64(span))
		long := time.Duration(rng.Float64() * float64(span-at))
		s = append(s, Step{at, parties[a], parties[b], kinds[rng.IntN(len(kinds))]}, Step{at + long, parties[a], parties[b], Fault{}})
	}
	slices.SortStableFunc(s, func(a, b Step) int { return int(a.At - b.At) })
	return s
}

// Play carries a schedule out. It returns when it is through, or stop is closed.
func (n *Proxy) RunSchedule(s []Step, stop <-chan struct{}) {
	began := time.Now()
	for _, x := range s {
		select {
		case <-time.After(time.Until(began.Add(x.At))):
			n.Set(x.From, x.To, x.Fault)
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
	s := ""
	add := func(on bool, format string, v ...any) {
		if on {
			s += " " + fmt.Sprintf(format, v...)
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
	return s[1:]
}
