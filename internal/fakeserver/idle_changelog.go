package fakeserver

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
)

// requestedSeqsBuffer is the capacity of the channel RequestedSeqs. The channel holds sequence
// numbers until a test reads them.
const requestedSeqsBuffer = 8

// IdleChangeLog is a fake change log that sends nothing and keeps its connections open.
type IdleChangeLog struct {
	net.Listener
	RequestedSeqs chan uint64 // receives the sequence number that each connection requests

	mu          sync.Mutex
	connections []net.Conn
}

// NewIdleChangeLog returns an idle change log that listens until it is closed.
func NewIdleChangeLog() (*IdleChangeLog, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	idle := &IdleChangeLog{Listener: listener, RequestedSeqs: make(chan uint64, requestedSeqsBuffer)}
	go acceptLoop(listener, idle.readRequest)
	return idle, nil
}

// readRequest reads the sequence number that the client of a connection requests. It keeps the
// connection open until Close is called.
func (c *IdleChangeLog) readRequest(conn net.Conn) {
	c.mu.Lock()
	c.connections = append(c.connections, conn)
	c.mu.Unlock()
	var request [sequenceSize]byte
	if _, err := io.ReadFull(conn, request[:]); err == nil {
		c.RequestedSeqs <- binary.BigEndian.Uint64(request[:])
	}
}

// Close closes the listener and the connections.
func (c *IdleChangeLog) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.connections {
		_ = conn.Close()
	}
	return c.Listener.Close()
}
