package spool

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
)

func openSpool(tb testing.TB, options Options) *Spool {
	tb.Helper()
	spool, err := Open(options)
	if err != nil {
		tb.Fatal(err)
	}
	return spool
}

// write writes to a body, which must succeed.
func write(tb testing.TB, body *Body, data []byte) {
	tb.Helper()
	if n, err := body.Write(data); err != nil || n != len(data) {
		tb.Fatalf("wrote %d of %d bytes: %v", n, len(data), err)
	}
}

func checkUsage(tb testing.TB, spool *Spool, want Usage) {
	tb.Helper()
	if got := spool.Usage(); got != want {
		tb.Errorf("usage is %+v, want %+v", got, want)
	}
}

// With each call of the file system failing in turn, in each way: what is read is what was
// written or an error, never a part of it or another body, and all blocks are freed.
func TestEachFailingCallLosesNoBlock(t *testing.T) {
	for fault := range writeFaultEnd {
		t.Run(fmt.Sprintf("write fault %d", fault), func(t *testing.T) {
			calls := playRounds(t, &faultyFileSystem{writeFault: fault})
			for failing := 1; failing <= calls; failing++ {
				playRounds(t, &faultyFileSystem{writeFault: fault, failingCall: failing})
			}
		})
	}
}

// playRounds writes and reads two bodies at a time, three times so that blocks are reused, and
// returns how many calls of the file system that took. One failing call fails at most the two
// bodies of a round.
func playRounds(t *testing.T, fileSystem *faultyFileSystem) int {
	t.Helper()
	const maxFailedBodies = 2
	spool, err := Open(Options{FileSystem: fileSystem, Directory: t.TempDir(), Name: "n1", BlocksPerSegment: 2, MaxSegments: 3})
	if err != nil {
		if fileSystem.failingCall == 0 {
			t.Fatal(err)
		}
		return fileSystem.calls
	}
	rng := rand.New(rand.NewPCG(1, 1))
	failed := 0
	for round := range 3 {
		failed += playRound(t, spool, fileSystem, rng, round)
	}
	if failed > maxFailedBodies || fileSystem.failingCall == 0 && failed > 0 {
		t.Fatalf("call %d: %d bodies failed", fileSystem.failingCall, failed)
	}
	if got := spool.Usage().Blocks; got != 0 {
		t.Fatalf("call %d: %d blocks are in use in the end", fileSystem.failingCall, got)
	}
	if err := spool.Close(); err != nil && fileSystem.failingCall == 0 {
		t.Error(err)
	}
	return fileSystem.calls
}

// playRound writes two bodies by turns, reads and closes them, and returns how many failed.
func playRound(t *testing.T, spool *Spool, fileSystem *faultyFileSystem, rng *rand.Rand, round int) int {
	t.Helper()
	var want [2][]byte
	bodies := [2]*Body{spool.NewBody(), spool.NewBody()}
	for i := range 5 {
		data := bytes.Repeat([]byte{byte(16*round + 2*i + 1)}, 1+rng.IntN(BlockSize))
		if n, err := bodies[i%2].Write(data); err == nil && n == len(data) {
			want[i%2] = append(want[i%2], data...)
		} else {
			want[i%2] = nil
		}
	}
	failed := 0
	for i, body := range bodies {
		got, err := io.ReadAll(io.NewSectionReader(body, 0, body.Size()))
		if err == nil && !bytes.Equal(got, want[i]) {
			t.Fatalf("call %d: read %d bytes, want the %d that were written", fileSystem.failingCall, len(got), len(want[i]))
		}
		if err != nil {
			failed++
			if _, again := body.ReadAt(make([]byte, 1), 0); again == nil {
				t.Fatalf("call %d: the body can be read after %v", fileSystem.failingCall, err)
			}
		}
		body.Close()
		body.Close()
	}
	return failed
}

// The files of ended processes are found and removed one by one, and those of a running one stay
// and can be read.
func TestStaleFilesAreRemoved(t *testing.T) {
	directory := t.TempDir()
	options := Options{FileSystem: OSFileSystem{}, Directory: directory, Name: "old", BlocksPerSegment: 4, MaxSegments: 2}
	running := openSpool(t, options)
	written := bytes.Repeat([]byte("a solution"), BlockSize/5)
	body := running.NewBody()
	write(t, body, written)
	for _, name := range []string{"dead-0", "dead-1"} {
		if err := os.WriteFile(filepath.Join(directory, name+fileSuffix), []byte("left"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	options.Name = "new"
	spool := openSpool(t, options)
	for _, left := range []int{1, 0, 0} {
		more, err := spool.RemoveStaleFile()
		if err != nil {
			t.Fatal(err)
		}
		if more != (left > 0) {
			t.Errorf("more to remove: %t, want %t", more, left > 0)
		}
		checkUsage(t, spool, Usage{StaleFiles: left})
	}
	checkFiles(t, directory, "old-0.spool")
	got := make([]byte, len(written))
	if _, err := body.ReadAt(got, 0); err != nil || !bytes.Equal(got, written) {
		t.Errorf("the running process read back other bytes than written: %v", err)
	}
	closeSpool(t, running)
	closeSpool(t, spool)
	checkFiles(t, directory)
}

// Preallocate adds segments up to the limit, and the blocks of none are in use.
func TestPreallocateUpToLimit(t *testing.T) {
	directory := t.TempDir()
	spool := openSpool(t, Options{FileSystem: OSFileSystem{}, Directory: directory, Name: "n", BlocksPerSegment: 1, MaxSegments: 2})
	for _, want := range []error{nil, nil, ErrFull} {
		if got := spool.Preallocate(); !errors.Is(got, want) {
			t.Errorf("got error %v, want %v", got, want)
		}
	}
	checkFiles(t, directory, "n-0.spool", "n-1.spool")
	checkUsage(t, spool, Usage{})
	closeSpool(t, spool)
}

func closeSpool(t *testing.T, spool *Spool) {
	t.Helper()
	if err := spool.Close(); err != nil {
		t.Error(err)
	}
}

// checkFiles compares the names of the files in a directory.
func checkFiles(t *testing.T, directory string, want ...string) {
	t.Helper()
	got, err := OSFileSystem{}.List(directory)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(got, want) {
		t.Errorf("files are %v, want %v", got, want)
	}
}

// What a body holds is not on disk in clear, is read back through its spool, and cannot be read
// after the spool is closed.
func TestBodyIsSealedOnDisk(t *testing.T) {
	const (
		blocksPerSegment = 4
		plainText        = "a solution"
	)
	directory := t.TempDir()
	spool := openSpool(t, Options{FileSystem: OSFileSystem{}, Directory: directory, Name: "n", BlocksPerSegment: blocksPerSegment, MaxSegments: 2})
	secret := bytes.Repeat([]byte(plainText), 2*BlockSize/len(plainText))
	body := spool.NewBody()
	write(t, body, secret)
	checkUsage(t, spool, Usage{Blocks: 1})
	onDisk, err := os.ReadFile(filepath.Join(directory, "n-0.spool"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(onDisk), blocksPerSegment*(BlockSize+sealOverhead); got != want {
		t.Errorf("%d bytes on disk, want %d", got, want)
	}
	if bytes.Contains(onDisk, []byte(plainText)) {
		t.Errorf("the file holds %q", plainText)
	}
	got := make([]byte, len(secret))
	if _, err := body.ReadAt(got, 0); err != nil || !bytes.Equal(got, secret) {
		t.Errorf("read back other bytes than written: %v", err)
	}
	closeSpool(t, spool)
	if _, err := body.ReadAt(got, 0); !errors.Is(err, ErrClosed) {
		t.Errorf("reading after the spool is closed: %v, want %v", err, ErrClosed)
	}
}

// Bodies of many writers at once are read back whole, also while they are written, and a writer
// that finds the spool full gets an error.
func TestConcurrentBodies(t *testing.T) {
	spool := openSpool(t, Options{FileSystem: OSFileSystem{}, Directory: t.TempDir(), Name: "n", BlocksPerSegment: 8, MaxSegments: 4})
	defer closeSpool(t, spool)
	var writers sync.WaitGroup
	for writer := range 12 {
		writers.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(writer), 1))
			for range 20 {
				writeAndReadBack(t, spool, rng, byte(writer+1))
			}
		})
	}
	writers.Wait()
	checkUsage(t, spool, Usage{})
	checkTooLarge(t, spool)
}

// writeAndReadBack writes a body of up to five parts and reads all of it back after each. It runs
// on a goroutine of its own.
func writeAndReadBack(t *testing.T, spool *Spool, rng *rand.Rand, fill byte) {
	t.Helper()
	body := spool.NewBody()
	defer body.Close()
	var want []byte
	for range rng.IntN(6) {
		part := bytes.Repeat([]byte{fill}, 1+rng.IntN(2*BlockSize))
		if _, err := body.Write(part); err != nil {
			if !errors.Is(err, ErrFull) {
				t.Errorf("write: %v, want success or %v", err, ErrFull)
			}
			return
		}
		want = append(want, part...)
		got := make([]byte, len(want))
		if n, err := body.ReadAt(got, 0); err != nil || n != len(want) || !bytes.Equal(got, want) {
			t.Errorf("read %d bytes: %v, want the %d that were written", n, err, len(want))
		}
	}
}

// A body that is larger than the spool is not retained.
func TestBodyLargerThanSpool(t *testing.T) {
	spool := openSpool(t, Options{FileSystem: OSFileSystem{}, Directory: t.TempDir(), Name: "n", BlocksPerSegment: 8, MaxSegments: 4})
	defer closeSpool(t, spool)
	checkTooLarge(t, spool)
}

// checkTooLarge checks that an empty spool of four segments of eight blocks takes as much of a
// larger body as it has room for.
func checkTooLarge(t *testing.T, spool *Spool) {
	t.Helper()
	const blocks = 8 * 4
	body := spool.NewBody()
	if _, err := body.Write(make([]byte, (blocks+8)*BlockSize)); !errors.Is(err, ErrFull) {
		t.Errorf("write: %v, want %v", err, ErrFull)
	}
	checkUsage(t, spool, Usage{Blocks: blocks})
	body.Close()
	checkUsage(t, spool, Usage{})
}
