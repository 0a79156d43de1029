package fakeserver

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// heartbeatInterval is how long a connection of a ChangeLog stays without a frame.
const heartbeatInterval = 400 * time.Millisecond

// Sizes of parts of frames, bytes.
const (
	sequenceSize    = 8
	frameLengthSize = 4
)

// The first byte of a frame's body.
const (
	frameHeartbeat = 0
	frameEndpoints = 2
	framePurge     = 3
)

// weightScale is what a weight is multiplied by on the wire.
const weightScale = 1000

// ChangeLog is a fake change log that sends events: to each connection those after the
// sequence number that it requests, then new ones as they are added, and heartbeats.
type ChangeLog struct {
	net.Listener

	mu      sync.Mutex
	frames  [][]byte // of the events, in order; the first has the number base+1
	base    uint64
	changed chan struct{} // closed, and replaced, at each change
	closed  bool
}

// Endpoint is a server as a change log announces it.
type Endpoint struct {
	ID      uint32
	Addr    netip.AddrPort
	Phase   byte // 0 ready, 1 draining, 2 removed
	Kind    byte
	Weight  float64
	Started uint64 // Unix ms
}

// NewChangeLog returns a change log whose first event will have the sequence number base+1. It
// serves until it is closed.
func NewChangeLog(base uint64) (*ChangeLog, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	changeLog := &ChangeLog{Listener: listener, base: base, changed: make(chan struct{})}
	go acceptLoop(listener, func(conn net.Conn) { go changeLog.serve(conn) })
	return changeLog, nil
}

// UpdateEndpoints adds an event that endpoints changed.
func (c *ChangeLog) UpdateEndpoints(endpoints ...Endpoint) {
	body := []byte{frameEndpoints}
	for _, endpoint := range endpoints {
		body = endpoint.appendTo(body)
	}
	c.addEvent(body)
}

// appendTo appends the endpoint as it is on the wire. Its bytes of zero are not used by the
// fake servers.
func (e Endpoint) appendTo(body []byte) []byte {
	body = binary.BigEndian.AppendUint32(body, e.ID)
	ip := e.Addr.Addr().As4()
	body = append(body, ip[:]...)
	body = binary.BigEndian.AppendUint16(body, e.Addr.Port())
	body = append(body, e.Phase, 0, e.Kind, 0, 0)
	body = binary.BigEndian.AppendUint32(body, uint32(e.Weight*weightScale))
	return binary.BigEndian.AppendUint64(body, e.Started)
}

// Purge adds an event that an object was purged at a time, Unix ms.
func (c *ChangeLog) Purge(object, at uint64) {
	body := binary.BigEndian.AppendUint64([]byte{framePurge}, object)
	c.addEvent(binary.BigEndian.AppendUint64(body, at))
}

// addEvent gives an event the next sequence number and wakes all connections.
func (c *ChangeLog) addEvent(body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frames = append(c.frames, encodeFrame(c.lastSequence()+1, body))
	c.notifyChanged()
}

// Close closes the listener and ends the connections; it does not wait for them.
func (c *ChangeLog) Close() error {
	c.mu.Lock()
	c.closed = true
	c.notifyChanged()
	c.mu.Unlock()
	return c.Listener.Close()
}

// notifyChanged wakes all connections; c.mu is held.
func (c *ChangeLog) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// lastSequence is the number of the newest event; c.mu is held.
func (c *ChangeLog) lastSequence() uint64 { return c.base + uint64(len(c.frames)) }

// encodeFrame returns a frame: the length of what follows, the sequence number, the body.
func encodeFrame(sequence uint64, body []byte) []byte {
	frame := make([]byte, 0, frameLengthSize+sequenceSize+len(body))
	frame = binary.BigEndian.AppendUint32(frame, uint32(sequenceSize+len(body)))
	frame = binary.BigEndian.AppendUint64(frame, sequence)
	return append(frame, body...)
}

// serve sends frames on a connection until it breaks or the change log is closed.
func (c *ChangeLog) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var request [sequenceSize]byte
	if _, err := io.ReadFull(conn, request[:]); err != nil {
		return
	}
	sequence := binary.BigEndian.Uint64(request[:])
	for {
		next := c.framesAfter(sequence)
		if next.closed {
			return
		}
		sequence = next.sequence
		if next.frames == nil {
			next.frames = encodeFrame(sequence, []byte{frameHeartbeat})
		}
		if _, err := conn.Write(next.frames); err != nil {
			return
		}
		select {
		case <-next.changed:
		case <-time.After(heartbeatInterval):
		}
	}
}

// pendingFrames is what a connection has to send.
type pendingFrames struct {
	frames   []byte          // nil if there is nothing new
	sequence uint64          // after frames
	changed  <-chan struct{} // closed when there is more
	closed   bool            // the change log is
}

// framesAfter returns the events after a sequence number. A number before the first event
// yields all events, one after the last yields none.
func (c *ChangeLog) framesAfter(sequence uint64) pendingFrames {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := pendingFrames{changed: c.changed, closed: c.closed}
	for ; sequence < c.lastSequence(); sequence++ {
		if sequence >= c.base {
			pending.frames = append(pending.frames, c.frames[sequence-c.base]...)
		}
	}
	pending.sequence = sequence
	return pending
}
