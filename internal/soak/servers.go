package soak

import (
	"strings"
	"sync"
	"time"

	"garnetline/internal/fakeserver"
)

// Objects whose ids end in one of these digits are answered in a special way. Other objects have a
// small body.
const (
	LargeObject   = 0xb0 // the body has largeBodyBytes
	HangingObject = 0xf0 // the servers never answer
	objectMask    = 0xff
)

const (
	serverCount    = 3 // two caches and the origin
	largeBodyBytes = 230_000
	smallBody      = "bytes"
)

// Execution is the arrival of a request at a server.
type Execution struct {
	ID string // transaction id
	At time.Time
}

// Servers are the caches and the origin. They record what they receive.
type Servers struct {
	list      []*fakeserver.Server
	largeBody string

	mu         sync.Mutex
	executions []Execution
}

func newServers() (*Servers, error) {
	servers := &Servers{largeBody: strings.Repeat("x", largeBodyBytes)}
	for range serverCount {
		server, err := fakeserver.NewServer(servers.reply)
		if err != nil {
			_ = servers.close()
			return nil, err
		}
		servers.list = append(servers.list, server)
	}
	return servers, nil
}

func (s *Servers) close() error {
	for _, server := range s.list {
		_ = server.Close()
	}
	return nil
}

func (s *Servers) reply(id, fields string) string {
	s.mu.Lock()
	s.executions = append(s.executions, Execution{ID: id, At: time.Now()})
	s.mu.Unlock()
	switch {
	case strings.Contains(fields, "f0,slice="):
		return ""
	case strings.Contains(fields, "b0,slice="):
		return fakeserver.Answer(id, "DONE", "tag=t7,minted=1", s.largeBody)
	}
	return fakeserver.Answer(id, "DONE", "tag=t7,minted=1", smallBody)
}

// Executions returns what the servers have received so far, by transaction id.
func (s *Servers) Executions() map[string][]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := map[string][]time.Time{}
	for _, execution := range s.executions {
		times[execution.ID] = append(times[execution.ID], execution.At)
	}
	return times
}
