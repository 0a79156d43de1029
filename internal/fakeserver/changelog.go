package fakeserver

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// heartbeatInterval is the maximum time between two frames on a connection. If a ChangeLog has no
// event to send for this time, it sends a heartbeat.
const heartbeatInterval = 400 * time.Millisecond

// Sizes of the fields of a frame, in bytes.
const (
	sequenceSize    = 8
	frameLengthSize = 4
)

// Frame types. The type is the first byte of a frame's body.
const (
	frameHeartbeat = 0
	frameEndpoints = 2
	framePurge     = 3
)

// weightScale is the factor by which a weight is multiplied to encode it as an integer.
const weightScale = 1000

// ChangeLog is a fake change log. On each connection, the client requests the events after a
// sequence number. The ChangeLog sends these events, and then each new event as it is added. While
// there are no new events, it sends heartbeats.
type ChangeLog struct {
	net.Listener

	mu      sync.Mutex
	frames  [][]byte // encoded events in order; the first event has sequence number base+1
	base    uint64
	changed chan struct{} // closed, and replaced, at each change
	closed  bool
}

// Endpoint is the state of a server that a change log announces.
type Endpoint struct {
	ID      uint32
	Addr    netip.AddrPort
	Phase   byte // 0 ready, 1 draining, 2 removed
	Kind    byte
	Weight  float64
	Started uint64 // start time in Unix ms
}

// NewChangeLog returns a change log that serves until it is closed. Its first event gets the
// sequence number base+1.
func NewChangeLog(base uint64) (*ChangeLog, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	changeLog := &ChangeLog{Listener: listener, base: base, changed: make(chan struct{})}
	go acceptLoop(listener, func(conn net.Conn) { go changeLog.serve(conn) })
	return changeLog, nil
}

// UpdateEndpoints adds an event that announces new states of endpoints.
func (c *ChangeLog) UpdateEndpoints(endpoints ...Endpoint) {
	body := []byte{frameEndpoints}
	for _, endpoint := range endpoints {
		body = endpoint.appendTo(body)
	}
	c.addEvent(body)
}

// appendTo appends the encoded endpoint to body. The zero bytes are fields of the protocol that the
// fake servers do not use.
func (e Endpoint) appendTo(body []byte) []byte {
	body = binary.BigEndian.AppendUint32(body, e.ID)
	ip := e.Addr.Addr().As4()
	body = append(body, ip[:]...)
	body = binary.BigEndian.AppendUint16(body, e.Addr.Port())
	body = append(body, e.Phase, 0, e.Kind, 0, 0)
	body = binary.BigEndian.AppendUint32(body, uint32(e.Weight*weightScale))
	return binary.BigEndian.AppendUint64(body, e.Started)
}

// Purge adds an event that announces the purge of an object. The time purgedAt is in Unix ms.
func (c *ChangeLog) Purge(object, purgedAt uint64) {
	body := binary.BigEndian.AppendUint64([]byte{framePurge}, object)
	c.addEvent(binary.BigEndian.AppendUint64(body, purgedAt))
}

// addEvent adds an event under the next sequence number and wakes all connections.
func (c *ChangeLog) addEvent(body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frames = append(c.frames, encodeFrame(c.lastSequence()+1, body))
	c.notifyChanged()
}

// Close closes the listener and tells the connections to end. It does not wait until they have
// ended.
func (c *ChangeLog) Close() error {
	c.mu.Lock()
	c.closed = true
	c.notifyChanged()
	c.mu.Unlock()
	return c.Listener.Close()
}

// notifyChanged wakes all connections. The caller holds c.mu.
func (c *ChangeLog) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// lastSequence returns the sequence number of the newest event. The caller holds c.mu.
func (c *ChangeLog) lastSequence() uint64 { return c.base + uint64(len(c.frames)) }

// encodeFrame returns a frame. It consists of the length of the rest of the frame, the sequence
// number and the body.
func encodeFrame(sequence uint64, body []byte) []byte {
	frame := make([]byte, 0, frameLengthSize+sequenceSize+len(body))
	frame = binary.BigEndian.AppendUint32(frame, uint32(sequenceSize+len(body)))
	frame = binary.BigEndian.AppendUint64(frame, sequence)
	return append(frame, body...)
}

// serve sends frames on a connection until a write fails or the change log is closed.
func (c *ChangeLog) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var request [sequenceSize]byte
	if _, err := io.ReadFull(conn, request[:]); err != nil {
		return
	}
	sequence := binary.BigEndian.Uint64(request[:])
	for {
		pending := c.framesAfter(sequence)
		if pending.closed {
			return
		}
		sequence = pending.sequence
		if pending.frames == nil {
			pending.frames = encodeFrame(sequence, []byte{frameHeartbeat})
		}
		if _, err := conn.Write(pending.frames); err != nil {
			return
		}
		select {
		case <-pending.changed:
		case <-time.After(heartbeatInterval):
		}
	}
}

// pendingFrames holds the data that is sent next on a connection.
type pendingFrames struct {
	frames   []byte          // nil if there are no new events
	sequence uint64          // sequence number that the client has reached once frames are sent
	changed  <-chan struct{} // closed at the next change
	closed   bool            // whether the change log is closed
}

// framesAfter returns the events after a sequence number. It returns all events if the number is
// lower than the number of the first event, and none if the number is equal to or higher than the
// number of the last event.
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
