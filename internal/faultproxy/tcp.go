package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	// connectTimeout is the time limit for connecting to a target.
	connectTimeout = time.Second
	// maxPieceSize is the maximum number of bytes of a stream that are read and forwarded at once.
	maxPieceSize = 32 << 10
)

// TCP returns the address of a new listener of the proxy. The endpoint clientName connects to this
// address to reach the endpoint serverName. The proxy forwards each connection to target, the
// address of serverName's own listener. Each ordered pair of endpoints needs its own call. TCP
// returns net.ErrClosed if the proxy is closed.
func (p *Proxy) TCP(clientName, serverName, target string) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", net.JoinHostPort(loopback.String(), "0"))
	if err != nil {
		return "", err
	}
	if !p.track(listener) {
		return "", net.ErrClosed
	}
	p.forwarders.Go(func() { p.acceptConnections(listener, direction{clientName, serverName}, target) })
	return listener.Addr().String(), nil
}

// acceptConnections accepts and forwards connections until the listener is closed.
func (p *Proxy) acceptConnections(listener net.Listener, dir direction, target string) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.forwarders.Go(func() { p.forwardConnection(client, dir, target) })
	}
}

// forwardConnection forwards one connection until both directions have ended. If the direction is
// partitioned, forwardConnection connects to the target after the partition has healed.
func (p *Proxy) forwardConnection(client net.Conn, dir direction, target string) {
	if !p.track(client) {
		return
	}
	defer p.closeTracked(client)
	if !p.waitToForward(dir, 0) {
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
	reverseEnded := make(chan struct{})
	p.forwarders.Go(func() {
		defer close(reverseEnded)
		p.forwardStream(client, server, direction{dir.to, dir.from})
	})
	p.forwardStream(server, client, dir)
	<-reverseEnded
}

// forwardStream forwards one direction of a connection until that direction ends. When the stream
// ends or can no longer be forwarded, forwardStream closes only the writing side of dst. After a
// read error it closes dst completely.
func (p *Proxy) forwardStream(dst, src net.Conn, dir direction) {
	buffer := make([]byte, maxPieceSize)
	for {
		size, err := src.Read(buffer)
		if size > 0 && !p.forwardPiece(dst, src, dir, buffer[:size]) {
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
		_ = tcp.CloseWrite() // the only possible error is that the connection is closed already
	}
}

// forwardPiece forwards a piece of a stream, that is, the data of one read, and reports whether more
// pieces may follow.
func (p *Proxy) forwardPiece(dst, src net.Conn, dir direction, piece []byte) bool {
	if !p.waitToForward(dir, len(piece)) {
		return false
	}
	p.corruptPiece(dir, piece)
	if _, err := dst.Write(piece); err != nil {
		// If src stayed open, the sender would not learn that its peer is gone.
		closeIgnoringError(src)
		return false
	}
	return true
}

// waitToForward waits until a piece of a stream may be forwarded. A size of 0 stands for a new
// connection. waitToForward returns false if nothing may be forwarded, because the direction is
// half-closed or the proxy is closed.
func (p *Proxy) waitToForward(dir direction, size int) bool {
	p.mu.Lock()
	state := p.link(dir)
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

// corruptPiece changes one byte of the piece with the probability that the direction's fault
// specifies.
func (p *Proxy) corruptPiece(dir direction, piece []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.corrupt(p.link(dir), piece)
}

// countPiece counts a piece of a stream. A size of 0 stands for a new connection. The caller holds
// Proxy.mu.
func (l *link) countPiece(size int) {
	l.counters.Packets++
	l.counters.Bytes += int64(size)
	if l.fault.Partitioned {
		l.counters.Partitioned++
	}
}

// pieceDelay draws the delay of a piece of a stream. The caller holds p.mu.
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
