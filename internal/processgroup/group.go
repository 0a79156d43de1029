// Package processgroup tells how many processes of the same router run at a time. The processes of an
// upgrade share the router's limits and a state directory. Each process holds a lock on a file of its
// own in that directory until it ends, however it ends.
package processgroup

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sys/unix"
)

// MaxProcesses is the number of processes of one router that can run at a time.
const MaxProcesses = 4

// fileMode is the mode of the lock files.
const fileMode = 0o600

// errTooManyProcesses reports that other processes hold all lock files.
var errTooManyProcesses = errors.New("too many processes of the router run already")

// Group is this process's membership in the processes of its router. Its methods may be called from any
// goroutine.
type Group struct {
	dir  string
	slot int

	mu    sync.Mutex
	files [MaxProcesses]*os.File // nil: not opened yet; files[slot] is locked by this process
}

// Join takes a free lock file in dir.
func Join(dir string) (*Group, error) {
	group := &Group{dir: dir}
	for slot := range MaxProcesses {
		file, err := group.open(slot)
		if err != nil {
			return nil, fmt.Errorf("process group: %w", err)
		}
		err = flock(file, unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			group.slot = slot
			return group, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("process group: %w", err)
		}
	}
	return nil, fmt.Errorf("process group: %w", errTooManyProcesses)
}

// Slot returns the number of this process's lock file, from 0 to MaxProcesses-1. No other running
// process of the router has the same number.
func (g *Group) Slot() int { return g.slot }

// Count returns the number of running processes, this one included. A lock that cannot be checked
// counts as held.
func (g *Group) Count() int {
	count := 1
	for slot := range MaxProcesses {
		if slot != g.slot && g.held(slot) {
			count++
		}
	}
	return count
}

// held reports whether another process holds a lock file. It checks with a shared lock, which two
// processes may take at the same time.
func (g *Group) held(slot int) bool {
	if _, err := os.Stat(g.path(slot)); errors.Is(err, os.ErrNotExist) {
		return false
	}
	file, err := g.open(slot)
	if err != nil {
		return true
	}
	if flock(file, unix.LOCK_SH|unix.LOCK_NB) != nil {
		return true
	}
	return flock(file, unix.LOCK_UN) != nil
}

func (g *Group) path(slot int) string {
	return filepath.Join(g.dir, fmt.Sprintf("garnetline-process-%d", slot))
}

// open opens a lock file, which stays open until Leave.
func (g *Group) open(slot int) (*os.File, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.files[slot] != nil {
		return g.files[slot], nil
	}
	file, err := os.OpenFile(g.path(slot), os.O_RDWR|os.O_CREATE, fileMode)
	g.files[slot] = file
	return file, err
}

// Leave releases the lock. The Group must not be used afterwards.
func (g *Group) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, file := range g.files {
		if file != nil {
			_ = file.Close()
		}
	}
}

func flock(file *os.File, how int) error {
	for {
		err := unix.Flock(int(file.Fd()), how)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}
