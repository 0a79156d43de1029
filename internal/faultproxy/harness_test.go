package faultproxy

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"
)

const (
	// arrivalTimeout is how long a test waits for data that must arrive.
	arrivalTimeout = 5 * time.Second
	// quietPeriod is how long a test waits for data that must not arrive.
	quietPeriod = 400 * time.Millisecond
)

// newProxy returns a proxy that is closed when the test ends.
func newProxy(t *testing.T, seed uint64) *Proxy {
	t.Helper()
	proxy := New(seed)
	t.Cleanup(proxy.Close)
	return proxy
}

// party is an endpoint of the forwarded traffic. A goroutine reads its UDP socket continuously, so
// that the buffer of the socket does not overflow.
type party struct {
	socket    *net.UDPConn
	address   netip.AddrPort
	datagrams chan string
}

func newParty(t *testing.T) *party {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback})
	if err != nil {
		t.Fatal(err)
	}
	created := &party{
		socket:    socket,
		address:   socket.LocalAddr().(*net.UDPAddr).AddrPort(),
		datagrams: make(chan string, 1000),
	}
	readerEnded := make(chan struct{})
	go func() {
		defer close(readerEnded)
		created.read()
	}()
	t.Cleanup(func() {
		if err := socket.Close(); err != nil {
			t.Error(err)
		}
		<-readerEnded
	})
	return created
}

// read passes each received datagram to the channel until the socket is closed.
func (p *party) read() {
	buffer := make([]byte, maxDatagramSize)
	for {
		size, _, err := p.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p.datagrams <- string(buffer[:size])
	}
}

func (p *party) send(t *testing.T, to netip.AddrPort, text string) {
	t.Helper()
	if _, err := p.socket.WriteToUDPAddrPort([]byte(text), to); err != nil {
		t.Fatal(err)
	}
}

// receive returns the next count datagrams. It fails the test if fewer arrive within
// arrivalTimeout.
func (p *party) receive(t *testing.T, count int) []string {
	t.Helper()
	timeout := time.After(arrivalTimeout)
	var received []string
	for len(received) < count {
		select {
		case datagram := <-p.datagrams:
			received = append(received, datagram)
		case <-timeout:
			t.Fatalf("received %d datagrams within %v, want %d", len(received), arrivalTimeout, count)
		}
	}
	return received
}

// receiveNothing reports an error if a datagram arrives within quietPeriod.
func (p *party) receiveNothing(t *testing.T) {
	t.Helper()
	select {
	case datagram := <-p.datagrams:
		t.Errorf("received %q, want nothing", datagram)
	case <-time.After(quietPeriod):
	}
}

// udpPair holds a proxy and two endpoints, a and b, that exchange datagrams through it. The proxy
// forwards datagrams that it receives at toA to a, and datagrams that it receives at toB to b.
type udpPair struct {
	proxy    *Proxy
	a, b     *party
	toA, toB netip.AddrPort
}

func newUDPPair(t *testing.T) *udpPair {
	t.Helper()
	pair := &udpPair{proxy: newProxy(t, 1), a: newParty(t), b: newParty(t)}
	var err error
	if pair.toA, err = pair.proxy.UDP("a", pair.a.address); err != nil {
		t.Fatal(err)
	}
	if pair.toB, err = pair.proxy.UDP("b", pair.b.address); err != nil {
		t.Fatal(err)
	}
	return pair
}

// waitUntil waits until predicate returns true. It fails the test if that does not happen within
// arrivalTimeout. The text condition describes the predicate in the failure message.
func waitUntil(t *testing.T, condition string, predicate func() bool) {
	t.Helper()
	deadline := time.Now().Add(arrivalTimeout)
	for !predicate() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", arrivalTimeout, condition)
		}
		time.Sleep(time.Millisecond)
	}
}

// waitForPackets waits until the proxy has received count packets from a to b.
func (p *udpPair) waitForPackets(t *testing.T, count int) {
	t.Helper()
	waitUntil(t, fmt.Sprintf("the proxy receives %d packets", count), func() bool {
		return p.proxy.Counters("a", "b").Packets >= int64(count)
	})
}

// forwarded returns how many datagrams the proxy has forwarded from a to b, or will forward after a
// delay.
func (p *udpPair) forwarded() int {
	counters := p.proxy.Counters("a", "b")
	return int(counters.Packets - counters.Partitioned - counters.Lost + counters.Duplicated)
}
