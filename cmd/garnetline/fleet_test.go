package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"garnetline/internal/testcluster"
)

// inspect runs a command of this program and returns what it prints.
func inspect(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := newFleetCommand(&out).Run(context.Background(), append([]string{"fleet"}, args...))
	return out.String(), err
}

func startRig(t *testing.T, o testcluster.Options) *testcluster.Cluster {
	t.Helper()
	o.Program, o.Env, o.Dir = os.Args[0], []string{"GARNETLINE_TEST_PROGRAM=1"}, t.TempDir()
	r, err := testcluster.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// The command line shows the view of a running router, as a table, as JSON, and as it
// changes; a router without a fleet says that it has none.
func TestFleetCommand(t *testing.T) {
	r := startRig(t, testcluster.Options{Routers: 3, Servers: 1, Fleet: true, Seed: 1})
	if _, err := r.WaitForConvergence(30*time.Second, r.Routers...); err != nil {
		t.Fatal(err)
	}
	door := r.Routers[0].AdminAddr
	for _, x := range []struct {
		args []string
		want []string
	}{
		{[]string{"status", "--mgmt", door}, []string{"router  r00", "there   3 of 3 known lately"}},
		{[]string{"members", "--mgmt", door}, []string{"NAME", "r02", "alive", "itself"}},
		{[]string{"members", "--json", "--mgmt", door}, []string{`"there": 3`, `"name": "r01"`}},
	} {
		got, err := inspect(t, x.args...)
		for _, w := range x.want {
			if err != nil || !strings.Contains(got, w) {
				t.Errorf("%v: no %q in %s, %v", x.args, w, got, err)
			}
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	seen := make(chan string, 100)
	go newFleetCommand(lineWriter(seen)).Run(ctx, []string{"fleet", "watch", "--mgmt", door})
	waitFor := func(what string) {
		t.Helper()
		for late := time.After(30 * time.Second); ; {
			select {
			case l := <-seen:
				if strings.Contains(l, what) {
					return
				}
			case <-late:
				t.Fatalf("watch never says %q", what)
			}
		}
	}
	waitFor("r02")
	r.Routers[2].Kill()
	waitFor("failed")
	_, m, err := r.Routers[0].CallAdmin("GET", "/metrics")
	if err != nil || !strings.Contains(string(m), `app_fleet_members{state="failed"} 1`) || !strings.Contains(string(m), "app_fleet_known 3\n") {
		t.Errorf("%s, %v", m, err)
	}
}

type lineWriter chan string

func (w lineWriter) Write(b []byte) (int, error) {
	select {
	case w <- string(b):
	default:
	}
	return len(b), nil
}

// sockets counts the descriptors of a process that are sockets.
func sockets(t *testing.T, pid int) (n int) {
	t.Helper()
	l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Skipf("no /proc: %v", err)
	}
	for _, e := range l {
		if to, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, e.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// Without a fleet block, and without any file, a router has the same sockets, no page and
// no figure of a fleet, and writes the same bytes to its boxes; with one it has a socket more.
func TestNothingWithoutAFleetBlock(t *testing.T) {
	of := func(o testcluster.Options) (socks int, page int, figures string, asked []string) {
		o.Routers, o.Servers, o.Seed = 1, 1, 1
		r := startRig(t, o)
		x := r.Routers[0]
		if _, err := r.WaitUntil("ready", 30*time.Second, func() (bool, string) {
			code, _, err := x.CallAdmin("GET", "/ready")
			return code == 200, fmt.Sprint(code, err)
		}); err != nil {
			t.Fatal(err)
		}
		page, _, err := x.CallAdmin("GET", "/fleet")
		if err != nil {
			t.Fatal(err)
		}
		_, m, err := x.CallAdmin("GET", "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		var names []string
		for line := range strings.Lines(string(m)) {
			if strings.HasPrefix(line, "# TYPE") {
				names = append(names, line)
			}
		}
		for i := range 5 {
			conn, err := net.Dial("tcp", x.ListenAddr)
			if err != nil {
				t.Fatal(err)
			}
			say(t, conn, fmt.Sprintf("GET /v1/part/%016x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Txn: %016x\r\nX-Ttl-Ms: 4000\r\n\r\n", i+1, i+1))
			conn.Close()
		}
		// The sockets of clients and door come and go: those that stay are compared.
		socks = 1 << 20
		same := 0
		if _, err := r.WaitUntil("its own sockets alone", 30*time.Second, func() (bool, string) {
			if n := sockets(t, x.Pid()); n < socks {
				socks, same = n, 0
			}
			same++
			return same > 20, ""
		}); err != nil {
			t.Fatal(err)
		}
		for _, f := range r.Servers[0].Requests() {
			f, _, _ = strings.Cut(f, "patience=") // what is left of the client's time differs
			asked = append(asked, f)
		}
		return socks, page, strings.Join(names, ""), asked
	}
	bareSocks, barePage, bareFigures, bareAsked := of(testcluster.Options{NoSettingsFile: true})
	offSocks, offPage, offFigures, offAsked := of(testcluster.Options{})
	onSocks, onPage, onFigures, onAsked := of(testcluster.Options{Fleet: true})
	if barePage != 404 || offPage != 404 || onPage != 200 {
		t.Errorf("/fleet: %d without a file, %d without a block, %d with one", barePage, offPage, onPage)
	}
	if bareSocks != offSocks || bareFigures != offFigures || strings.Contains(offFigures, "fleet") || !strings.Contains(onFigures, "fleet") {
		t.Errorf("sockets %d and %d, figures:\n%s\n%s", bareSocks, offSocks, bareFigures, offFigures)
	}
	if onSocks != offSocks+1 {
		t.Errorf("a fleet has %d sockets, none has %d", onSocks, offSocks)
	}
	if len(bareAsked) != 5 || fmt.Sprint(bareAsked) != fmt.Sprint(offAsked) || fmt.Sprint(offAsked) != fmt.Sprint(onAsked) {
		t.Errorf("sent to the box:\n%q\n%q\n%q", bareAsked, offAsked, onAsked)
	}
}

// An operators' file is checked by itself where no configuration is named, and with a
// fleet the table of what each stance does is printed.
func TestCheckOfAFileByItself(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.hcl")
	run := func(text string) (string, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Setenv("EDGE_CONFIG", "")
		var out bytes.Buffer
		err := newCommand(&out).Run(context.Background(), []string{"garnetline", "check", "--settings", path})
		return out.String(), err
	}
	if got, err := run("log {}\n"); err != nil || !strings.Contains(got, "x.hcl: can be used") {
		t.Errorf("%q, %v", got, err)
	}
	if got, err := run("fleet {\n enabled = true\n keys = [\"sixteen bytes or more\"]\n}\n"); err != nil || !strings.Contains(got, "held until together") {
		t.Errorf("%q, %v", got, err)
	}
	if _, err := run("fleet {\n enabled = true\n}\n"); err == nil || !strings.Contains(err.Error(), "x.hcl:1: fleet: keys: ") {
		t.Errorf("%v", err)
	}
}
