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
	frameGroup   = 4
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

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	stalled  bool     // connections made now are accepted and told nothing
	frames   [][]byte // events from number 2 on
	changed  chan struct{}
}

// NewChangeLog starts a change log on a free port.
func (r *Run) NewChangeLog() (*ChangeLog, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	changeLog := &ChangeLog{Addr: listener.Addr().String(), listener: listener, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	go changeLog.serve()
	r.OnClose(changeLog.Close)
	return changeLog, nil
}

// serve accepts connections until Close closes the listener.
func (c *ChangeLog) serve() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.conns[conn] = true
		c.mu.Unlock()
		go c.serveConn(conn)
	}
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
	if c.isStalled() {
		_, _ = io.Copy(io.Discard, conn) // until the router gives up
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

// PurgeGroup adds the purge of a group.
func (c *ChangeLog) PurgeGroup(group uint16, at time.Time) {
	payload := binary.BigEndian.AppendUint16(nil, group)
	c.add(frameGroup, binary.BigEndian.AppendUint64(payload, uint64(at.UnixMilli())))
}

// SetStalled sets whether the change log stalls: it accepts connections and tells them nothing. Open
// connections go on.
func (c *ChangeLog) SetStalled(stalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled = stalled
}

func (c *ChangeLog) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled
}

// BreakConns breaks off all open connections.
func (c *ChangeLog) BreakConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		_ = conn.Close()
	}
}

// Close ends the change log.
func (c *ChangeLog) Close() {
	_ = c.listener.Close()
	c.BreakConns()
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
