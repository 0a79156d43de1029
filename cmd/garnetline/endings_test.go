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
	"strings"
	"syscall"
	"testing"
	"time"

	"garnetline/decide"
	"garnetline/internal/config"
	"garnetline/internal/settings"
)

// Guards against requests that wait for caches which hang until the process is killed: at
// SIGTERM each one that is open at a cache and
// each that is taken yet has its answer in time, and a second SIGTERM changes nothing.
func TestEndWhileCachesHang(t *testing.T) {
	asked := make(chan bool, 8)
	box := newCache(t, func(string, string) string { asked <- true; return "" })
	log, from := newLog(t)
	listen, path := free(t), filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{},"changelog":%q,
"known":{"seq":4,"results":[{"seq":4,"fleet":{"seq":0,"whole":true,"hosts":[%s,%s]}}]},"settings":%s}`, listen, log,
		host(1, "box", box.Addr()), host(9, "origin", box.Addr()), strings.ReplaceAll(platform, `"deadline_us":4000000`, `"deadline_us":50000000`))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	conf, err := config.Load(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- serve(context.Background(), setup{conf, settings.Default()}, nil) }()
	<-from
	ask := func(n int) net.Conn {
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, fmt.Sprintf("PUT /v1/form/00000000000000aa HTTP/1.1\r\nHost: x\r\nX-Txn: %016x\r\nX-Txn-Key: k%d\r\nX-Ttl-Ms: 50000\r\n\r\n", n, n))
		return conn
	}
	conns := []net.Conn{ask(1)}
	<-asked
	signal := time.Now()
	for range 2 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	conns = append(conns, ask(2))
	for i, c := range conns {
		c.SetReadDeadline(signal.Add(30 * time.Second))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode != 502 {
			t.Fatalf("request %d: %v, %v", i, r, err)
		}
		c.Close()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	// By the clock of the machine within a wide bound; by the settings exactly.
	for _, c := range []struct{ longest, want time.Duration }{{6 * time.Second, 3500}, {time.Second, 1500}, {100 * time.Millisecond, 700}} {
		if got := endIn([]decide.Class{{Deadline: c.longest}, {Deadline: time.Millisecond}}); got != float64(c.want) {
			t.Errorf("with a deadline of %v all ends after %v ms, want %d", c.longest, got, c.want)
		}
	}
}
