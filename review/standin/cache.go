package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the commands that a server reads.
const (
	maxArguments = 16
	maxArgument  = 1 << 20
)

var errBadCommand = errors.New("the command cannot be read")

// Sent is an attempt that a server received.
type Sent struct {
	At     time.Time // when it had come whole
	Server string
	ID     string
	Fields string
	Minted time.Time // of the copy that answered it
}

// Object returns the field asset of the attempt.
func (s Sent) Object() string { return s.Field("asset") }

// Field returns a field of the attempt, or "".
func (s Sent) Field(name string) string {
	for field := range strings.SplitSeq(s.Fields, ",") {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			return value
		}
	}
	return ""
}

// Server is a cache or the origin. A cache keeps a copy of each object that it was asked for. It
// answers from its copy while the copy is young enough for the attempt, and gets a new one from the
// origin otherwise. The origin mints a copy for each attempt.
type Server struct {
	Host
	IsOrigin bool
	Forgets  bool // attempts are not kept for Sent; set before a router is started

	run    *Run
	mu     sync.Mutex
	copies map[string]time.Time // by object: when the copy was minted
	sent   []Sent
}

// NewServer starts a server on a free port.
func (r *Run) NewServer(id uint32, kind int, isOrigin bool) (*Server, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	server := &Server{Host: Host{ID: id, Addr: listener.Addr().String(), Kind: kind}, IsOrigin: isOrigin, run: r, copies: map[string]time.Time{}}
	r.OnClose(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serveConn(conn)
		}
	}()
	return server, nil
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		command, err := readCommand(reader)
		if err != nil {
			return
		}
		answer := ""
		switch {
		case len(command) == 4 && command[0] == "serve":
			answer = s.answer(command[1], command[2])
		case len(command) == 2 && (command[0] == "health" || command[0] == "gauges"):
			answer = bulks(command[1], "FIT", "l=inflight:0;x1:0.1", "")
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// answer answers an attempt and records it.
func (s *Server) answer(id, fields string) string {
	now := time.Now()
	attempt := Sent{At: now, Server: s.Name(), ID: id, Fields: fields}
	s.mu.Lock()
	minted, held := s.copies[attempt.Object()]
	if fresh, err := strconv.Atoi(attempt.Field("fresh")); err == nil && fresh > 0 && now.Sub(minted) > time.Duration(fresh)*time.Millisecond {
		held = false
	}
	if s.IsOrigin || !held {
		minted = now
		s.copies[attempt.Object()] = minted
	}
	attempt.Minted = minted
	if !s.Forgets {
		s.sent = append(s.sent, attempt)
	}
	s.mu.Unlock()
	tag := fmt.Sprintf("tag=%013x,minted=%d", minted.UnixMilli(), minted.UnixMilli())
	return bulks(id, "DONE", tag, "object "+attempt.Object())
}

// Drop makes the cache drop its copies from before a purge.
func (s *Server) Drop(purgedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.copies, func(_ string, minted time.Time) bool { return minted.Before(purgedAt) })
}

// Sent returns the attempts that the server received.
func (s *Server) Sent() []Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Sent(nil), s.sent...)
}

// CountSince returns how many attempts the server received since a time.
func (s *Server) CountSince(start time.Time) (count int) {
	for _, attempt := range s.Sent() {
		if attempt.At.After(start) {
			count++
		}
	}
	return count
}

// bulks returns a RESP array of bulk strings.
func bulks(words ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, word := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)
	}
	return text
}

// readCommand reads a RESP array of bulk strings.
func readCommand(reader *bufio.Reader) ([]string, error) {
	count, err := readLength(reader, '*', maxArguments)
	if err != nil {
		return nil, err
	}
	var words []string
	for range count {
		length, err := readLength(reader, '$', maxArgument)
		if err != nil {
			return nil, err
		}
		word := make([]byte, length+2)
		if _, err := io.ReadFull(reader, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:length]))
	}
	return words, nil
}

func readLength(reader *bufio.Reader, kind byte, limit int) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimSpace(line)
	if line == "" || line[0] != kind {
		return 0, errBadCommand
	}
	length, err := strconv.Atoi(line[1:])
	if err != nil || length < 0 || length > limit {
		return 0, errBadCommand
	}
	return length, nil
}
