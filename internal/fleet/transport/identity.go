package transport

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"

	"garnetline/internal/fleet/membership"
)

// identityFile is the file that holds a router's seat and the number of its latest life. Two
// processes of a router share it, which is how each knows of the other.
type identityFile string

// identityFileIn returns the file of a router in its state folder; "" keeps nothing.
func identityFileIn(state, name string) identityFile {
	if state == "" {
		return ""
	}
	return identityFile(filepath.Join(state, "garnetline-fleet-"+name))
}

// startIncarnation begins a life: the next one of the seat, or the first of a new seat where there is
// none or it cannot be read.
func (s identityFile) startIncarnation() (id membership.ID, life uint64, err error) {
	if s == "" {
		return newRouterID(), 1, nil
	}
	f, err := os.OpenFile(string(s), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return 0, 0, err
	}
	defer f.Close() // gives the lock back
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		return 0, 0, err
	}
	if id, life = s.parse(f); id == 0 {
		id, life = newRouterID(), 0
	}
	life++
	if err := f.Truncate(0); err != nil {
		return 0, 0, err
	}
	if _, err := f.WriteAt(fmt.Appendf(nil, "%v %d\n", id, life), 0); err != nil {
		return 0, 0, err
	}
	return id, life, f.Sync()
}

// latestIncarnation returns the number of the latest life, 0 where that is not known.
func (s identityFile) latestIncarnation() uint64 {
	if s == "" {
		return 0
	}
	f, err := os.Open(string(s))
	if err != nil {
		return 0
	}
	defer f.Close()
	_, life := s.parse(f)
	return life
}

func (s identityFile) parse(f io.Reader) (id membership.ID, life uint64) {
	var n uint64
	if k, _ := fmt.Fscanf(io.LimitReader(f, 64), "%x %d\n", &n, &life); k != 2 || life >= 1<<39 {
		return 0, 0
	}
	return membership.ID(n), life
}

// bansPath is the file of the bans beside the seat's.
func (s identityFile) bansPath() string { return string(s) + ".bans" }

func newRouterID() membership.ID { return membership.ID(rand.Uint64() | 1) }
