package faultproxy

import (
	"io"
	"net"
	"time"
)

// retransmitDelay is how late a piece of a stream is where a packet would be lost.
const retransmitDelay = 200.0

// TCP returns an address at which from reaches to, whose listener is at target.
func (p *Proxy) TCP(from, to, target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	if !p.track(listener) {
		return "", net.ErrClosed
	}
	p.forwarder.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			p.forwarder.Go(func() { p.forwardConnection(client, from, to, target) })
		}
	})
	return listener.Addr().String(), nil
}

// forwardConnection carries one connection until both directions have ended.
func (p *Proxy) forwardConnection(client net.Conn, from, to, target string) {
	if !p.track(client) {
		return
	}
	defer p.closeTracked(client)
	if !p.waitToForward(from, to, 0) { // a connection is not made across a cut
		return
	}
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	if !p.track(server) {
		return
	}
	defer p.closeTracked(server)
	backEnded := make(chan struct{})
	p.forwarder.Go(func() {
		defer close(backEnded)
		p.forwardStream(client, server, to, from)
	})
	p.forwardStream(server, client, from, to)
	<-backEnded
}

// forwardStream carries one direction. Its end closes that direction alone.
func (p *Proxy) forwardStream(dst, src net.Conn, from, to string) {
	buffer := make([]byte, 32<<10)
	for {
		size, err := src.Read(buffer)
		if size > 0 {
			if !p.waitToForward(from, to, size) {
				break
			}
			p.corruptPiece(from, to, buffer[:size])
			if _, err := dst.Write(buffer[:size]); err != nil {
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

// waitToForward waits until a piece may go on, and tells whether it may.
func (p *Proxy) waitToForward(from, to string, size int) bool {
	counted := false
	for {
		p.mu.Lock()
		state := p.link(from, to)
		fault, changed := state.fault, state.changed
		if !counted {
			counted = true
			state.counters.Packets++
			state.counters.Bytes += int64(size)
			if fault.Partitioned {
				state.counters.Partitioned++
			}
		}
		closed := p.closed
		delay := fault.Delay + fault.Jitter*p.random.Float64()
		if fault.Loss > 0 && p.random.Float64() < fault.Loss {
			state.counters.Lost++
			delay += retransmitDelay
		}
		if fault.BytesPerSecond > 0 {
			delay += float64(size) / fault.BytesPerSecond * 1000
		}
		p.mu.Unlock()
		switch {
		case closed || fault.HalfClosed:
			return false
		case !fault.Partitioned:
			time.Sleep(milliseconds(delay))
			return true
		}
		<-changed
	}
}

// corruptPiece changes a byte of a piece, if chance wants it.
func (p *Proxy) corruptPiece(from, to string, piece []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.link(from, to)
	if state.fault.Corrupt > 0 && p.random.Float64() < state.fault.Corrupt {
		state.counters.Corrupted++
		piece[p.random.IntN(len(piece))] ^= byte(1 + p.random.IntN(255))
	}
}
