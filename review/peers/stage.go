package peers

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt: what was sent, answered and run, with the time since the start in ms.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := float64(time.Since(r.start).Microseconds()) / 1000
	_, _ = fmt.Fprintf(r.file, "%10.1f %s\n", elapsed, fmt.Sprintf(format, args...))
}

// stage holds what a case has started. close ends all of it.
type stage struct {
	log     *record
	trouble bool
	seed    uint64
	root    string // folder of the repository
	temp    string

	mu      sync.Mutex
	random  *rand.Rand
	routers []*router
	closed  bool // no further router may be started
}

func newStage(folder string, trouble bool, seed uint64) (*stage, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "garnetline-review-")
	if err != nil {
		return nil, err
	}
	return &stage{
		log:     &record{file: file, start: time.Now()},
		trouble: trouble,
		seed:    seed,
		root:    root,
		temp:    temp,
		random:  rand.New(rand.NewPCG(seed, 56)),
	}, nil
}

// newID returns 16 hex digits that were not used before.
func (s *stage) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%016x", s.random.Uint64()|1)
}

// newKey returns an idempotency key of 32 hex digits.
func (s *stage) newKey() string { return s.newID() + s.newID() }

// closeOnSignal ends the case, and all that it has started, when it is told to end.
func (s *stage) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		s.log.printf("the case was told to end: %v", <-signals)
		s.close()
		os.Exit(statusNotRun)
	}()
}

// close kills the routers that still run, by their ids, and removes the temporary folder.
func (s *stage) close() {
	s.mu.Lock()
	routers := s.routers
	s.routers = nil
	s.closed = true
	s.mu.Unlock()
	for _, process := range routers {
		process.kill()
	}
	_ = os.RemoveAll(s.temp)
}
