package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	// connectTimeout is how long the proxy waits for the connection to a target.
	connectTimeout = time.Second
	// maxPieceSize is how many bytes of a stream are read and forwarded at once.
	maxPieceSize = 32 << 10
)

// TCP returns the address at which one party reaches another, whose listener is at target. Each pair
// of parties needs an address of its own. It returns net.ErrClosed if the proxy is closed.
func (p *Proxy) TCP(from, to, target string) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", net.JoinHostPort(loopback.String(), "0"))
	if err != nil {
		return "", err
	}
	if !p.track(listener) {
		return "", net.ErrClosed
	}
	p.forwarders.Go(func() { p.acceptConnections(listener, direction{from, to}, target) })
	return listener.Addr().String(), nil
}

// acceptConnections forwards each connection that a listener accepts, until it is closed.
func (p *Proxy) acceptConnections(listener net.Listener, way direction, target string) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.forwarders.Go(func() { p.forwardConnection(client, way, target) })
	}
}

// forwardConnection forwards one connection until both directions have ended. A connection to the
// target is established only once the link is not partitioned.
func (p *Proxy) forwardConnection(client net.Conn, way direction, target string) {
	if !p.track(client) {
		return
	}
	defer p.closeTracked(client)
	if !p.waitToForward(way, 0) {
		return
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	server, err := dialer.DialContext(context.Background(), "tcp", target)
	if err != nil {
		return
	}
	if !p.track(server) {
		return
	}
	defer p.closeTracked(server)
	backEnded := make(chan struct{})
	p.forwarders.Go(func() {
		defer close(backEnded)
		p.forwardStream(client, server, direction{way.to, way.from})
	})
	p.forwardStream(server, client, way)
	<-backEnded
}

// forwardStream forwards one direction of a connection until it ends. A regular end closes this
// direction alone; a connection that broke is closed on the other side too.
func (p *Proxy) forwardStream(dst, src net.Conn, way direction) {
	buffer := make([]byte, maxPieceSize)
	for {
		size, err := src.Read(buffer)
		if size > 0 && !p.forwardPiece(dst, src, way, buffer[:size]) {
			break
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			closeIgnoringError(dst)
			return
		}
	}
	if tcp, ok := dst.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // it fails only if the connection is closed already
	}
}

// forwardPiece forwards a piece of a stream, and reports whether more may follow it.
func (p *Proxy) forwardPiece(dst, src net.Conn, way direction, piece []byte) bool {
	if !p.waitToForward(way, len(piece)) {
		return false
	}
	p.corruptPiece(way, piece)
	if _, err := dst.Write(piece); err != nil {
		// Otherwise the sender would not learn that its peer is gone and would send for ever.
		closeIgnoringError(src)
		return false
	}
	return true
}

// waitToForward waits until a piece of a stream, or with a size of 0 a new connection, may be
// forwarded. It reports false if it never may: the direction is half-closed or the proxy closed.
func (p *Proxy) waitToForward(way direction, size int) bool {
	p.mu.Lock()
	state := p.link(way)
	state.countPiece(size)
	for {
		fault := state.fault
		changed := state.changed
		closed := p.closed
		delay := p.pieceDelay(state, size)
		p.mu.Unlock()
		switch {
		case closed || fault.HalfClosed:
			return false
		case !fault.Partitioned:
			time.Sleep(delay)
			return true
		}
		<-changed
		p.mu.Lock()
	}
}

// corruptPiece changes one byte of some pieces of a stream.
func (p *Proxy) corruptPiece(way direction, piece []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.corrupt(p.link(way), piece)
}

// countPiece counts a piece of a stream. The caller holds the lock.
func (l *link) countPiece(size int) {
	l.counters.Packets++
	l.counters.Bytes += int64(size)
	if l.fault.Partitioned {
		l.counters.Partitioned++
	}
}

// pieceDelay draws how late a piece of a stream is. The caller holds the lock.
func (p *Proxy) pieceDelay(state *link, size int) time.Duration {
	delay := p.delay(state) // ms
	if p.chance(state.fault.Loss) {
		state.counters.Lost++
		delay += retransmitDelay
	}
	if state.fault.BytesPerSecond > 0 {
		delay += float64(size) / state.fault.BytesPerSecond * 1000
	}
	return milliseconds(delay)
}
