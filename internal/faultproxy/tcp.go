package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	// connectTimeout is the time limit for the connection to a target.
	connectTimeout = time.Second
	// maxPieceSize is the maximum number of bytes of a stream that are read and forwarded at once.
	maxPieceSize = 32 << 10
)

// TCP returns the address at which the party from reaches the party to, whose listener is at
// target. Each ordered pair of parties needs its own address. TCP returns net.ErrClosed if the
// proxy is closed.
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

// forwardConnection forwards one connection until both directions have ended. It waits for the end
// of a partition before it connects to the target.
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
	backEnded := make(chan struct{})
	p.forwarders.Go(func() {
		defer close(backEnded)
		p.forwardStream(client, server, direction{dir.to, dir.from})
	})
	p.forwardStream(server, client, dir)
	<-backEnded
}

// forwardStream forwards one direction of a connection until it ends. At the end of the stream it
// closes only this direction of dst; after a read error it closes dst.
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

// forwardPiece forwards a piece of a stream, and reports whether more pieces may follow.
func (p *Proxy) forwardPiece(dst, src net.Conn, dir direction, piece []byte) bool {
	if !p.waitToForward(dir, len(piece)) {
		return false
	}
	p.corruptPiece(dir, piece)
	if _, err := dst.Write(piece); err != nil {
		// An open connection would hide from the sender that its peer is gone.
		closeIgnoringError(src)
		return false
	}
	return true
}

// waitToForward waits until a piece of a stream, or with a size of 0 a new connection, may be
// forwarded. It returns false if forwarding is not possible, because the direction is half-closed
// or the proxy is closed.
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

// corruptPiece changes one byte of the piece if the piece is drawn for corruption.
func (p *Proxy) corruptPiece(dir direction, piece []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.corrupt(p.link(dir), piece)
}

// countPiece counts a piece of a stream, or with a size of 0 a new connection. The caller holds the
// lock.
func (l *link) countPiece(size int) {
	l.counters.Packets++
	l.counters.Bytes += int64(size)
	if l.fault.Partitioned {
		l.counters.Partitioned++
	}
}

// pieceDelay draws the delay of a piece of a stream. The caller holds the lock.
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
