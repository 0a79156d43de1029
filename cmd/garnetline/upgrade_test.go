package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"garnetline/internal/fakeserver"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/platformconfig"
)

// configure writes a configuration of one cache and one origin and reads it, with
// the environment given as names and values.
func configure(t *testing.T, listen string, log, box net.Addr, env ...string) *platformconfig.Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{},"changelog":%q,
"known":{"seq":4,"results":[{"seq":4,"fleet":{"seq":0,"whole":true,"hosts":[%s,%s]}}]},"settings":%s}`, listen, log,
		host(1, "box", box), host(9, "origin", box), platform)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	conf, err := platformconfig.Load(path, func(name string) string {
		for i := 0; i+1 < len(env); i += 2 {
			if env[i] == name {
				return env[i+1]
			}
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	return conf
}

// say sends one request on a connection and returns its answer.
func say(t *testing.T, conn net.Conn, request string) (*http.Response, string) {
	t.Helper()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	w, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	return w, string(body)
}

func connect(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// Guards the wiring of the operators' door: it says yes once requests can be served,
// counts them, and a cache that staff took out gets nothing until it is back.
func TestDoor(t *testing.T) {
	box := newCache(t, func(id, _ string) string { return fakeserver.Answer(id, "DONE", "tag=t7,minted=1", "bytes") })
	log, from := newLog(t)
	listen, mgmt := free(t), free(t)
	conf := configure(t, listen, log, box.Addr(), "EDGE_MGMT", mgmt, "TMPDIR", t.TempDir())
	done := make(chan error, 1)
	go func() { done <- serve(context.Background(), setup{conf, operatorconfig.Default()}, nil) }()
	select {
	case <-from:
	case err := <-done:
		t.Fatal(err)
	}
	call := func(method, path string) (int, string) {
		t.Helper()
		conn := connect(t, mgmt)
		defer conn.Close()
		w, body := say(t, conn, method+" "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		if !w.Close {
			t.Errorf("%s: the door stays open", path)
		}
		return w.StatusCode, body
	}
	ask := func(txn string, want int) {
		t.Helper()
		w, _ := say(t, connect(t, listen), "GET /v1/part/00000000000000aa HTTP/1.1\r\nHost: x\r\nX-Txn: 00000000000000"+txn+"\r\nX-Ttl-Ms: 4000\r\n\r\n")
		if w.StatusCode != want {
			t.Errorf("request %s: %d, want %d", txn, w.StatusCode, want)
		}
	}
	for status := 0; status != 200; status, _ = call("GET", "/ready") {
	}
	ask("a1", 200)
	if status, _ := call("POST", "/caches/disable/s-00000001"); status != 200 {
		t.Errorf("out: %d", status)
	}
	ask("a2", 503)
	if status, _ := call("POST", "/caches/disable/s-000000ff"); status != 404 {
		t.Errorf("out, unknown: %d", status)
	}
	_, text := call("GET", "/metrics")
	for _, want := range []string{`app_operations_total{priority="part",status="fulfilled"} 1`, `app_operations_total{priority="part",status="throttled"} 1`,
		"app_relayed_total 1", "app_registry_entries 2", "app_out_of_rotation 1"} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
	if status, _ := call("POST", "/caches/enable/s-00000001"); status != 200 {
		t.Errorf("back: %d", status)
	}
	ask("a3", 200)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against binding an address that the platform holds: the program ended at
// once where its socket was inherited. Its end leaves the socket to others.
func TestInheritedSocket(t *testing.T) {
	box := newCache(t, func(id, _ string) string { return fakeserver.Answer(id, "DONE", "tag=t7,minted=1", "bytes") })
	log, from := newLog(t)
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	listen := held.Addr().String()
	f, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Dup(int(f.Fd())) // serve closes what it is given
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	conf := configure(t, listen, log, box.Addr(), "EDGE_LISTEN_FD", strconv.Itoa(fd))
	done := make(chan error, 1)
	go func() { done <- serve(context.Background(), setup{conf, operatorconfig.Default()}, nil) }()
	select {
	case <-from:
	case err := <-done:
		t.Fatal(err)
	}
	conn := connect(t, listen)
	const health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	for ready := false; !ready; {
		w, _ := say(t, conn, health)
		ready = w.StatusCode == http.StatusOK
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	connect(t, listen) // the platform's socket is still there
}
