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
const beat = 400 * time.Millisecond

// Teller is a stand-in change log that tells events: to each connection those after the
// number that it asks from, then what comes, and a word now and then.
type ChangeLog struct {
	net.Listener
	mu     sync.Mutex
	frames [][]byte // of the events, in order; the first has the number base+1
	base   uint64
	moved  chan struct{}
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
	t := &ChangeLog{Listener: l, base: base, moved: make(chan struct{})}
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
func (t *ChangeLog) UpdateEndpoints(hosts ...Endpoint) {
	b := []byte{2}
	for _, h := range hosts {
		b = binary.BigEndian.AppendUint32(b, h.ID)
		ip := h.Addr.Addr().As4()
		b = append(b, ip[:]...)
		b = binary.BigEndian.AppendUint16(b, h.Addr.Port())
		b = append(b, h.Phase, 0, h.Kind, 0, 0)
		b = binary.BigEndian.AppendUint32(b, uint32(h.Weight*1000))
		b = binary.BigEndian.AppendUint64(b, h.Started)
	}
	t.tell(b)
}

// Purge tells that an object was purged at a moment, Unix ms.
func (t *ChangeLog) Purge(object, at uint64) {
	b := binary.BigEndian.AppendUint64([]byte{3}, object)
	t.tell(binary.BigEndian.AppendUint64(b, at))
}

func (t *ChangeLog) tell(body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.frames = append(t.frames, frame(t.base+uint64(len(t.frames))+1, body))
	close(t.moved)
	t.moved = make(chan struct{})
}

func frame(seq uint64, body []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(body)))
	return append(binary.BigEndian.AppendUint64(b, seq), body...)
}

// Close ends the log and its connections.
func (t *ChangeLog) Close() error {
	t.mu.Lock()
	t.closed = true
	close(t.moved)
	t.moved = make(chan struct{})
	t.mu.Unlock()
	return t.Listener.Close()
}

func (t *ChangeLog) serve(conn net.Conn) {
	defer conn.Close()
	var b [8]byte
	if _, err := io.ReadFull(conn, b[:]); err != nil {
		return
	}
	for seq := binary.BigEndian.Uint64(b[:]); ; {
		t.mu.Lock()
		moved, closed := t.moved, t.closed
		var out []byte
		for ; seq < t.base+uint64(len(t.frames)); seq++ {
			if seq >= t.base {
				out = append(out, t.frames[seq-t.base]...)
			}
		}
		t.mu.Unlock()
		if closed {
			return
		}
		if out == nil {
			out = frame(seq, []byte{0})
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
		select {
		case <-moved:
		case <-time.After(beat):
		}
	}
}
