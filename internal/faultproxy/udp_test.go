package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"
)

const (
	// sentDatagrams is the number of datagrams that a test sends from a to b. Each datagram
	// contains its number as text.
	sentDatagrams = 200
	// sentAtOnce is the number of datagrams in a batch. maxOutstanding is the maximum number of
	// forwarded datagrams that b has not received when the next batch begins. Both limits prevent
	// the sockets of the proxy and of b from losing datagrams because of a full buffer. The
	// default buffer of Linux holds 256 datagrams of this size. The buffer of b must hold at most
	// the outstanding datagrams and two copies of each datagram of the next batch:
	// 120 + 2 * 50 = 220 datagrams.
	sentAtOnce     = 50
	maxOutstanding = 120
)

// sendNumbered sends the numbered datagrams from a to b, and returns when the proxy has received
// all of them.
func (p *udpPair) sendNumbered(t *testing.T) {
	t.Helper()
	for i := range sentDatagrams {
		p.a.send(t, p.toB, numbered(i))
		if sent := i + 1; sent%sentAtOnce == 0 {
			p.waitForPackets(t, sent)
			waitUntil(t, "b receives the forwarded datagrams", func() bool {
				return p.forwarded()-len(p.b.datagrams) <= maxOutstanding
			})
		}
	}
}

func numbered(i int) string { return fmt.Sprintf("%03d", i) }

// allNumbered returns the numbered datagrams in the order in which they are sent.
func allNumbered() []string {
	var all []string
	for i := range sentDatagrams {
		all = append(all, numbered(i))
	}
	return all
}

// Each fault affects the traffic of its own direction as documented. It does not affect the
// opposite direction.
func TestUDPFaults(t *testing.T) {
	for _, test := range []struct {
		name        string
		fault       Fault
		least, most int // datagrams received
		check       func(t *testing.T, received []string, counters Counters)
	}{
		{"no fault", Fault{}, 200, 200, checkUnchanged},
		{"partition", Fault{Partitioned: true}, 0, 0, checkPartitioned},
		{"loss", Fault{Loss: 0.5}, 60, 140, checkLost},
		{"duplicates", Fault{Duplicate: 0.5}, 260, 340, checkDuplicated},
		{"corruption", Fault{Corrupt: 1}, 200, 200, checkCorrupted},
		{"reordering", Fault{Reorder: 0.3}, 200, 200, checkReordered},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			pair := newUDPPair(t)
			pair.proxy.Set("a", "b", test.fault)
			pair.sendNumbered(t)
			counters := pair.proxy.Counters("a", "b")
			if counters.Packets != sentDatagrams || counters.Bytes != 3*sentDatagrams {
				t.Errorf("counted %d packets and %d bytes, want %d and %d", counters.Packets, counters.Bytes, sentDatagrams, 3*sentDatagrams)
			}
			want := pair.forwarded()
			if want < test.least || want > test.most {
				t.Errorf("got %d datagrams forwarded, want %d to %d; counters %+v", want, test.least, test.most, counters)
			}
			received := pair.b.receive(t, want)
			pair.b.receiveNothing(t)
			test.check(t, received, counters)

			pair.b.send(t, pair.toA, "back")
			if got := pair.a.receive(t, 1)[0]; got != "back" {
				t.Errorf("a received %q from b, want \"back\"", got)
			}
		})
	}
}

func checkUnchanged(t *testing.T, received []string, counters Counters) {
	t.Helper()
	if !slices.Equal(received, allNumbered()) {
		t.Errorf("received %q, want all datagrams in order", received)
	}
	if want := (Counters{Packets: counters.Packets, Bytes: counters.Bytes}); counters != want {
		t.Errorf("counters %+v, want %+v", counters, want)
	}
}

func checkPartitioned(t *testing.T, _ []string, counters Counters) {
	t.Helper()
	if counters.Partitioned != sentDatagrams {
		t.Errorf("got %d datagrams counted as partitioned, want %d", counters.Partitioned, sentDatagrams)
	}
}

func checkLost(t *testing.T, _ []string, counters Counters) {
	t.Helper()
	if counters.Lost == 0 {
		t.Error("got no datagram counted as lost, want some")
	}
}

func checkDuplicated(t *testing.T, received []string, counters Counters) {
	t.Helper()
	if counters.Duplicated == 0 {
		t.Error("got no datagram counted as duplicated, want some")
	}
	slices.Sort(received)
	if got := slices.Compact(received); !slices.Equal(got, allNumbered()) {
		t.Errorf("received %q after removal of duplicates, want each datagram once", got)
	}
}

func checkCorrupted(t *testing.T, received []string, counters Counters) {
	t.Helper()
	if counters.Corrupted != sentDatagrams {
		t.Errorf("got %d datagrams counted as corrupted, want %d", counters.Corrupted, sentDatagrams)
	}
	for i, datagram := range received {
		if datagram == numbered(i) {
			t.Errorf("datagram %d is not corrupted", i)
		}
	}
}

func checkReordered(t *testing.T, received []string, _ Counters) {
	t.Helper()
	if slices.Equal(received, allNumbered()) {
		t.Error("received all datagrams in order, want some reordered")
	}
	slices.Sort(received)
	if !slices.Equal(received, allNumbered()) {
		t.Errorf("received %q, want each datagram once", received)
	}
}

// When datagrams arrive faster than the throughput limit allows, each datagram waits for up to
// maxQueueingDelay, one second. A datagram that would wait longer is lost.
func TestUDPThroughputIsLimited(t *testing.T) {
	const (
		perSecond = 100               // datagrams
		interval  = time.Second / 100 // between two datagrams
		tolerance = time.Millisecond  // for the rounding of the intervals
	)
	pair := newUDPPair(t)
	pair.proxy.Set("a", "b", Fault{BytesPerSecond: 3 * perSecond})
	startedAt := time.Now()
	pair.sendNumbered(t)
	sendingTime := time.Since(startedAt)
	forwarded := pair.forwarded()
	least := perSecond * int(maxQueueingDelay.Seconds())
	most := least + int(sendingTime/interval) + 1
	if forwarded < least || forwarded > most {
		t.Errorf("got %d datagrams forwarded after %v of sending, want %d to %d", forwarded, sendingTime, least, most)
	}
	pair.b.receive(t, forwarded)
	if elapsed := time.Since(startedAt); elapsed < time.Duration(forwarded)*interval-tolerance {
		t.Errorf("%d datagrams at a limit of %d a second arrived within %v, want a longer time", forwarded, perSecond, elapsed)
	}
	pair.b.receiveNothing(t)
	pair.b.send(t, pair.toA, "back")
	if got := pair.a.receive(t, 1)[0]; got != "back" {
		t.Errorf("a received %q from b, want \"back\"", got)
	}
}

func TestUDPDelay(t *testing.T) {
	const delay = 150 // ms
	pair := newUDPPair(t)
	pair.proxy.Set("a", "b", Fault{Delay: delay})
	sentAt := time.Now()
	pair.a.send(t, pair.toB, "late")
	pair.b.receive(t, 1)
	elapsed := time.Since(sentAt)
	if elapsed < delay*time.Millisecond || elapsed > quietPeriod {
		t.Errorf("received after %v, want at least %d ms and at most %v", elapsed, delay, quietPeriod)
	}
}

func TestHealRestoresUDP(t *testing.T) {
	pair := newUDPPair(t)
	pair.proxy.Partition([]string{"a"}, []string{"b"})
	pair.a.send(t, pair.toB, "lost")
	pair.waitForPackets(t, 1)
	pair.proxy.Heal()
	pair.a.send(t, pair.toB, "healed")
	if got := pair.b.receive(t, 1)[0]; got != "healed" {
		t.Errorf("received %q, want \"healed\"", got)
	}
}

// Datagrams of a sender whose address the proxy does not know are forwarded on a link of their own.
// The faults of known senders do not affect them.
func TestUnknownUDPSenderIsForwarded(t *testing.T) {
	pair := newUDPPair(t)
	pair.proxy.Set("a", "b", Fault{Partitioned: true})
	newParty(t).send(t, pair.toB, "unknown")
	if got := pair.b.receive(t, 1)[0]; got != "unknown" {
		t.Errorf("received %q, want \"unknown\"", got)
	}
	if got := pair.proxy.Counters("", "b").Packets; got != 1 {
		t.Errorf("got %d packets of unknown senders counted, want 1", got)
	}
}

func TestClosedProxyOpensNoSockets(t *testing.T) {
	proxy := New(1)
	proxy.Close()
	if _, err := proxy.UDP("a", newParty(t).address); !errors.Is(err, net.ErrClosed) {
		t.Errorf("UDP: got error %v, want %v", err, net.ErrClosed)
	}
	if _, err := proxy.TCP("a", "b", "127.0.0.1:1"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("TCP: got error %v, want %v", err, net.ErrClosed)
	}
}
