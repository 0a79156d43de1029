package faultproxy

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"
)

// maxDatagramSize is the size of a receive buffer in bytes. No UDP datagram is larger.
const maxDatagramSize = 1 << 16

// loopback is the address on which the proxy listens.
var loopback = net.IPv4(127, 0, 0, 1)

// UDP returns the address to which other endpoints send datagrams for the endpoint with the given
// name. The proxy forwards the datagrams to target, the address of the endpoint's own socket. The
// proxy also identifies each sender by the address of the sender's own socket, so UDP must be called
// for the sender too. A sender for which UDP was not called counts as the endpoint "". UDP returns
// net.ErrClosed if the proxy is closed.
func (p *Proxy) UDP(name string, target netip.AddrPort) (netip.AddrPort, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback})
	if err != nil {
		return netip.AddrPort{}, err
	}
	if !p.track(socket) {
		return netip.AddrPort{}, net.ErrClosed
	}
	p.mu.Lock()
	p.senders[target] = name
	p.mu.Unlock()
	p.forwarders.Go(func() { p.forwardDatagrams(socket, udpParty{name: name, address: target}) })
	return socket.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// udpParty is an endpoint that receives datagrams.
type udpParty struct {
	name    string
	address netip.AddrPort // of its own socket
}

// forwardDatagrams forwards the datagrams that arrive at a socket to the receiver until the socket
// is closed.
func (p *Proxy) forwardDatagrams(socket *net.UDPConn, receiver udpParty) {
	buffer := make([]byte, maxDatagramSize)
	for {
		size, sender, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the receiver was not listening yet and refused an earlier datagram
		}
		sender = netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())
		packet := slices.Clone(buffer[:size])
		for _, delay := range p.datagramDelays(sender, receiver.name, packet) {
			forwardAfter(delay, socket, receiver, packet)
		}
	}
}

// forwardAfter forwards a datagram after a delay. If the delay is 0 or negative, forwardAfter
// forwards the datagram before it returns.
func forwardAfter(delay time.Duration, socket *net.UDPConn, receiver udpParty, packet []byte) {
	forward := func() {
		// If the write fails, the datagram is lost without notice to the sender, as in a network.
		_, _ = socket.WriteToUDPAddrPort(packet, receiver.address)
	}
	if delay <= 0 {
		forward()
		return
	}
	time.AfterFunc(delay, forward)
}

// datagramDelays returns one delay for each copy of a datagram that the proxy forwards. It returns
// no delay if the datagram is lost. It may change a byte of the packet.
func (p *Proxy) datagramDelays(sender netip.AddrPort, to string, packet []byte) []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.link(direction{p.senders[sender], to})
	state.counters.Packets++
	state.counters.Bytes += int64(len(packet))
	if state.fault.Partitioned {
		state.counters.Partitioned++
		return nil
	}
	if p.chance(state.fault.Loss) {
		state.counters.Lost++
		return nil
	}
	p.corrupt(state, packet)
	delay := milliseconds(p.delay(state))
	if p.chance(state.fault.Reorder) {
		delay += reorderDelay
	}
	queueing := state.queueingDelay(len(packet))
	if queueing > maxQueueingDelay {
		state.counters.Lost++
		return nil
	}
	delay += queueing
	delays := []time.Duration{delay}
	if p.chance(state.fault.Duplicate) {
		state.counters.Duplicated++
		delays = append(delays, delay+duplicateDelay)
	}
	return delays
}

// queueingDelay returns the waiting time that the throughput limit of the link imposes on a
// datagram of size bytes. The waiting time covers the transmission of this datagram and of the
// datagrams before it. The caller holds Proxy.mu.
func (l *link) queueingDelay(size int) time.Duration {
	if l.fault.BytesPerSecond <= 0 {
		return 0
	}
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	seconds := float64(size) / l.fault.BytesPerSecond
	l.busyUntil = l.busyUntil.Add(time.Duration(seconds * float64(time.Second)))
	return l.busyUntil.Sub(now)
}
