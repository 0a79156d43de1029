package standin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// heartbeatInterval is the interval of the empty frames.
const heartbeatInterval = time.Second

// States of a server in the list.
const (
	Ready = iota
	Draining
	Gone
)

// Kinds of frames.
const (
	frameEmpty   = 0
	frameChanges = 2
	frameObject  = 3
)

// stateNames are the states of a server in JSON.
var stateNames = [...]string{"ready", "draining", "gone"}

// Host is a server of the list. Kind is a place in the settings' kinds.
type Host struct {
	ID    uint32
	Addr  string
	State int
	Kind  int
}

// Name returns the id as text.
func (h Host) Name() string { return fmt.Sprintf("s-%08x", h.ID) }

// ChangeLog is the platform's change log. Event 1 is the whole list, which routers find in their
// configuration.
type ChangeLog struct {
	Addr string

	run      *Run
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	frames   [][]byte // events from number 2 on
	changed  chan struct{}
}

// NewChangeLog starts a change log on a free port.
func (r *Run) NewChangeLog() (*ChangeLog, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	changeLog := &ChangeLog{Addr: listener.Addr().String(), run: r, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	changeLog.serve(listener)
	r.OnClose(func() { changeLog.Break() })
	return changeLog, nil
}

// serve accepts connections until Break closes the listener.
func (c *ChangeLog) serve(listener net.Listener) {
	c.mu.Lock()
	c.listener = listener
	c.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns[conn] = true
			c.mu.Unlock()
			go c.serveConn(conn)
		}
	}()
}

// serveConn sends the events after the number that the router writes, then each later event, and an
// empty frame each second.
func (c *ChangeLog) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	var number [8]byte
	if _, err := io.ReadFull(conn, number[:]); err != nil {
		return
	}
	has := binary.BigEndian.Uint64(number[:])
	for {
		c.mu.Lock()
		var pending []byte
		for ; has < c.last(); has++ {
			pending = append(pending, c.frames[has-1]...)
		}
		changed := c.changed
		c.mu.Unlock()
		if pending == nil {
			pending = frame(has, frameEmpty, nil)
		}
		if _, err := conn.Write(pending); err != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
		}
	}
}

// last returns the number of the last event. The caller holds c.mu.
func (c *ChangeLog) last() uint64 { return uint64(len(c.frames)) + 1 }

// add adds an event.
func (c *ChangeLog) add(kind byte, payload []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frames = append(c.frames, frame(c.last()+1, kind, payload))
	close(c.changed)
	c.changed = make(chan struct{})
}

func frame(number uint64, kind byte, payload []byte) []byte {
	text := binary.BigEndian.AppendUint32(nil, uint32(8+1+len(payload)))
	text = binary.BigEndian.AppendUint64(text, number)
	return append(append(text, kind), payload...)
}

// Change adds changes of the list.
func (c *ChangeLog) Change(hosts ...Host) {
	var payload []byte
	for _, host := range hosts {
		addr := netip.MustParseAddrPort(host.Addr)
		ip := addr.Addr().As4()
		payload = binary.BigEndian.AppendUint32(payload, host.ID)
		payload = append(payload, ip[:]...)
		payload = binary.BigEndian.AppendUint16(payload, addr.Port())
		payload = append(payload, byte(host.State), 0, byte(host.Kind), 0, 0)
		payload = binary.BigEndian.AppendUint32(payload, hostWeight*1000)
		payload = binary.BigEndian.AppendUint64(payload, 0)
	}
	c.add(frameChanges, payload)
}

func objectPurge(object uint64, at time.Time) []byte {
	payload := binary.BigEndian.AppendUint64(nil, object)
	return binary.BigEndian.AppendUint64(payload, uint64(at.UnixMilli()))
}

// PurgeObject adds the purge of an object.
func (c *ChangeLog) PurgeObject(object uint64, at time.Time) {
	c.add(frameObject, objectPurge(object, at))
}

// BreakWithin breaks off partway through the event of an object's purge: the purge is in the log,
// half of its frame is written, and the change log is down from then on.
func (c *ChangeLog) BreakWithin(object uint64, at time.Time) {
	c.mu.Lock()
	event := frame(c.last()+1, frameObject, objectPurge(object, at))
	c.frames = append(c.frames, event)
	for conn := range c.conns {
		_, _ = conn.Write(event[:len(event)/2])
	}
	c.mu.Unlock()
	c.Break()
}

// Break takes the change log down: connections end, and new ones are refused.
func (c *ChangeLog) Break() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener != nil {
		_ = c.listener.Close()
	}
	for conn := range c.conns {
		_ = conn.Close()
	}
}

// Resume brings the change log back at the same address.
func (c *ChangeLog) Resume() error {
	listener, err := net.Listen("tcp4", c.Addr) //nolint:noctx // a listener that lives as long as the case
	if err == nil {
		c.serve(listener)
	}
	return err
}

// hostWeight is the weight of every server in the list.
const hostWeight = 100

// Document returns the platform's configuration of a router, with the whole list as event 1.
func (c *ChangeLog) Document(name, listen, settings string, kinds []string, hosts ...Host) ([]byte, error) {
	list := []map[string]any{}
	for _, host := range hosts {
		list = append(list, map[string]any{
			"host": host.Name(), "dial": host.Addr, "site": "edge", "class": kinds[host.Kind],
			"block": 0, "health": stateNames[host.State], "share": hostWeight, "born_ms": 0,
		})
	}
	return json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "seed": "8c1f30d27a5be964", "changelog": c.Addr,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"seq": 1, "results": []any{
			map[string]any{"seq": 1, "fleet": map[string]any{"seq": 1, "whole": true, "hosts": list}},
		}},
		"settings": json.RawMessage(settings),
	}, "", " ")
}
