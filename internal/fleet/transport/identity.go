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
	// identityFilePrefix precedes the router's name in the name of the identity file.
	identityFilePrefix = "garnetline-fleet-"
	// identityFormat is the format of the file's content: the router's ID and its latest
	// incarnation.
	identityFormat = "%v %d\n"
	// identityScanFormat parses the content that identityFormat writes.
	identityScanFormat = "%x %d\n"
	maxIdentityLen     = 64 // maximum number of bytes read from the file

	// maxIncarnation is the exclusive upper bound of an incarnation in the file. The bound
	// prevents an overflow of revisions.
	maxIncarnation = 1 << 39
)

// identityFile is the path of the file that holds a router's ID and the number of its latest
// incarnation. The path is empty if nothing is stored. The old and the new process of a router
// share the file: the incarnation in the file tells the old process that the new process has
// started.
type identityFile string

// newIdentityFile returns the path of a router's identity file. The path is empty if stateDir is
// empty.
func newIdentityFile(stateDir, name string) identityFile {
	if stateDir == "" {
		return ""
	}
	return identityFile(filepath.Join(stateDir, identityFilePrefix+name))
}

// startIncarnation increments the incarnation in the file. It returns the ID and the new
// incarnation. If the file is missing or cannot be parsed, it stores and returns a new ID with
// incarnation 1.
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

// latestIncarnation returns the number of the latest incarnation, or 0 if it
// cannot be read.
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
