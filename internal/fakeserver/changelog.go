package fakeserver

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// beat is how often a teller says something where there is nothing new.
const heartbeatInterval = 400 * time.Millisecond

// Teller is a stand-in change log that tells events: to each connection those after the
// number that it asks from, then what comes, and a word now and then.
type ChangeLog struct {
	net.Listener
	mu     sync.Mutex
	frames [][]byte // of the events, in order; the first has the number base+1
	base   uint64
	changed  chan struct{}
	closed bool
}

// Listed is a box as a change log tells it.
type Endpoint struct {
	ID      uint32
	Addr    netip.AddrPort
	Phase   byte // 0 ready, 1 draining, 2 gone
	Kind    byte
	Weight  float64
	Started uint64 // Unix ms
}

// NewTeller returns a change log whose first event will have the number base+1.
func NewChangeLog(base uint64) (*ChangeLog, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &ChangeLog{Listener: l, base: base, changed: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
	return t, nil
}

// Change tells that boxes changed.
func (t *ChangeLog) UpdateEndpoints(endpoints ...Endpoint) {
	body := []byte{2}
	for _, endpoint := range endpoints {
		body = binary.BigEndian.AppendUint32(body, endpoint.ID)
		ip := endpoint.Addr.Addr().As4()
		body = append(body, ip[:]...)
		body = binary.BigEndian.AppendUint16(body, endpoint.Addr.Port())
		body = append(body, endpoint.Phase, 0, endpoint.Kind, 0, 0)
		body = binary.BigEndian.AppendUint32(body, uint32(endpoint.Weight*1000))
		body = binary.BigEndian.AppendUint64(body, endpoint.Started)
	}
	t.appendEvent(body)
}

// Purge tells that an object was purged at a moment, Unix ms.
func (t *ChangeLog) Purge(object, at uint64) {
	body := binary.BigEndian.AppendUint64([]byte{3}, object)
	t.appendEvent(binary.BigEndian.AppendUint64(body, at))
}

func (t *ChangeLog) appendEvent(body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.frames = append(t.frames, encodeFrame(t.base+uint64(len(t.frames))+1, body))
	close(t.changed)
	t.changed = make(chan struct{})
}

func encodeFrame(seq uint64, body []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(body)))
	return append(binary.BigEndian.AppendUint64(b, seq), body...)
}

// Close ends the log and its connections.
func (t *ChangeLog) Close() error {
	t.mu.Lock()
	t.closed = true
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
	return t.Listener.Close()
}

func (t *ChangeLog) serve(conn net.Conn) {
	defer conn.Close()
	var request [8]byte
	if _, err := io.ReadFull(conn, request[:]); err != nil {
		return
	}
	for seq := binary.BigEndian.Uint64(request[:]); ; {
		t.mu.Lock()
		changed, closed := t.changed, t.closed
		var frames []byte
		for ; seq < t.base+uint64(len(t.frames)); seq++ {
			if seq >= t.base {
				frames = append(frames, t.frames[seq-t.base]...)
			}
		}
		t.mu.Unlock()
		if closed {
			return
		}
		if frames == nil {
			frames = encodeFrame(seq, []byte{0})
		}
		if _, err := conn.Write(frames); err != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
		}
	}
}
