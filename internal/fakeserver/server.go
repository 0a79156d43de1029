package fakeserver

import (
	"bufio"
	"io"
	"net"
	"slices"
	"sync"
)

// CloseConnection is a reply that makes the server close the connection. After the reply "", the
// server sends nothing and keeps the connection open.
const CloseConnection = "\x00cut"

// Reply returns a server's answer to a request. The answer is a result of the function Answer,
// CloseConnection, or "" for no answer.
type Reply func(id, fields string) string

// Commands that routers send: the first argument of the RESP array.
const (
	commandServe      = "serve"
	commandLoadReport = "gauges"
)

// replyLoadReport is the status of a load report, which is the answer to a health check.
const replyLoadReport = "FIT"

// Server is a fake cache, parent or origin.
type Server struct {
	net.Listener
	Reply Reply // must not change once requests can arrive

	mu         sync.Mutex
	requests   []string
	loadReport func(tag string) string
}

// NewServer returns a server that listens until it is closed. reply may be nil if the server
// receives health checks only.
func NewServer(reply Reply) (*Server, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	server := &Server{Listener: listener, Reply: reply}
	go acceptLoop(listener, func(conn net.Conn) { go server.serve(conn) })
	return server, nil
}

// SetLoadReport sets the function that returns the fields of a load report, the answer to a health
// check. The argument of the function is the tag of the health check. While the function is nil, the
// server does not answer health checks.
func (s *Server) SetLoadReport(loadReport func(tag string) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadReport = loadReport
}

// Requests returns the fields of each request, in the order in which the requests arrived.
func (s *Server) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// serve answers the commands of a connection, one after another, until the connection ends.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		command, err := readCommand(reader)
		if err != nil {
			return
		}
		answer := s.answer(command)
		if answer == CloseConnection {
			return
		}
		if answer == "" {
			continue
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// answer returns the answer to a command: a result of the function Answer, CloseConnection, or ""
// for no answer. Unknown commands get no answer.
func (s *Server) answer(command []string) string {
	loadReport := s.currentLoadReport()
	switch {
	case len(command) == 2 && command[0] == commandLoadReport && loadReport != nil:
		tag := command[1]
		return Answer(tag, replyLoadReport, loadReport(tag), "")
	case len(command) >= 3 && command[0] == commandServe:
		id, fields := command[1], command[2]
		s.recordRequest(fields)
		return s.Reply(id, fields)
	}
	return ""
}

func (s *Server) currentLoadReport() func(tag string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadReport
}

func (s *Server) recordRequest(fields string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, fields)
}
