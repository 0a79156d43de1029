// Command case lets some bad clients send requests at full speed beside the usual ones, and checks
// that the router stays within its memory.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"garnetline/review/standin"
)

const (
	memoryLimit = 192 << 10 // KB
	badClients  = 60        // each on one connection, with one request at a time
	badTimeout  = "600000"  // X-Ttl-Ms of bad clients; the longest deadline of a class is 3000
	runFor      = 95 * time.Second
	askEvery    = 50 * time.Millisecond // of the usual clients
	lookEvery   = 200 * time.Millisecond
)

func main() { standin.Main(os.Args[1], floodWithLongTimeouts) }

func floodWithLongTimeouts(run *standin.Run) error {
	deployment, err := run.NewDeployment("n0")
	if err != nil {
		return err
	}
	for _, cache := range deployment.Caches {
		cache.Forgets = true
	}
	router := deployment.Routers[0]
	process, err := router.StartReady(10 * time.Second)
	if err != nil {
		return err
	}
	load := run.StartLoad(askEvery, func() standin.Request {
		return standin.Request{Class: "sheet", Object: 1 + rand.Uint64N(50), Group: 1, Timeout: 2500 * time.Millisecond}
	}, router)
	time.Sleep(2 * time.Second)
	flood := &flood{run: run, addr: router.ClientAddr, stop: make(chan struct{}), answers: map[int]int{}}
	if run.Trouble {
		run.Logf("%d bad clients begin, with X-Ttl-Ms: %s", badClients, badTimeout)
		flood.start()
	}
	watchMemory(run, process, flood)
	flood.end()
	time.Sleep(time.Second)
	asked, lost := load.Stop()
	run.Logf("requests of the usual clients: %v, without a whole answer: %v", asked, lost)
	if how, crashed := process.Crashed(); crashed {
		run.Brokenf("the router ended by itself: %s", how)
	}
	return nil
}

// watchMemory looks at the router's memory until the time is over or the limit is passed. In that
// case it does what the platform does: it kills the router.
func watchMemory(run *standin.Run, process *standin.Process, flood *flood) {
	most := 0
	for i, end := 0, time.Now().Add(runFor); time.Now().Before(end); i++ {
		used, err := anonymousKB(process.Pid())
		if err != nil {
			run.Logf("memory: %v", err)
			return
		}
		most = max(most, used)
		if i%10 == 0 {
			run.Logf("memory of the router: %d KB; bad clients, answers by status: %v", used, flood.counts())
		}
		if used > memoryLimit {
			run.Brokenf("the router holds %d KB of anonymous memory, over the limit of %d KB: it is killed", used, memoryLimit)
			run.Logf("bad clients, answers by status: %v", flood.counts())
			process.Signal(syscall.SIGKILL)
			time.Sleep(2 * time.Second)
			return
		}
		time.Sleep(lookEvery)
	}
	run.Logf("the router held %d KB at the most", most)
}

// anonymousKB returns the anonymous memory of a process in KB. Files and the program's own text,
// which the platform counts too, are left out.
func anonymousKB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return strconv.Atoi(strings.Fields(value)[0])
		}
	}
	return 0, fmt.Errorf("no RssAnon in the status of process %d", pid)
}

// flood is the set of bad clients.
type flood struct {
	run     *standin.Run
	addr    string
	stop    chan struct{}
	clients sync.WaitGroup

	mu      sync.Mutex
	answers map[int]int // by status
}

func (f *flood) start() {
	for i := range badClients {
		f.clients.Go(func() { f.send(1 + uint64(i)) })
	}
}

// send asks for an object again and again, each time as soon as the answer has come.
func (f *flood) send(object uint64) {
	conn, err := standin.Dial(f.addr)
	if err != nil {
		f.run.Logf("bad client: %v", err)
		return
	}
	defer conn.Close()
	for {
		select {
		case <-f.stop:
			return
		default:
		}
		answer, err := conn.Ask("video-part", object, badTimeout)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.answers[answer.Status]++
		f.mu.Unlock()
	}
}

func (f *flood) counts() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.answers)
}

func (f *flood) end() {
	close(f.stop)
	f.clients.Wait()
}
