// Package fakeserver has the other parties of a router, on loopback sockets, for tests and
// experiments: boxes that answer as they are told to, a change log, and boxes that take
// part in traces. What they receive can be looked at. They are written from the
// platform's protocol; nothing in the daemon uses them.
package fakeserver

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
)

// Cut is a reply that ends the connection; "" is none at all.
const CloseConnection = "\x00cut"

// Reply says what a box answers to a request: an answer as Answer makes it, Cut, or "".
type Reply func(id, fields string) string

// most is the longest string that a box takes from a router.
const maxStringLength = 1 << 26

// Box is a stand-in cache, hub or archive.
type Server struct {
	net.Listener
	Reply Reply // not to be changed once requests may come

	mu         sync.Mutex
	requests   []string
	loadReport func(tag string) string
}

// SetGauges sets what gives the fields of the answer to a probe with a tag; without it
// none is answered.
func (b *Server) SetLoadReport(loadReport func(tag string) string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadReport = loadReport
}

// NewBox returns a box that listens until it is closed.
func NewServer(reply Reply) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Server{Listener: l, Reply: reply}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

// Seen returns the fields of each request, in the order in which they came.
func (b *Server) Requests() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.requests...)
}

// serve answers the requests of a connection, one after another, until it ends.
func (b *Server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		command, err := readCommand(reader)
		if err != nil {
			return
		}
		b.mu.Lock()
		loadReport := b.loadReport
		b.mu.Unlock()
		if len(command) == 2 && command[0] == "gauges" && loadReport != nil {
			if _, err := io.WriteString(conn, Answer(command[1], "FIT", loadReport(command[1]), "")); err != nil {
				return
			}
			continue
		}
		if len(command) < 3 || command[0] != "serve" {
			continue
		}
		b.mu.Lock()
		b.requests = append(b.requests, command[2])
		b.mu.Unlock()
		reply := b.Reply(command[1], command[2])
		if reply == CloseConnection {
			return
		}
		if _, err := io.WriteString(conn, reply); err != nil {
			return
		}
	}
}

// command reads one command: a RESP array of bulk strings.
func readCommand(reader *bufio.Reader) ([]string, error) {
	var count int
	if _, err := fmt.Fscanf(reader, "*%d\r\n", &count); err != nil || count < 0 || count > 16 {
		return nil, fmt.Errorf("array of %d: %v", count, err)
	}
	var arguments []string
	for range count {
		var length int
		if _, err := fmt.Fscanf(reader, "$%d\r\n", &length); err != nil || length < 0 || length > maxStringLength {
			return nil, fmt.Errorf("string of %d: %v", length, err)
		}
		text := make([]byte, length+2)
		if _, err := io.ReadFull(reader, text); err != nil {
			return nil, err
		}
		arguments = append(arguments, string(text[:length]))
	}
	return arguments, nil
}

// Answer puts an answer together.
func Answer(id, word, fields, body string) string {
	return fmt.Sprintf("*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(word), word, len(fields), fields, len(body), body)
}

// Log is a stand-in change log that brings nothing new and keeps its connections open.
type IdleChangeLog struct {
	net.Listener
	RequestedSeqs chan uint64 // the number that each connection asks from
	mu            sync.Mutex
	connections          []net.Conn
}

// NewLog returns a change log that listens until it is closed.
func NewIdleChangeLog() (*IdleChangeLog, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &IdleChangeLog{Listener: l, RequestedSeqs: make(chan uint64, 8)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			g.mu.Lock()
			g.connections = append(g.connections, conn)
			g.mu.Unlock()
			var b [8]byte
			if _, err := io.ReadFull(conn, b[:]); err == nil {
				g.RequestedSeqs <- binary.BigEndian.Uint64(b[:])
			}
		}
	}()
	return g, nil
}

// Close ends the log and its connections.
func (g *IdleChangeLog) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.connections {
		c.Close()
	}
	return g.Listener.Close()
}
