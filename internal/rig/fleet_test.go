package rig

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var program string

// TestMain builds the program once.
func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "garnetline")
	if out, err := exec.Command("go", "build", "-o", program, "garnetline/cmd/garnetline").CombinedOutput(); err != nil {
		fmt.Printf("%v: %s\n", err, out)
		return 1
	}
	return m.Run()
}

// must fails the test where a rig says that something is not so.
func must(t *testing.T, what string, took time.Duration, err error) time.Duration {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	t.Logf("%s after %v", what, took.Round(time.Millisecond))
	return took
}

func start(t *testing.T, o Options) *Rig {
	t.Helper()
	o.Program, o.Dir = program, t.TempDir()
	r, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// Eight routers find each other, one is killed, and comes back under the same name.
func TestFleetOfProcesses(t *testing.T) {
	r := start(t, Options{Routers: 8, Boxes: 3, Fleet: true, Seed: 1})
	took, err := r.Alike(30*time.Second, r.Live()...)
	must(t, "all joined", took, err)
	x := r.Routers[5]
	x.Kill()
	took, err = r.Sees(20*time.Second, x, "failed", r.Live()...)
	must(t, "killed one failed", took, err)
	if err := x.Start(); err != nil {
		t.Fatal(err)
	}
	took, err = r.Alike(20*time.Second, r.Live()...)
	must(t, "back", took, err)
}
