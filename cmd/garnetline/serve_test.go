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
)

func newCache(t testing.TB, reply fakeserver.Reply) *fakeserver.Server {
	b, err := fakeserver.NewServer(reply)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.Close() })
	return b
}

func newLog(t testing.TB) (net.Addr, chan uint64) {
	l, err := fakeserver.NewIdleChangeLog()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr(), l.RequestedSeqs
}

func free(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func host(id int, class string, addr net.Addr) string {
	return fmt.Sprintf(`{"host":"s-%08x","dial":%q,"site":"edge","class":%q,"block":0,"health":"ready","share":100,"born_ms":0}`, id, addr, class)
}

const platform = `{"areas":["edge"],"machine_types":["box","parent","origin"],"zone":0,"weights":"rough",
"classes":[{"name":"part","effect":"read_like","aim_us":400000,"deadline_us":4000000,"value":2.0},
 {"name":"form","effect":"idempotency_key","group":"all","window_us":2000000,"aim_us":400000,"deadline_us":4000000,"value":3.0}],
"family_info":{"class_write":[false,true],"root_kind":2,"second_tier_kind":1,"seats_by_zone":[1],"cleared_within_us":6000000,"one_flow_kb_per_s":5000,"can_join":true},
"limits":{"try_limit":6,"cancel":true,"retry_after":true,"max_retry_after_us":2000000},"rules":{"cold_from":0.15,"cold_us":16000000,"fall_multiple":3.0,"overload_for_us":1500000}}`

// One whole run on real sockets: requests are served, a break is tried again,
// SIGTERM lets new ones in for a while, and the end is clean.
func TestServe(t *testing.T) {
	broken := true
	var mu sync.Mutex
	reply := func(id, fields string) string {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case strings.Contains(fields, "sort=form"):
			return fakeserver.Answer(id, "DONE", "tag=w1,minted=1", "written")
		case strings.Contains(fields, "asset=00000000000000bb") && broken:
			broken = false
			return fakeserver.Answer(id, "BROKE", "-", "")
		case strings.Contains(fields, "known=t7"):
			return fakeserver.Answer(id, "KEEP", "tag=t7,minted=1", "")
		}
		return fakeserver.Answer(id, "DONE", "tag=t7,minted=1", "the\r\nbytes\x00")
	}
	a, b := newCache(t, reply), newCache(t, reply)
	log, from := newLog(t)
	listen := free(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},"changelog":%q,
"known":{"seq":4,"results":[{"seq":4,"fleet":{"seq":0,"whole":true,"hosts":[%s,%s,%s,%s]}}]},"settings":%s}`, listen, log,
		host(1, "box", a.Addr()), host(2, "box", b.Addr()), host(8, "parent", a.Addr()), host(9, "origin", a.Addr()), platform)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	conf, err := platformconfig.Load(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- serve(context.Background(), setup{conf, operatorconfig.Default()}, nil) }()
	if seq := <-from; seq != 4 {
		t.Errorf("the change log was asked from %d, want 4", seq)
	}
	ask := func(method, target, body string, head ...string) (int, string) {
		t.Helper()
		r, err := http.NewRequest(method, "http://"+listen+target, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i+1 < len(head); i += 2 {
			r.Header.Set(head[i], head[i+1])
		}
		r.Header.Set("X-Txn", fmt.Sprintf("%016x", time.Now().UnixNano()))
		r.Header.Set("X-Ttl-Ms", "4000")
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Body.Close()
		got, err := io.ReadAll(w.Body)
		if err != nil {
			t.Fatal(err)
		}
		return w.StatusCode, string(got)
	}
	check := func(what string, status int, got string, wantStatus int, want string) {
		t.Helper()
		if status != wantStatus || got != want {
			t.Errorf("%s: %d %q, want %d %q", what, status, got, wantStatus, want)
		}
	}
	status, _ := ask("GET", "/healthz", "")
	for range 1000 { // until the list has been taken
		if status == 200 {
			break
		}
		status, _ = ask("GET", "/healthz", "")
	}
	const bytes = "the\r\nbytes\x00"
	status, got := ask("GET", "/v1/part/00000000000000aa?block=2", "", "X-Family", "9")
	check("a read", status, got, 200, bytes)
	status, got = ask("GET", "/v1/part/00000000000000bb", "")
	check("a read that breaks once", status, got, 200, bytes)
	status, got = ask("GET", "/v1/part/00000000000000aa", "", "If-None-Match", `"t7"`)
	check("a copy that holds", status, got, 304, "")
	status, got = ask("PUT", "/v1/form/00000000000000cc", "answer", "X-Txn-Key", "k1")
	check("a write", status, got, 200, "written")
	sent := strings.Join(append(a.Requests(), b.Requests()...), "\n")
	for _, want := range []string{"sort=part,asset=00000000000000aa,slice=2,patience=", ",via=s-00000008", ",op=k1,via=s-00000009"} {
		if !strings.Contains(sent, want) {
			t.Errorf("%q was never sent:\n%s", want, sent)
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for status, _ = ask("GET", "/healthz", ""); status == 200; status, _ = ask("GET", "/healthz", "") {
	}
	status, got = ask("GET", "/v1/part/00000000000000aa", "")
	check("a read while stopping", status, got, 200, bytes)
	http.DefaultClient.CloseIdleConnections()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", listen); err == nil {
		t.Error("still listening after the end")
	}
}

// SIGHUP goes over to the new file whole: the new change log is asked at once
// from the last number, and a request that is open is answered all the same, also
// while the router stops. A file that cannot be used changes nothing and ends nothing.
func TestReload(t *testing.T) {
	hold, asked := make(chan bool), make(chan bool, 8)
	a := newCache(t, func(id, _ string) string {
		asked <- true
		<-hold
		return fakeserver.Answer(id, "DONE", "tag=t7,minted=1", "kept")
	})
	first, from := newLog(t)
	second, again := newLog(t)
	listen, path := free(t), filepath.Join(t.TempDir(), "config.json")
	read := make(chan error, 1)
	load := func() (*platformconfig.Config, error) {
		conf, err := platformconfig.Load(path, func(string) string { return "" })
		read <- err
		return conf, err
	}
	file := func(listen string, log net.Addr) *platformconfig.Config {
		text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{},"changelog":%q,
"known":{"seq":4,"results":[{"seq":4,"fleet":{"seq":0,"whole":true,"hosts":[%s,%s]}}]},"settings":%s}`, listen, log,
			host(1, "box", a.Addr()), host(9, "origin", a.Addr()), platform)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		conf, err := load()
		<-read
		if err != nil {
			t.Fatal(err)
		}
		return conf
	}
	conf := file(listen, first)
	if err := conf.CheckReload(file(free(t), first)); err == nil || !strings.HasPrefix(err.Error(), "listen: ") {
		t.Errorf("another address: %v", err)
	}
	done := make(chan error, 1)
	go func() {
		done <- serve(context.Background(), setup{conf, operatorconfig.Default()}, func() (setup, error) {
			next, err := load()
			return setup{next, operatorconfig.Default()}, err
		})
	}()
	<-from
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for status, in := 0, bufio.NewReader(conn); status != 200; {
		io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		w, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, w.Body)
		status = w.StatusCode
	}
	io.WriteString(conn, "PUT /v1/form/00000000000000aa HTTP/1.1\r\nHost: x\r\nX-Txn: 00000000000000a1\r\n"+
		"X-Txn-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nX-Ttl-Ms: 30000\r\n\r\n")
	<-asked
	hangUp := func() {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(path, []byte(`{"listen":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	hangUp()
	if err := <-read; err == nil {
		t.Error("a broken file was read")
	}
	text := file(listen, second)
	hangUp()
	if err := <-read; err != nil || text.Discovery.String() != second.String() {
		t.Error(err)
	}
	if seq := <-again; seq != 4 {
		t.Errorf("the new change log was asked from %d, want 4", seq)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for stops := false; !stops; { // the last of two signals may be told first
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		w, err := http.ReadResponse(bufio.NewReader(c), nil)
		stops = err == nil && w.StatusCode != http.StatusOK
		c.Close()
	}
	file(listen, first)
	hangUp()
	if err := <-read; err != nil {
		t.Error(err)
	}
	if seq := <-from; seq != 4 {
		t.Errorf("while it stops the change log was asked from %d, want 4", seq)
	}
	close(hold)
	w, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(w.Body); err != nil || string(body) != "kept" {
		t.Errorf("the open request: %q, %v", body, err)
	}
	conn.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
