package soak

import (
	"bufio"
	"fmt"
	"io"
	"os"
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

// runServers runs the servers until standard input ends. It prints the address of each server, and then
// a line with the transaction id and the time in Unix nanoseconds of each request that arrives.
func runServers() error {
	process := &serverProcess{largeBody: strings.Repeat("x", largeBodyBytes)}
	for range serverCount {
		server, err := fakeserver.NewServer(process.reply)
		if err != nil {
			return err
		}
		process.print(server.Addr().String())
	}
	_, err := io.Copy(io.Discard, os.Stdin)
	return err
}

// serverProcess is the process of the servers.
type serverProcess struct {
	largeBody string
	mu        sync.Mutex // guards standard output
}

func (p *serverProcess) print(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintln(os.Stdout, line)
}

func (p *serverProcess) reply(id, fields string) string {
	p.print(fmt.Sprintf("%s %d", id, time.Now().UnixNano()))
	switch {
	case strings.Contains(fields, "f0,slice="):
		return ""
	case strings.Contains(fields, "b0,slice="):
		return fakeserver.Answer(id, "DONE", "tag=t7,minted=1", p.largeBody)
	}
	return fakeserver.Answer(id, "DONE", "tag=t7,minted=1", smallBody)
}

// Servers are the caches and the origin.
type Servers struct {
	addrs   []string
	process *standinProcess
	ended   chan struct{} // closed when all lines of the process were read
	times   map[string][]time.Time
	err     error
}

func newServers(program string) (*Servers, error) {
	process, err := startStandin(program, commandServers)
	if err != nil {
		return nil, err
	}
	servers := &Servers{process: process, ended: make(chan struct{}), times: map[string][]time.Time{}}
	lines := bufio.NewScanner(process.output)
	for len(servers.addrs) < serverCount && lines.Scan() {
		servers.addrs = append(servers.addrs, lines.Text())
	}
	go servers.record(lines)
	return servers, lines.Err()
}

// record reads what the process prints until its end.
func (s *Servers) record(lines *bufio.Scanner) {
	defer close(s.ended)
	for lines.Scan() {
		var id string
		var nanoseconds int64
		if _, err := fmt.Sscan(lines.Text(), &id, &nanoseconds); err != nil {
			s.err = err
			continue
		}
		s.times[id] = append(s.times[id], time.Unix(0, nanoseconds))
	}
	if err := s.process.command.Wait(); err != nil && s.err == nil {
		s.err = err
	}
}

func (s *Servers) close() error {
	err := s.process.input.Close()
	<-s.ended
	return err
}

// Executions ends the servers and returns the times at which requests arrived, by transaction id.
func (s *Servers) Executions() (map[string][]time.Time, error) {
	_ = s.close()
	return s.times, s.err
}
