package peers

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// Kinds of frames and states of records.
const (
	frameNothing = 0
	frameChanges = 2
	stateReady   = 0
	stateDrains  = 1
)

// heartbeat is the time between two empty frames.
const heartbeat = time.Second

// changeLog is a stand-in for the change log. Its numbers go on from those of the configuration.
type changeLog struct {
	listener net.Listener
	log      *record
	// answerAfter is the time that a new watch waits until its request is answered. From then on the
	// frames come at once.
	answerAfter time.Duration

	mu      sync.Mutex
	base    uint64 // number of the last event of the configuration
	events  [][]byte
	changed chan struct{} // closed and replaced when an event is added
}

func newChangeLog(log *record, base uint64, answerAfter time.Duration) (*changeLog, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &changeLog{listener: listener, log: log, base: base, answerAfter: answerAfter, changed: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go created.serve(conn)
		}
	}()
	return created, nil
}

// setState adds an event with a new state of a server. It counts as told from now on.
func (c *changeLog) setState(server *cache, state byte) {
	body := []byte{frameChanges}
	body = binary.BigEndian.AppendUint32(body, server.id)
	address := server.listener.Addr().(*net.TCPAddr)
	body = append(body, address.IP.To4()...)
	body = binary.BigEndian.AppendUint16(body, uint16(address.Port))
	body = append(body, state, 0, kindNumber(server.kind), 0, 0)
	body = binary.BigEndian.AppendUint32(body, uint32(serverWeight*1000))
	body = binary.BigEndian.AppendUint64(body, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, body)
	c.log.printf("change log: event %d, cache %s has state %d", c.base+uint64(len(c.events)), server.name(), state)
	close(c.changed)
	c.changed = make(chan struct{})
}

func frameOf(number uint64, body []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(8+len(body)))
	frame = binary.BigEndian.AppendUint64(frame, number)
	return append(frame, body...)
}

// serve answers one watch.
func (c *changeLog) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var request [8]byte
	if _, err := io.ReadFull(conn, request[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(request[:])
	c.log.printf("change log: a watch asks for events after %d", last)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = conn.Read(request[:])
	}()
	select {
	case <-gone:
		c.log.printf("change log: the watch has left before it was answered")
		return
	case <-time.After(c.answerAfter):
	}
	for {
		frames, changed := c.after(&last)
		if frames == nil {
			frames = frameOf(last, []byte{frameNothing})
		} else {
			c.log.printf("change log: told events up to %d", last)
		}
		if _, err := conn.Write(frames); err != nil {
			return
		}
		select {
		case <-gone:
			return
		case <-changed:
		case <-time.After(heartbeat):
		}
	}
}

// after returns the frames of the events after the last one, and moves last on.
func (c *changeLog) after(last *uint64) (frames []byte, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for *last >= c.base && *last < c.base+uint64(len(c.events)) {
		body := c.events[*last-c.base]
		*last++
		frames = append(frames, frameOf(*last, body)...)
	}
	return frames, c.changed
}
