package faultproxy

import (
	"io"
	"net"
	"time"
)

// retransmit is how late a piece of a stream is where a packet would be lost.
const retransmit = 200.0

// TCP returns an address at which from reaches to, whose listener is at target.
func (n *Proxy) TCP(from, to, target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	if !n.keep(l) {
		return "", net.ErrClosed
	}
	n.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.wg.Go(func() { n.stream(c, from, to, target) })
		}
	})
	return l.Addr().String(), nil
}

// stream carries one connection until both directions have ended.
func (n *Proxy) stream(c net.Conn, from, to, target string) {
	if !n.keep(c) {
		return
	}
	defer n.drop(c)
	if !n.pass(from, to, 0) { // a connection is not made across a cut
		return
	}
	d, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	if !n.keep(d) {
		return
	}
	defer n.drop(d)
	back := make(chan struct{})
	n.wg.Go(func() {
		defer close(back)
		n.pump(c, d, to, from)
	})
	n.pump(d, c, from, to)
	<-back
}

// pump carries one direction. Its end closes that direction alone.
func (n *Proxy) pump(dst, src net.Conn, from, to string) {
	b := make([]byte, 32<<10)
	for {
		k, err := src.Read(b)
		if k > 0 {
			if !n.pass(from, to, k) {
				break
			}
			n.spoil(from, to, b[:k])
			if _, err := dst.Write(b[:k]); err != nil {
				// The writer is to feel it, or it would write into the void for ever.
				src.Close()
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				dst.Close()
				return
			}
			break
		}
	}
	if t, ok := dst.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// pass waits until a piece may go on, and tells whether it may.
func (n *Proxy) pass(from, to string, k int) bool {
	counted := false
	for {
		n.mu.Lock()
		l := n.line(from, to)
		f, moved := l.fault, l.moved
		if !counted {
			counted = true
			l.count.Packets++
			l.count.Bytes += int64(k)
			if f.Partitioned {
				l.count.Partitioned++
			}
		}
		closed := n.closed
		wait := f.Delay + f.Jitter*n.rng.Float64()
		if f.Loss > 0 && n.rng.Float64() < f.Loss {
			l.count.Lost++
			wait += retransmit
		}
		if f.BytesPerSecond > 0 {
			wait += float64(k) / f.BytesPerSecond * 1000
		}
		n.mu.Unlock()
		switch {
		case closed || f.HalfClosed:
			return false
		case !f.Partitioned:
			time.Sleep(ms(wait))
			return true
		}
		<-moved
	}
}

// spoil changes a byte of a piece, if chance wants it.
func (n *Proxy) spoil(from, to string, b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.line(from, to)
	if l.fault.Corrupt > 0 && n.rng.Float64() < l.fault.Corrupt {
		l.count.Corrupted++
		b[n.rng.IntN(len(b))] ^= byte(1 + n.rng.IntN(255))
	}
}
