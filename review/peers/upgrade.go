package peers

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// The case of upgrades under load.
const (
	upgradeRouters     = 3
	upgradeRounds      = 8
	clientsPerRouter   = 12
	newcomers          = 3                    // clients that come while a new process starts
	newcomersAfter     = 2 * time.Millisecond // since that start
	thinkTime          = 60 * time.Millisecond
	sheetPatience      = 2500 * time.Millisecond
	killAfter          = 3700 * time.Millisecond // the longest deadline, counted as 3 s, and 0.7 s
	pauseOfRounds      = time.Second
	roundWithoutChange = 3 * time.Second
)

// playUpgrade starts a new process of each router in turn while clients use it, and ends the old one when the
// new one says yes.
func playUpgrade(s *stage) ([]string, error) {
	around, err := s.newSite(branchCaches, sheetWork, 0)
	if err != nil {
		return nil, err
	}
	played := &upgrades{stage: s, stop: make(chan struct{})}
	var platforms sync.WaitGroup
	for number := range upgradeRouters {
		where, err := s.newPlace(fmt.Sprintf("n%d", number), around, true)
		if err != nil {
			return nil, err
		}
		current, err := s.startProcess(where)
		if err != nil {
			return nil, err
		}
		if err := current.awaitAnswer(current.mgmt, "/ready"); err != nil {
			return nil, err
		}
		played.addClients(where, clientsPerRouter)
		platforms.Go(func() { played.upgradeOften(where, current) })
	}
	platforms.Wait()
	close(played.stop)
	played.clients.Wait()
	return played.lost, played.failed
}

// upgrades is what the routers of the case have in common.
type upgrades struct {
	*stage
	stop    chan struct{} // closed when the clients have to end
	clients sync.WaitGroup

	mu     sync.Mutex
	lost   []string
	failed error
}

// addClients adds clients of a router. Each has a connection of its own, which it keeps.
func (s *upgrades) addClients(where *place, count int) {
	for range count {
		s.clients.Go(func() {
			lost := s.useRouter(where.listen, s.stop)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lost = append(s.lost, lost...)
		})
	}
}

// upgradeOften replaces the process of a router by a new one, some times.
func (s *upgrades) upgradeOften(where *place, current *router) {
	for round := range upgradeRounds {
		if !s.trouble {
			time.AfterFunc(newcomersAfter, func() { s.addClients(where, newcomers) })
			time.Sleep(roundWithoutChange)
			continue
		}
		time.Sleep(pauseOfRounds)
		next, err := s.upgrade(where, current, round)
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.failed = err
			return
		}
		current = next
	}
}

// upgrade starts a new process, and ends the current one when the new one says yes.
func (s *upgrades) upgrade(where *place, current *router, round int) (*router, error) {
	next, err := s.startProcess(where)
	if err != nil {
		return nil, err
	}
	time.AfterFunc(newcomersAfter, func() { s.addClients(where, newcomers) })
	if err := next.awaitAnswer(next.mgmt, "/ready"); err != nil {
		return nil, err
	}
	s.log.printf("router %s: upgrade %d, process %d says yes", where.name, round, next.pid())
	current.signal(syscall.SIGTERM)
	select {
	case <-current.ended:
	case <-time.After(killAfter):
		current.signal(syscall.SIGKILL)
		<-current.ended
	}
	return next, nil
}

// useRouter sends requests one after another, with one request at a time on a connection, and returns those
// that were lost.
func (s *stage) useRouter(address string, stop <-chan struct{}) []string {
	var lost []string
	var conn *client
	for {
		select {
		case <-stop:
			if conn != nil {
				conn.close()
			}
			return lost
		default:
		}
		next := request{id: s.newID(), class: "sheet", object: s.newID(), patience: sheetPatience}
		var text string
		conn, text = s.ask(address, conn, next)
		if text != "" {
			lost = append(lost, text)
		}
		time.Sleep(thinkTime)
	}
}

// ask sends a request and waits for its answer. A request that crosses the end of its connection is sent
// again, once, on a new one. lost is empty unless no answer came until half a second after the request's time.
func (s *stage) ask(address string, conn *client, next request) (open *client, lost string) {
	for try := range 2 {
		if conn == nil {
			var err error
			if conn, err = dialClient(address); err != nil {
				s.log.printf("client: %s try %d: %v", next.id, try, err)
				return nil, ""
			}
		}
		sent := time.Now()
		var got answer
		err := conn.send(next.text())
		if err == nil {
			got, err = conn.receive(sent.Add(next.patience + lateAnswer))
		}
		s.log.printf("client: %s from %v try %d: %d after %v, error %v", next.id, conn.conn.LocalAddr(), try, got.status,
			time.Since(sent).Round(time.Millisecond), err)
		if err == nil && !got.closes {
			return conn, ""
		}
		conn.close()
		conn = nil
		var timeout net.Error
		switch {
		case err == nil:
			return nil, ""
		case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
			return nil, fmt.Sprintf("request %s of router %s, with a time of %v, has no answer after %v", next.id, address,
				next.patience, time.Since(sent).Round(time.Millisecond))
		}
	}
	return conn, ""
}
