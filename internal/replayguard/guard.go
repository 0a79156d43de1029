// Package replayguard remembers the transaction ids of requests that a server may have executed and
// that must not run twice. A client that left may send the same id again, to the same process or to
// another process of the same router during an upgrade.
//
// A Guard holds a table of fixed size. In a bucket that is full, a new id replaces the oldest one. Each
// process of a router writes its table to a file of its own and reads the files of the others, so no
// process waits for another one. A Guard has one owner, which calls one method at a time.
package replayguard

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strconv"

	"golang.org/x/sys/unix"

	"garnetline/internal/metrics"
	"garnetline/internal/processgroup"
)

// Sizes of the table.
const (
	bucketBits    = 12
	bucketCount   = 1 << bucketBits
	bucketEntries = 8
	entryBytes    = 16 // the id, and the time in Unix ms as a float64
	bucketBytes   = bucketEntries * entryBytes
	tableBytes    = bucketCount * bucketBytes
)

// hashFactor spreads ids over the buckets. Clients choose the ids.
const hashFactor = 0x9e3779b97f4a7c15

// fileMode is the mode of the files.
const fileMode = 0o600

// Guard is the table of one process.
type Guard struct {
	metrics *metrics.Registry
	table   [tableBytes]byte

	dir   string // "" if no other process can share the ids
	slot  int
	files [processgroup.MaxProcesses]*os.File // nil: not opened yet
}

// New returns an empty Guard that no other process knows.
func New(registry *metrics.Registry) *Guard { return &Guard{metrics: registry} }

// Share makes the guard read the files of the other processes in dir, and write its own. It takes over
// what an earlier process has left in the file of the slot.
func (g *Guard) Share(dir string, slot int) error {
	g.dir, g.slot = dir, slot
	file, err := os.OpenFile(g.path(slot), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return fmt.Errorf("replay guard: %w", err)
	}
	g.files[slot] = file
	if _, err := file.ReadAt(g.table[:], 0); err == nil {
		return nil
	}
	clear(g.table[:]) // the file is new, or was cut off
	// The whole file is allocated now, so that a disk that is full later does not make writes fail.
	if err := unix.Fallocate(int(file.Fd()), 0, 0, tableBytes); err != nil {
		return fmt.Errorf("replay guard: allocate %d bytes: %w", tableBytes, err)
	}
	return nil
}

// Close closes the files.
func (g *Guard) Close() {
	for _, file := range g.files {
		if file != nil {
			_ = file.Close()
		}
	}
}

func (g *Guard) path(slot int) string {
	return filepath.Join(g.dir, fmt.Sprintf("garnetline-executed-%d", slot))
}

// ExecutedHere returns when this process, or an earlier one in its slot, first sent a request with the
// id. ok is false if it sent none.
func (g *Guard) ExecutedHere(id string) (at float64, ok bool) {
	number, valid := parseID(id)
	if !valid {
		return 0, false
	}
	return bucket(g.bucket(number)).find(number)
}

// ExecutedElsewhere reports whether another process of the router has sent a request with the id.
func (g *Guard) ExecutedElsewhere(id string) bool {
	number, valid := parseID(id)
	if !valid || g.dir == "" {
		return false
	}
	for slot := range processgroup.MaxProcesses {
		if slot == g.slot {
			continue
		}
		var other [bucketBytes]byte
		if !g.readBucket(slot, number, other[:]) {
			continue
		}
		if _, found := bucket(other[:]).find(number); found {
			return true
		}
	}
	return false
}

// readBucket reads the bucket of an id from the file of another process. It returns false if that
// process has no file.
func (g *Guard) readBucket(slot int, id uint64, dst []byte) bool {
	if g.files[slot] == nil {
		file, err := os.Open(g.path(slot))
		if errors.Is(err, fs.ErrNotExist) {
			return false
		}
		if err != nil {
			g.metrics.Add("replay_unread", 1)
			return false
		}
		g.files[slot] = file
	}
	if _, err := g.files[slot].ReadAt(dst, bucketOffset(id)); err != nil {
		g.metrics.Add("replay_unread", 1)
		return false
	}
	return true
}

// Record remembers that a request with the id is sent at the given time, unless it is known already.
func (g *Guard) Record(id string, at float64) {
	number, valid := parseID(id)
	if !valid {
		return
	}
	entries := bucket(g.bucket(number))
	if _, known := entries.find(number); known {
		return
	}
	if entries.insert(number, at) {
		g.metrics.Add("replay_forgotten", 1)
	}
	g.write(number)
}

// Forget removes an id whose request no server has executed.
func (g *Guard) Forget(id string) {
	number, valid := parseID(id)
	if !valid {
		return
	}
	bucket(g.bucket(number)).remove(number)
	g.write(number)
}

// write writes the bucket of an id to this process's file.
func (g *Guard) write(id uint64) {
	if g.files[g.slot] == nil {
		return
	}
	if _, err := g.files[g.slot].WriteAt(g.bucket(id), bucketOffset(id)); err != nil {
		g.metrics.Add("replay_unwritten", 1)
	}
}

func (g *Guard) bucket(id uint64) []byte {
	offset := bucketOffset(id)
	return g.table[offset : offset+bucketBytes]
}

func bucketOffset(id uint64) int64 {
	return int64(id*hashFactor>>(64-bucketBits)) * bucketBytes
}

// parseID parses an id of 16 hexadecimal digits. Other ids, and the id 0, are not remembered.
func parseID(id string) (number uint64, ok bool) {
	number, err := strconv.ParseUint(id, 16, 64)
	return number, err == nil && number != 0
}

// bucket is an encoded bucket. An entry with the id 0 is free.
type bucket []byte

func (b bucket) entry(i int) []byte { return b[i*entryBytes : (i+1)*entryBytes] }

func (b bucket) id(i int) uint64 { return binary.LittleEndian.Uint64(b.entry(i)) }

func (b bucket) at(i int) float64 {
	return math.Float64frombits(binary.LittleEndian.Uint64(b.entry(i)[entryBytes/2:]))
}

func (b bucket) set(i int, id uint64, at float64) {
	binary.LittleEndian.PutUint64(b.entry(i), id)
	binary.LittleEndian.PutUint64(b.entry(i)[entryBytes/2:], math.Float64bits(at))
}

func (b bucket) find(id uint64) (at float64, ok bool) {
	for i := range bucketEntries {
		if b.id(i) == id {
			return b.at(i), true
		}
	}
	return 0, false
}

// insert adds an entry. If the bucket is full, the entry replaces the oldest one, and insert returns
// true.
func (b bucket) insert(id uint64, at float64) (replaced bool) {
	oldest := 0
	for i := range bucketEntries {
		if b.id(i) == 0 {
			b.set(i, id, at)
			return false
		}
		if b.at(i) < b.at(oldest) {
			oldest = i
		}
	}
	b.set(oldest, id, at)
	return true
}

func (b bucket) remove(id uint64) {
	for i := range bucketEntries {
		if b.id(i) == id {
			b.set(i, 0, 0)
		}
	}
}
