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

// write writes data to a body and fails the test on an error.
func write(tb testing.TB, body *Body, data []byte) {
	tb.Helper()
	if n, err := body.Write(data); err != nil || n != len(data) {
		tb.Fatalf("wrote %d of %d bytes, error %v", n, len(data), err)
	}
}

func checkUsage(tb testing.TB, spool *Spool, want Usage) {
	tb.Helper()
	if got := spool.Usage(); got != want {
		tb.Errorf("got usage %+v, want %+v", got, want)
	}
}

// TestEachFailingCallLosesNoBlock runs the same operations once for each combination of a file
// system call and a write fault, and makes that call fail. A read must return either the bytes that
// were written or an error. It must never return part of the body or bytes of another body. All
// blocks must be freed.
func TestEachFailingCallLosesNoBlock(t *testing.T) {
	for fault := range writeFaultEnd {
		t.Run(fmt.Sprintf("write fault %d", fault), func(t *testing.T) {
			calls := runRounds(t, &faultyFileSystem{writeFault: fault})
			for failing := 1; failing <= calls; failing++ {
				runRounds(t, &faultyFileSystem{writeFault: fault, failingCall: failing})
			}
		})
	}
}

// runRounds writes and reads two bodies in each of three rounds, so that blocks are reused. It
// returns the number of file system calls. One failing call may make at most two bodies unusable:
// those of one round.
func runRounds(t *testing.T, fileSystem *faultyFileSystem) int {
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
		failed += runRound(t, spool, fileSystem, rng, round)
	}
	if failed > maxFailedBodies || fileSystem.failingCall == 0 && failed > 0 {
		t.Fatalf("failing call %d: got %d failed bodies, want at most two, and none without a failing call", fileSystem.failingCall, failed)
	}
	if got := spool.Usage().Blocks; got != 0 {
		t.Fatalf("failing call %d: got %d used blocks after all bodies were closed, want 0", fileSystem.failingCall, got)
	}
	if err := spool.Close(); err != nil && fileSystem.failingCall == 0 {
		t.Error(err)
	}
	return fileSystem.calls
}

// runRound writes to two bodies alternately, reads and closes them, and returns how many of them
// could not be read.
func runRound(t *testing.T, spool *Spool, fileSystem *faultyFileSystem, rng *rand.Rand, round int) int {
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
			t.Fatalf("failing call %d: read %d bytes, want the %d bytes that were written", fileSystem.failingCall, len(got), len(want[i]))
		}
		if err != nil {
			failed++
			if _, again := body.ReadAt(make([]byte, 1), 0); again == nil {
				t.Fatalf("failing call %d: the body can still be read after error %v", fileSystem.failingCall, err)
			}
		}
		body.Close()
		body.Close()
	}
	return failed
}

// Open finds the files of ended processes, and RemoveStaleFile removes them one by one. The files
// of a running process stay and can be read.
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
			t.Errorf("RemoveStaleFile: got %t for more files left, want %t", more, left > 0)
		}
		checkUsage(t, spool, Usage{StaleFiles: left})
	}
	checkFiles(t, directory, "old-0.spool")
	got := make([]byte, len(written))
	if _, err := body.ReadAt(got, 0); err != nil || !bytes.Equal(got, written) {
		t.Errorf("the running process read bytes that differ from those written, error %v", err)
	}
	closeSpool(t, running)
	closeSpool(t, spool)
	checkFiles(t, directory)
}

// Preallocate adds segments up to the limit and leaves their blocks unused.
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

// checkFiles checks that a directory contains exactly the files with the expected names.
func checkFiles(t *testing.T, directory string, want ...string) {
	t.Helper()
	got, err := OSFileSystem{}.List(directory)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got files %v, want %v", got, want)
	}
}

// The files on disk do not contain the plaintext of a body. The body can be read through the spool
// until the spool is closed.
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
		t.Errorf("got %d bytes on disk, want %d", got, want)
	}
	if bytes.Contains(onDisk, []byte(plainText)) {
		t.Errorf("the file contains the plaintext %q", plainText)
	}
	got := make([]byte, len(secret))
	if _, err := body.ReadAt(got, 0); err != nil || !bytes.Equal(got, secret) {
		t.Errorf("read bytes that differ from those written, error %v", err)
	}
	closeSpool(t, spool)
	if _, err := body.ReadAt(got, 0); !errors.Is(err, ErrClosed) {
		t.Errorf("read after the spool was closed: got error %v, want %v", err, ErrClosed)
	}
}

// Several writers use the spool concurrently. After each write, a writer can read all bytes that it
// has written to its body. If the spool has no free block, the writer gets ErrFull.
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

// writeAndReadBack writes a body of up to five parts and reads the whole body after each part. It
// runs on its own goroutine and therefore does not call Fatal.
func writeAndReadBack(t *testing.T, spool *Spool, rng *rand.Rand, fill byte) {
	t.Helper()
	body := spool.NewBody()
	defer body.Close()
	var want []byte
	for range rng.IntN(6) {
		part := bytes.Repeat([]byte{fill}, 1+rng.IntN(2*BlockSize))
		if _, err := body.Write(part); err != nil {
			if !errors.Is(err, ErrFull) {
				t.Errorf("write: got error %v, want none or %v", err, ErrFull)
			}
			return
		}
		want = append(want, part...)
		got := make([]byte, len(want))
		if n, err := body.ReadAt(got, 0); err != nil || n != len(want) || !bytes.Equal(got, want) {
			t.Errorf("read %d bytes, error %v, want the %d bytes that were written", n, err, len(want))
		}
	}
}

// Writing a body that is larger than the spool fails.
func TestBodyLargerThanSpool(t *testing.T) {
	spool := openSpool(t, Options{FileSystem: OSFileSystem{}, Directory: t.TempDir(), Name: "n", BlocksPerSegment: 8, MaxSegments: 4})
	defer closeSpool(t, spool)
	checkTooLarge(t, spool)
}

// checkTooLarge writes a body that is too large for an empty spool with four segments of eight blocks.
// It checks that the write fails with ErrFull, that the body uses all blocks, and that Close frees
// them.
func checkTooLarge(t *testing.T, spool *Spool) {
	t.Helper()
	const blocks = 8 * 4
	body := spool.NewBody()
	if _, err := body.Write(make([]byte, (blocks+8)*BlockSize)); !errors.Is(err, ErrFull) {
		t.Errorf("write: got error %v, want %v", err, ErrFull)
	}
	checkUsage(t, spool, Usage{Blocks: blocks})
	body.Close()
	checkUsage(t, spool, Usage{})
}
