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
const most = 1 << 26

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
func (b *Server) SetLoadReport(f func(tag string) string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadReport = f
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
	in := bufio.NewReader(conn)
	for {
		words, err := command(in)
		if err != nil {
			return
		}
		b.mu.Lock()
		gauges := b.loadReport
		b.mu.Unlock()
		if len(words) == 2 && words[0] == "gauges" && gauges != nil {
			if _, err := io.WriteString(conn, Answer(words[1], "FIT", gauges(words[1]), "")); err != nil {
				return
			}
			continue
		}
		if len(words) < 3 || words[0] != "serve" {
			continue
		}
		b.mu.Lock()
		b.requests = append(b.requests, words[2])
		b.mu.Unlock()
		text := b.Reply(words[1], words[2])
		if text == CloseConnection {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// command reads one command: a RESP array of bulk strings.
func command(in *bufio.Reader) ([]string, error) {
	var n int
	if _, err := fmt.Fscanf(in, "*%d\r\n", &n); err != nil || n < 0 || n > 16 {
		return nil, fmt.Errorf("array of %d: %v", n, err)
	}
	var words []string
	for range n {
		var l int
		if _, err := fmt.Fscanf(in, "$%d\r\n", &l); err != nil || l < 0 || l > most {
			return nil, fmt.Errorf("string of %d: %v", l, err)
		}
		b := make([]byte, l+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:l]))
	}
	return words, nil
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
	open          []net.Conn
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
			g.open = append(g.open, conn)
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
	for _, c := range g.open {
		c.Close()
	}
	return g.Listener.Close()
}
