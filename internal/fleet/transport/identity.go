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
	// identityFilePrefix precedes the router's name in the name of the file.
	identityFilePrefix = "garnetline-fleet-"
	// identityFormat is the content of the file: the router's ID and its latest incarnation.
	identityFormat = "%v %d\n"
	// identityScanFormat parses the content that identityFormat writes.
	identityScanFormat = "%x %d\n"
	maxIdentityLen     = 64 // bytes read from the file at most

	// maxIncarnation is the exclusive upper bound of the incarnations that are accepted from
	// the file, so that revisions do not overflow.
	maxIncarnation = 1 << 39
)

// identityFile is the path of the file that holds a router's ID and the number of its latest
// incarnation; it is empty if nothing is stored. The old and the new process of a router share
// the file: the old one learns from the incarnation in it that the new one has started.
type identityFile string

// newIdentityFile returns the identity file of a router in its state directory, which may be
// empty.
func newIdentityFile(stateDir, name string) identityFile {
	if stateDir == "" {
		return ""
	}
	return identityFile(filepath.Join(stateDir, identityFilePrefix+name))
}

// startIncarnation increments the incarnation in the file and returns it with the ID. If the
// file is missing or cannot be parsed, it stores and returns a new ID with incarnation 1.
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

// latestIncarnation returns the number of the latest incarnation, or 0 if it is not known.
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
	n, _ := fmt.Fscanf(io.LimitReader(file, maxIdentityLen), identityScanFormat, &number, &incarnation)
	if n != 2 || incarnation >= maxIncarnation {
		return 0, 0, false
	}
	return membership.ID(number), incarnation, number != 0
}

// gossipedBansPath returns the path of the file that stores the bans received by gossip. It is
// in the folder of the identity file.
func (f identityFile) gossipedBansPath() string { return string(f) + ".bans" }

func newRouterID() membership.ID { return membership.ID(rand.Uint64() | 1) }
