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

const (
	// identityFilePrefix stands before the router's name.
	identityFilePrefix = "garnetline-fleet-"
	// identityFormat is the content of the file: the router's ID and its latest incarnation.
	identityFormat = "%v %d\n"
	identityScan   = "%x %d\n"
	maxIdentityLen = 64 // bytes that are read

	// maxIncarnation bounds what is accepted from the file, so that revisions do not
	// overflow.
	maxIncarnation = 1 << 39
)

// identityFile is the path of the file that holds a router's ID and the number of its latest
// incarnation, or empty where nothing is kept. Two processes of a router share the file,
// which is how each knows of the other.
type identityFile string

// identityFileIn returns the identity file of a router in its state directory, which may be
// empty.
func identityFileIn(stateDir, name string) identityFile {
	if stateDir == "" {
		return ""
	}
	return identityFile(filepath.Join(stateDir, identityFilePrefix+name))
}

// startIncarnation begins the next incarnation of the ID in the file, or the first of a new
// ID where there is none or it cannot be read.
func (f identityFile) startIncarnation() (id membership.ID, incarnation uint64, err error) {
	if f == "" {
		return newRouterID(), 1, nil
	}
	file, err := os.OpenFile(string(f), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = file.Close() }() // releases the lock
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		return 0, 0, err
	}
	id, incarnation, ok := f.parse(file)
	if !ok {
		id = newRouterID()
		incarnation = 0
	}
	incarnation++
	if err := file.Truncate(0); err != nil {
		return 0, 0, err
	}
	if _, err := file.WriteAt(fmt.Appendf(nil, identityFormat, id, incarnation), 0); err != nil {
		return 0, 0, err
	}
	return id, incarnation, file.Sync()
}

// latestIncarnation returns the number of the latest incarnation, 0 where that is not known.
func (f identityFile) latestIncarnation() uint64 {
	if f == "" {
		return 0
	}
	file, err := os.Open(string(f))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }() // nothing was written
	_, incarnation, _ := f.parse(file)
	return incarnation
}

func (identityFile) parse(file io.Reader) (id membership.ID, incarnation uint64, ok bool) {
	var number uint64
	n, _ := fmt.Fscanf(io.LimitReader(file, maxIdentityLen), identityScan, &number, &incarnation)
	if n != 2 || incarnation >= maxIncarnation {
		return 0, 0, false
	}
	return membership.ID(number), incarnation, number != 0
}

// gossipedBansPath returns the path of the file of the bans that gossip brought, beside the
// identity file.
func (f identityFile) gossipedBansPath() string { return string(f) + ".bans" }

func newRouterID() membership.ID { return membership.ID(rand.Uint64() | 1) }
