package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// blockingUpgrades is the number of upgrades of TestUpgradesWithBlockingSocket. The environment variable
	// GARNETLINE_SOAK_UPGRADES replaces it for a long run.
	blockingUpgrades = 6
	// maxModePause is the longest time in µs between two changes of the socket's mode.
	maxModePause = 2000
	// keptConnections is the number of clients that keep their connection until the process closes it.
	keptConnections = 12
	keptInterval    = 20 * time.Millisecond // between the requests of such a client
	keptTimeout     = 1000 * time.Millisecond
)

// TestUpgradesWithBlockingSocket guards against a process that stands still because its starter makes the inherited
// socket blocking at any instant: clients that keep their connections get all answers, and each process exits by itself.
// Few new connections come, since each would end an accept that waits in the kernel.
func TestUpgradesWithBlockingSocket(t *testing.T) {
	upgrades := blockingUpgrades
	if text := os.Getenv("GARNETLINE_SOAK_UPGRADES"); text != "" {
		var err error
		if upgrades, err = strconv.Atoi(text); err != nil {
			t.Fatalf("GARNETLINE_SOAK_UPGRADES: %v", err)
		}
	}
	deployment := startDeployment(t, Limits{MemoryMB: 192, Sockets: 1024}, Keyed)
	defer toggleMode(deployment.socket)()
	process := startProcess(t, deployment)
	for range upgrades {
		var clients sync.WaitGroup
		for range keptConnections {
			connection, err := dial(deployment.Addr)
			if err != nil {
				t.Fatal(err)
			}
			clients.Go(func() {
				if err := askUntilClosed(connection); err != nil {
					t.Error(err)
				}
			})
		}
		successor := startProcess(t, deployment)
		process.Signal(syscall.SIGTERM)
		checkExit(t, process)
		clients.Wait()
		process = successor
	}
}

// askUntilClosed sends one request after another on a connection until a response closes it. Each has to be answered
// within answerGrace after its timeout.
func askUntilClosed(connection *client) error {
	defer connection.close()
	for {
		asked := request{id: newID(), object: newObject(0), timeout: keptTimeout}
		response, err := connection.exchange(asked.text(), time.Now().Add(keptTimeout+answerGrace))
		if err != nil {
			return fmt.Errorf("request %s: %w", asked.id, err)
		}
		if response.closeAfter {
			return nil
		}
		time.Sleep(keptInterval)
	}
}

// toggleMode makes a socket blocking and non-blocking in turn, at random instants.
func toggleMode(socket *os.File) (stop func()) {
	descriptor := int(socket.Fd())
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for blocking := true; ; blocking = !blocking {
			select {
			case <-stopping:
				return
			case <-time.After(time.Duration(rand.IntN(maxModePause)) * time.Microsecond):
			}
			_ = unix.SetNonblock(descriptor, !blocking) // the socket stays open until the end of the test
		}
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}
