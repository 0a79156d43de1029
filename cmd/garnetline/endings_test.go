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
	"sync"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/fakeserver"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// run starts the router in this process with stand-ins and the platform's settings, changed,
// and returns where it listens. end, which the test's end calls too, ends it by SIGTERM.
func run(t *testing.T, change func(string) string, log net.Addr, hosts ...string) (listen string, end func()) {
	t.Helper()
	var path string
	listen, path = free(t), filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{},"changelog":%q,
"known":{"seq":4,"results":[{"seq":4,"fleet":{"seq":0,"whole":true,"hosts":[%s]}}]},"settings":%s}`, listen, log,
		strings.Join(hosts, ","), change(platform))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	conf, err := platformconfig.Load(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- serve(context.Background(), setup{conf, operatorconfig.Default()}, nil) }()
	end = sync.OnceFunc(func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(end)
	for bound := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if r, err := http.Get("http://" + listen + "/healthz"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return listen, end
			}
		}
		if time.Now().After(bound) {
			t.Fatal("not ready in time")
		}
	}
}

// send writes a request on a connection of its own; its answer's status is read by answered.
func send(t *testing.T, listen, method, target string, txn int, more string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	io.WriteString(c, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nX-Txn: %016x\r\nConnection: close\r\n%s\r\n", method, target, txn, more))
	return c
}

func answered(t *testing.T, c net.Conn) int {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// What must not run twice is never repeated once it may have run, however its attempt ends:
// reset, an error, silence until its time is over, its client gone, an answer that cannot be
// read to another request on its connection. What proves that it did not run is repeated.
func TestUnsafeRunsOnce(t *testing.T) {
	came, full := make(chan string, 16), true
	reply := func(id, fields string) string {
		came <- fields
		switch {
		case strings.Contains(fields, "00000000000000a1"):
			return fakeserver.CloseConnection
		case strings.Contains(fields, "00000000000000a2"):
			return fakeserver.Answer(id, "BROKE", "-", "")
		case strings.Contains(fields, "00000000000000a5"):
			return "*9\r\nnonsense"
		case strings.Contains(fields, "00000000000000a6") && full:
			full = false // the boxes are asked one after another
			return fakeserver.Answer(id, "WAIT", "-", "")
		case strings.Contains(fields, "00000000000000a6"):
			return fakeserver.Answer(id, "DONE", "tag=w,minted=1", "written")
		}
		return "" // nothing, for ever
	}
	a, b := newCache(t, reply), newCache(t, reply)
	log, _ := newLog(t)
	listen, _ := run(t, func(s string) string { return strings.Replace(s, `"idempotency_key"`, `"non_idempotent"`, 1) }, log,
		host(1, "box", a.Addr()), host(2, "box", b.Addr()), host(9, "origin", b.Addr()))
	put := func(n, ttl int) net.Conn {
		t.Helper()
		c := send(t, listen, "PUT", fmt.Sprintf("/v1/form/%016x", 0xa0+n), n, fmt.Sprintf("X-Ttl-Ms: %d\r\nContent-Length: 0\r\n", ttl))
		if got := <-came; !strings.Contains(got, fmt.Sprintf("asset=%016x", 0xa0+n)) {
			t.Fatalf("request %d: %s came", n, got)
		}
		return c
	}
	for _, c := range []struct{ n, ttl int }{{1, 3000}, {2, 3000}, {3, 400}} {
		if got := answered(t, put(c.n, c.ttl)); got != 502 {
			t.Errorf("request %d: status %d, want that it failed", c.n, got)
		}
	}
	put(4, 3000).Close() // its client leaves
	open := put(7, 3000) // with the next one on the same connection
	if got := answered(t, put(5, 3000)); got != 502 {
		t.Errorf("an answer that cannot be read: status %d", got)
	}
	if got := answered(t, open); got != 502 {
		t.Errorf("on a connection that was lost: status %d", got)
	}
	if got := answered(t, put(6, 3000)); got != 200 {
		t.Errorf("refused first: status %d", got)
	}
	runs := map[string]int{}
	for _, f := range append(a.Requests(), b.Requests()...) {
		runs[strings.Split(f, ",")[1]]++
	}
	for n, want := range map[int]int{1: 1, 2: 1, 3: 1, 4: 1, 5: 1, 6: 2, 7: 1} {
		if got := runs[fmt.Sprintf("asset=%016x", 0xa0+n)]; got != want {
			t.Errorf("request %d came %d times, want %d", n, got, want)
		}
	}
}

// A purge that is told, and a drain that is told late, hold for what is sent next: no older
// copy is asked for, and nothing goes to the box that drains, nor does it fill.
func TestToldThenSent(t *testing.T) {
	reply := func(id, _ string) string { return fakeserver.Answer(id, "DONE", "tag=t,minted=1", "x") }
	a, b := newCache(t, reply), newCache(t, reply)
	teller, err := fakeserver.NewChangeLog(4)
	if err != nil {
		t.Fatal(err)
	}
	defer teller.Close()
	listen, _ := run(t, func(s string) string { return s }, teller.Addr(), host(1, "box", a.Addr()), host(2, "box", b.Addr()), host(9, "origin", b.Addr()))
	get := func(n int) {
		t.Helper()
		if got := answered(t, send(t, listen, "GET", "/v1/part/00000000000000aa", n, "X-Ttl-Ms: 3000\r\n")); got != 200 {
			t.Errorf("status %d", got)
		}
	}
	last := func() string {
		all := append(a.Requests(), b.Requests()...)
		return all[len(all)-1]
	}
	teller.Purge(0xaa, uint64(time.Now().UnixMilli()-30))
	for n, end := 1, time.Now().Add(20*time.Second); ; n++ { // until it has been told, which the answers show
		if get(n); n > 1 && strings.Contains(strings.Join(append(a.Requests(), b.Requests()...), "\n"), ",fresh=") {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the purge does not show: " + last())
		}
	}
	home, other := a, b
	if len(b.Requests()) > len(a.Requests()) {
		home, other = b, a
	}
	id := map[*fakeserver.Server]uint32{a: 1, b: 2}[home]
	teller.UpdateEndpoints(fakeserver.Endpoint{ID: id, Addr: home.Addr().(*net.TCPAddr).AddrPort(), Phase: 1, Weight: 100})
	for n, end := 1000, time.Now().Add(20*time.Second); len(other.Requests()) == 0; n++ {
		if get(n); time.Now().After(end) {
			t.Fatal("the drain does not show")
		}
	}
	before := len(home.Requests())
	for n := range 20 {
		get(2000 + n)
	}
	if got := len(home.Requests()); got != before {
		t.Errorf("%d went to a box that drains", got-before)
	}
	for _, f := range other.Requests() {
		if strings.Contains(f, fmt.Sprintf("via=s-%08x", id)) {
			t.Errorf("it is a fill's source: %s", f)
		}
		if !strings.Contains(f, ",fresh=") {
			t.Errorf("sent without a bound after a purge: %s", f)
		}
	}
}

// Guards against requests that wait for caches which hang until the process is killed: at
// SIGTERM each one that is open at a cache, and each that is taken yet, has its answer in
// time, and a second SIGTERM changes nothing.
func TestEndWhileCachesHang(t *testing.T) {
	asked := make(chan bool, 8)
	box := newCache(t, func(string, string) string { asked <- true; return "" })
	log, _ := newLog(t)
	listen, end := run(t, func(s string) string { return strings.ReplaceAll(s, `"deadline_us":4000000`, `"deadline_us":50000000`) }, log,
		host(1, "box", box.Addr()), host(9, "origin", box.Addr()))
	ask := func(n int) net.Conn {
		return send(t, listen, "PUT", "/v1/form/00000000000000aa", n, fmt.Sprintf("X-Txn-Key: k%d\r\nX-Ttl-Ms: 50000\r\n", n))
	}
	conns := []net.Conn{ask(1)}
	<-asked
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	go end() // the second one
	for i, c := range append(conns, ask(2)) {
		if got := answered(t, c); got != 502 { // within 20 s, not 50
			t.Errorf("request %d: status %d", i, got)
		}
	}
	for _, c := range []struct{ longest, want time.Duration }{{6 * time.Second, 3500}, {time.Second, 1500}, {100 * time.Millisecond, 700}} {
		if got := drainTime([]routing.Class{{Deadline: c.longest}, {Deadline: time.Millisecond}}); got != float64(c.want) {
			t.Errorf("with a deadline of %v all ends after %v ms, want %d", c.longest, got, c.want)
		}
	}
}
