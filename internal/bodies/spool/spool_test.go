package spool

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

// faulty is a file layer that fails at one call, in one of several ways.
type faultyFileSystem struct {
	OSFileSystem
	at, calls int // the call that fails; 0: none
	how       int
}

func (f *faultyFileSystem) fails() bool { f.calls++; return f.calls == f.at }

func (f *faultyFileSystem) Create(path string) (File, error) {
	if f.fails() {
		return nil, syscall.EMFILE
	}
	g, err := f.OSFileSystem.Create(path)
	return &faultyFile{g, f}, err
}

func (f *faultyFileSystem) Remove(path string) error {
	if f.fails() {
		return syscall.EIO
	}
	return f.OSFileSystem.Remove(path)
}

func (f *faultyFileSystem) List(folder string) ([]string, error) {
	if f.fails() {
		return nil, syscall.EIO
	}
	return f.OSFileSystem.List(folder)
}

func (f *faultyFileSystem) InUse(path string) (bool, error) {
	if f.fails() {
		return false, syscall.EIO
	}
	return f.OSFileSystem.InUse(path)
}

type faultyFile struct {
	File
	f *faultyFileSystem
}

func (g *faultyFile) Truncate(n int64) error {
	if g.f.fails() {
		return syscall.ENOSPC
	}
	return g.File.Truncate(n)
}

// WriteAt fails, writes a part, or writes something else and says that all is well.
func (g *faultyFile) WriteAt(p []byte, at int64) (int, error) {
	if !g.f.fails() {
		return g.File.WriteAt(p, at)
	}
	switch g.f.how {
	case 0:
		return 0, syscall.ENOSPC
	case 1:
		return g.File.WriteAt(p[:len(p)/2], at)
	}
	q := bytes.Clone(p)
	q[len(q)/3] ^= 1
	return g.File.WriteAt(q, at)
}

func (g *faultyFile) ReadAt(p []byte, at int64) (int, error) {
	if g.f.fails() {
		return 0, syscall.EIO
	}
	return g.File.ReadAt(p, at)
}

// With every call of the file layer failing in turn, in each way: what is read is what
// was written or an error, never a part or another body's; and all room comes back.
func TestEachFailingCallLosesNoBlock(t *testing.T) {
	for how := range 3 {
		for at, last := 0, 1; at <= last; at++ {
			f := &faultyFileSystem{at: at, how: how}
			s, err := Open(Options{FileSystem: f, Directory: t.TempDir(), Name: "n1", BlocksPerSegment: 2, MaxSegments: 3})
			if err != nil {
				continue
			}
			rng := rand.New(rand.NewPCG(1, 1))
			failed := 0
			for round := range 3 { // blocks are used again
				var want [2][]byte
				bodies := [2]*Body{s.NewBody(), s.NewBody()}
				for i := range 5 {
					p := bytes.Repeat([]byte{byte(16*round + 2*i + 1)}, 1+rng.IntN(BlockSize))
					if n, err := bodies[i%2].Write(p); err == nil && n == len(p) {
						want[i%2] = append(want[i%2], p...)
					} else {
						want[i%2] = nil
					}
				}
				for i, b := range bodies {
					got, err := io.ReadAll(io.NewSectionReader(b, 0, b.Size()))
					if err == nil && !bytes.Equal(got, want[i]) {
						t.Fatalf("way %d, call %d: %d bytes are read, %d were written", how, at, len(got), len(want[i]))
					}
					if err != nil {
						failed++
						if _, again := b.ReadAt(make([]byte, 1), 0); again == nil {
							t.Fatalf("way %d, call %d: read after %v", how, at, err)
						}
					}
					b.Close()
					b.Close()
				}
			}
			if used, _ := s.Used(); used != 0 || at == 0 && failed > 0 || failed > 2 {
				t.Fatalf("way %d, call %d: %d blocks are used in the end, %d bodies failed", how, at, used, failed)
			}
			if err := s.Close(); err != nil && at == 0 {
				t.Error(err)
			}
			if at == 0 {
				last = f.calls
			}
		}
	}
}

// The files of a dead process are found and removed one by one; a living one's are left
// alone, and what a body held cannot be read from them without the key.
func TestStaleFilesAreRemoved(t *testing.T) {
	folder := t.TempDir()
	o := Options{FileSystem: OSFileSystem{}, Directory: folder, Name: "old", BlocksPerSegment: 4, MaxSegments: 2}
	live, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	secret := bytes.Repeat([]byte("a solution"), 2*BlockSize/10)
	b := live.NewBody()
	if _, err := b.Write(secret); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"dead-0", "dead-1"} {
		if err := os.WriteFile(filepath.Join(folder, name+fileSuffix), []byte("left"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	o.Name = "new"
	s, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	if _, dead := s.Used(); dead != 2 {
		t.Errorf("%d files of dead processes, want 2", dead)
	}
	for more := true; more; {
		if more, err = s.RemoveStaleFile(); err != nil {
			t.Fatal(err)
		}
	}
	names, _ := OSFileSystem{}.List(folder)
	if len(names) != 1 {
		t.Errorf("left: %v, want the living one's", names)
	}
	text, _ := os.ReadFile(filepath.Join(folder, names[0]))
	if bytes.Contains(text, []byte("a solution")) || len(text) != 4*(BlockSize+sealOverhead) {
		t.Errorf("%d bytes on disk, or a body in clear", len(text))
	}
	got := make([]byte, len(secret))
	if _, err := b.ReadAt(got, 0); err != nil || !bytes.Equal(got, secret) {
		t.Errorf("the living one's body: %v", err)
	}
	live.Close()
	if _, err := b.ReadAt(got, 0); !errors.Is(err, ErrClosed) {
		t.Errorf("after the end: %v", err)
	}
	s.Close()
	if names, _ := (OSFileSystem{}).List(folder); len(names) != 0 {
		t.Errorf("left in the end: %v", names)
	}
}

// Bodies of many writers at once come back whole, also read while they are written, and
// a spool without room says so to the one that asks.
func TestConcurrentBodies(t *testing.T) {
	s, err := Open(Options{FileSystem: OSFileSystem{}, Directory: t.TempDir(), Name: "n", BlocksPerSegment: 8, MaxSegments: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var wg sync.WaitGroup
	full := make([]int, 12)
	for w := range 12 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(w), 1))
			for range 20 {
				b, sum := s.NewBody(), []byte(nil)
				for range rng.IntN(6) {
					p := bytes.Repeat([]byte{byte(w + 1)}, 1+rng.IntN(2*BlockSize))
					if _, err := b.Write(p); err != nil {
						if !errors.Is(err, ErrFull) {
							t.Error(err)
						}
						full[w]++
						sum = nil
						break
					}
					sum = append(sum, p...)
					got := make([]byte, len(sum))
					if n, err := b.ReadAt(got, 0); err != nil || n != len(sum) || !bytes.Equal(got, sum) {
						t.Errorf("%d of %d bytes, %v", n, len(sum), err)
					}
				}
				b.Close()
			}
		})
	}
	wg.Wait()
	if used, _ := s.Used(); used != 0 {
		t.Errorf("%d blocks are used in the end", used)
	}
	if b := s.NewBody(); true {
		if _, err := b.Write(make([]byte, 40*BlockSize)); !errors.Is(err, ErrFull) {
			t.Errorf("beyond all room: %v", err)
		}
		b.Close()
	}
}
