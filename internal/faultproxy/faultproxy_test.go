package faultproxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"
)

// party is a UDP socket.
type party struct {
	*net.UDPConn
	addr netip.AddrPort
}

func newParty(t *testing.T) party {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return party{c, c.LocalAddr().(*net.UDPAddr).AddrPort()}
}

// got reads until n packets came or none comes for a while.
func (p party) got(n int) (all []string) {
	b := make([]byte, 2000)
	for len(all) < n {
		p.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
		k, _, err := p.ReadFromUDPAddrPort(b)
		if err != nil {
			return all
		}
		all = append(all, string(b[:k]))
	}
	return all
}

// Each direction has its own faults, and each fault does what it says.
func TestDatagrams(t *testing.T) {
	n := New(1)
	t.Cleanup(n.Close)
	a, b := newParty(t), newParty(t)
	toA, err := n.UDP("a", a.addr)
	if err != nil {
		t.Fatal(err)
	}
	toB, err := n.UDP("b", b.addr)
	if err != nil {
		t.Fatal(err)
	}
	send := func(k int) {
		for i := range k {
			a.WriteToUDPAddrPort(fmt.Appendf(nil, "%03d", i), toB)
			if i%50 == 49 {
				time.Sleep(time.Millisecond) // no more than a socket holds at once
			}
		}
	}
	for _, x := range []struct {
		f          Fault
		least, top int // of 200 sent
		check      func(all []string) bool
	}{
		{Fault{}, 200, 200, func(all []string) bool { return all[0] == "000" && all[199] == "199" }},
		{Fault{Partitioned: true}, 0, 0, nil},
		{Fault{Loss: 0.5}, 60, 140, nil},
		{Fault{Duplicate: 0.5}, 260, 340, nil},
		{Fault{Corrupt: 1}, 200, 200, func(all []string) bool { return all[0] != "000" && all[7] != "007" }},
		{Fault{Reorder: 0.3}, 200, 200, func(all []string) bool {
			for i := range all {
				if all[i] != fmt.Sprintf("%03d", i) {
					return true
				}
			}
			return false
		}},
		{Fault{BytesPerSecond: 300}, 50, 140, nil}, // 100 packets a second, and a second's worth waits
	} {
		n.Set("a", "b", x.f)
		send(200)
		all := b.got(500)
		if len(all) < x.least || len(all) > x.top || x.check != nil && !x.check(all) {
			t.Errorf("%v: %d came, want %d to %d: %v", x.f, len(all), x.least, x.top, all[:min(5, len(all))])
		}
		b.WriteToUDPAddrPort([]byte("back"), toA)
		if all := a.got(1); len(all) != 1 || all[0] != "back" {
			t.Errorf("%v from a to b: from b to a came %q", x.f, all)
		}
	}
	n.Set("a", "b", Fault{Delay: 150})
	began := time.Now()
	send(1)
	if all := b.got(1); len(all) != 1 || time.Since(began) < 150*time.Millisecond {
		t.Errorf("delayed by 150 ms it came after %v", time.Since(began))
	}
	c := n.Counters("a", "b")
	if c.Packets != 7*200+1 || c.Partitioned != 200 || c.Lost == 0 || c.Duplicated == 0 || c.Corrupted != 200 || len(n.Log()) != 8 {
		t.Errorf("%+v, %d changes", c, len(n.Log()))
	}
	n.Heal()
	newParty(t).WriteToUDPAddrPort([]byte("x"), toB) // a stranger passes too
	if all := b.got(1); len(all) != 1 {
		t.Error("a stranger's packet did not come")
	}
}

// A stream waits in a cut and goes on after it; one direction closes by itself; no new
// connection comes up across a cut.
func TestStreams(t *testing.T) {
	n := New(2)
	t.Cleanup(n.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	addr, err := n.TCP("a", "b", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	join := func() (near, far net.Conn) {
		near, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if far, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { near.Close(); far.Close() })
		return near, far
	}
	comes := func(c net.Conn, want string, within time.Duration) bool {
		b := make([]byte, len(want))
		c.SetReadDeadline(time.Now().Add(within))
		_, err := io.ReadFull(c, b)
		return err == nil && string(b) == want
	}
	near, far := join()
	near.Write([]byte("there"))
	far.Write([]byte("back"))
	if !comes(far, "there", 5*time.Second) || !comes(near, "back", 5*time.Second) {
		t.Fatal("a sound line does not carry")
	}
	n.Set("a", "b", Fault{Partitioned: true})
	near.Write([]byte("late"))
	far.Write([]byte("free"))
	if comes(far, "late", 300*time.Millisecond) || !comes(near, "free", 5*time.Second) {
		t.Error("a cut of one direction is none, or one of both")
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		defer c.Close()
		l.(*net.TCPListener).SetDeadline(time.Now().Add(300 * time.Millisecond))
		if _, err := l.Accept(); err == nil {
			t.Error("a connection came up across a cut")
		}
		l.(*net.TCPListener).SetDeadline(time.Time{})
	}
	n.Heal()
	if !comes(far, "late", 5*time.Second) {
		t.Error("what waited did not come after the cut")
	}
	if c, err := l.Accept(); err != nil { // the connection that waited too
		t.Error(err)
	} else {
		c.Close()
	}
	near, far = join()
	n.Set("a", "b", Fault{HalfClosed: true})
	near.Write([]byte("x"))
	far.SetReadDeadline(time.Now().Add(5 * time.Second))
	if b, err := io.ReadAll(far); err != nil || len(b) != 0 {
		t.Errorf("half closed: %q, %v", b, err)
	}
	far.Write([]byte("open"))
	if !comes(near, "open", 5*time.Second) {
		t.Error("the other direction is closed too")
	}
	n.Heal()
	near, far = join()
	n.Set("a", "b", Fault{BytesPerSecond: 100_000})
	began := time.Now()
	go near.Write(bytes.Repeat([]byte("x"), 50_000))
	if _, err := io.CopyN(io.Discard, far, 50_000); err != nil || time.Since(began) < 400*time.Millisecond {
		t.Errorf("50 KB at 100 KB/s after %v, %v", time.Since(began), err)
	}
}

func TestSchedules(t *testing.T) {
	kinds := []Fault{{Partitioned: true}, {Loss: 0.5}}
	a, b := RandomSchedule(7, []string{"x", "y", "z"}, kinds, 20, time.Second), RandomSchedule(7, []string{"x", "y", "z"}, kinds, 20, time.Second)
	if len(a) != 40 || !reflect.DeepEqual(a, b) || reflect.DeepEqual(a, RandomSchedule(8, []string{"x", "y", "z"}, kinds, 20, time.Second)) {
		t.Errorf("%d steps, or a seed that is none", len(a))
	}
	n := New(1)
	defer n.Close()
	n.RunSchedule(RandomSchedule(7, []string{"x", "y", "z"}, kinds, 20, 50*time.Millisecond), nil)
	if l := n.Log(); len(l) != 40 {
		t.Errorf("%d changes", len(l))
	}
	for i, x := range a {
		if x.From == x.To || i > 0 && x.At < a[i-1].At || x.At > time.Second {
			t.Errorf("step %d: %+v", i, x)
		}
	}
}
