package main

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/daemontest"
	"garnetline/internal/fakeserver"
)

// binaryBody is a response body that contains a line break and a NUL byte.
const binaryBody = "the\r\nbytes\x00"

// failOnceServer replies like a cache that has every object, and fails the first request for the
// object with the hexadecimal id bb.
type failOnceServer struct {
	mu     sync.Mutex
	failed bool
}

func (s *failOnceServer) reply(id, fields string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case strings.Contains(fields, "sort=form"):
		return fakeserver.Answer(id, "DONE", "tag=w1,minted=1", "written")
	case strings.Contains(fields, "asset=00000000000000bb") && !s.failed:
		s.failed = true
		return fakeserver.Answer(id, "BROKE", "-", "")
	case strings.Contains(fields, "known=t7"):
		return fakeserver.Answer(id, "KEEP", "tag=t7,minted=1", "")
	}
	return fakeserver.Answer(id, "DONE", "tag=t7,minted=1", binaryBody)
}

// A daemon runs from start to shutdown on real sockets. It serves requests and retries a failed
// attempt. After SIGTERM it accepts new requests for a while. Then serve returns without an error.
func TestServeFromStartToShutdown(t *testing.T) {
	server := &failOnceServer{}
	first := daemontest.NewServer(t, server.reply)
	second := daemontest.NewServer(t, server.reply)
	changeLog := daemontest.NewIdleChangeLog(t)
	addr := daemontest.FreeAddr(t)
	config := daemontest.Config{
		ListenAddr: addr,
		ChangeLog:  changeLog.Addr(),
		Limits:     `{"cores":1,"memory_mb":192,"sockets":1024}`,
		Endpoints: []daemontest.Endpoint{
			{ID: 1, Kind: daemontest.Cache, Addr: first.Addr()},
			{ID: 2, Kind: daemontest.Cache, Addr: second.Addr()},
			{ID: 8, Kind: daemontest.Parent, Addr: first.Addr()},
			{ID: 9, Kind: daemontest.Origin, Addr: first.Addr()},
		},
	}
	daemon := startServe(config.Load(t, nil), nil)
	if seq := daemon.waitSubscribed(t, changeLog.RequestedSeqs); seq != daemontest.KnownSeq {
		t.Errorf("subscribed to the change log from sequence number %d, want %d", seq, daemontest.KnownSeq)
	}
	daemontest.WaitHealthy(t, addr)
	client := daemontest.Dial(t, addr)
	checkServedRequests(t, client)
	sent := strings.Join(append(first.Requests(), second.Requests()...), "\n")
	for _, want := range []string{"sort=part,asset=00000000000000aa,slice=2,patience=", ",via=s-00000008", ",op=k1,via=s-00000009"} {
		if !strings.Contains(sent, want) {
			t.Errorf("no request with %q was sent to a server:\n%s", want, sent)
		}
	}

	signalSelf(t, syscall.SIGTERM)
	daemontest.WaitDraining(t, addr)
	got := client.Exchange(t, readRequest("/v1/part/00000000000000aa", 5))
	if got.Status != http.StatusOK || got.Body != binaryBody {
		t.Errorf("a read during shutdown: got %d %q, want 200 %q", got.Status, got.Body, binaryBody)
	}
	daemontest.Close(t, client)
	daemon.wait(t)
	if late, err := daemontest.DialContext(t.Context(), addr); err == nil {
		daemontest.Close(t, late)
		t.Error("the daemon still accepts connections after the shutdown")
	}
}

// checkServedRequests sends one request of each kind that failOnceServer serves, and checks the
// responses.
func checkServedRequests(t *testing.T, client *daemontest.Client) {
	t.Helper()
	for _, exchange := range []struct {
		name, request string
		wantStatus    int
		wantBody      string
	}{
		{"a read", readRequest("/v1/part/00000000000000aa?block=2", 1, "X-Family: 9"), 200, binaryBody},
		{"a read that fails once", readRequest("/v1/part/00000000000000bb", 2), 200, binaryBody},
		{"a copy that is current", readRequest("/v1/part/00000000000000aa", 3, `If-None-Match: "t7"`), 304, ""},
		{"a write", daemontest.RequestWithBody("PUT", "/v1/form/00000000000000cc", "answer", servedHeader(4, "X-Txn-Key: k1")...), 200, "written"},
	} {
		got := client.Exchange(t, exchange.request)
		if got.Status != exchange.wantStatus || got.Body != exchange.wantBody {
			t.Errorf("%s: got %d %q, want %d %q", exchange.name, got.Status, got.Body, exchange.wantStatus, exchange.wantBody)
		}
	}
}

// servedHeader returns the header of a request whose client waits 4 s.
func servedHeader(transaction int, more ...string) []string {
	return append(more, daemontest.Transaction(transaction), daemontest.ClientTimeout(4*time.Second))
}

// readRequest returns a GET request whose client waits 4 s.
func readRequest(target string, transaction int, header ...string) string {
	return daemontest.Request("GET", target, servedHeader(transaction, header...)...)
}

// reloadTest is a daemon whose configuration file is rewritten while it runs.
type reloadTest struct {
	t        *testing.T
	path     string
	config   daemontest.Config
	loaded   chan error // result of each read of the file
	received chan bool  // receives a value for each request that arrives at the server
	release  chan bool  // closed when the server may reply
}

func newReloadTest(t *testing.T) *reloadTest {
	t.Helper()
	test := &reloadTest{
		t:        t,
		path:     t.TempDir() + "/config.json",
		loaded:   make(chan error, 1),
		received: make(chan bool, 8),
		release:  make(chan bool),
	}
	server := daemontest.NewServer(t, func(id, _ string) string {
		test.received <- true
		<-test.release
		return fakeserver.Answer(id, "DONE", "tag=t7,minted=1", "kept")
	})
	test.config = daemontest.Config{
		ListenAddr: daemontest.FreeAddr(t),
		Endpoints: []daemontest.Endpoint{
			{ID: 1, Kind: daemontest.Cache, Addr: server.Addr()},
			{ID: 9, Kind: daemontest.Origin, Addr: server.Addr()},
		},
	}
	return test
}

// load reads the file when the daemon reloads. It sends the error of the read, or nil, on loaded.
func (r *reloadTest) load() (daemonConfig, error) {
	next, err := loadConfigFrom(r.path)
	r.loaded <- err
	return next, err
}

// write writes a configuration file with the given listen address and change log. It reads the file
// back and returns the configuration.
func (r *reloadTest) write(addr string, changeLog net.Addr) daemonConfig {
	r.t.Helper()
	config := r.config
	config.ListenAddr = addr
	config.ChangeLog = changeLog
	config.Write(r.t, r.path)
	next, err := loadConfigFrom(r.path)
	if err != nil {
		r.t.Fatal(err)
	}
	return next
}

// reload sends SIGHUP, waits until the daemon has read the file, and returns the error of that
// read.
func (r *reloadTest) reload() error {
	r.t.Helper()
	signalSelf(r.t, syscall.SIGHUP)
	return <-r.loaded
}

// SIGHUP applies a new configuration file. The daemon immediately subscribes to the new change log,
// from the last known sequence number, and still answers the open request. A reload also works
// during a shutdown. After the reload of an invalid file, the daemon continues with the old
// configuration.
func TestReloadReplacesTheConfiguration(t *testing.T) {
	test := newReloadTest(t)
	first := daemontest.NewIdleChangeLog(t)
	second := daemontest.NewIdleChangeLog(t)
	addr := test.config.ListenAddr
	initial := test.write(addr, first.Addr())
	moved := test.write(daemontest.FreeAddr(t), first.Addr())
	if err := initial.platform.CheckReload(moved.platform); err == nil || !strings.HasPrefix(err.Error(), "listen: ") {
		t.Errorf("reload with another listen address: got %v, want an error that starts with \"listen: \"", err)
	}
	daemon := startServe(initial.platform, test.load)
	daemon.waitSubscribed(t, first.RequestedSeqs)
	open := daemontest.Dial(t, addr)
	daemontest.WaitUntil(t, "the router is healthy", func() bool {
		return open.Exchange(t, daemontest.Request("GET", "/healthz")).Status == http.StatusOK
	})
	open.Send(t, daemontest.Request("PUT", "/v1/form/00000000000000aa", daemontest.Transaction(0xa1),
		"X-Txn-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211", daemontest.ClientTimeout(30*time.Second)))
	<-test.received

	daemontest.WriteFile(t, test.path, `{"listen":1}`)
	if err := test.reload(); err == nil {
		t.Error("reload of an invalid file: got no error, want one")
	}
	next := test.write(addr, second.Addr())
	if err := test.reload(); err != nil {
		t.Errorf("reload of a valid file: %v", err)
	}
	if got, want := next.platform.Discovery.String(), second.Addr().String(); got != want {
		t.Errorf("got change log %s, want %s", got, want)
	}
	checkSubscription(t, "the new change log", second)

	signalSelf(t, syscall.SIGTERM)
	daemontest.WaitDraining(t, addr)
	test.write(addr, first.Addr())
	if err := test.reload(); err != nil {
		t.Errorf("reload of a valid file during shutdown: %v", err)
	}
	checkSubscription(t, "the change log of a reload during shutdown", first)
	close(test.release)
	if got := open.Receive(t); got.Body != "kept" {
		t.Errorf("open request: got body %q, want \"kept\"", got.Body)
	}
	daemontest.Close(t, open)
	daemon.wait(t)
}

// checkSubscription checks that the daemon subscribes to a change log from the last known sequence
// number.
func checkSubscription(t *testing.T, name string, changeLog *fakeserver.IdleChangeLog) {
	t.Helper()
	if seq := <-changeLog.RequestedSeqs; seq != daemontest.KnownSeq {
		t.Errorf("subscribed to %s from sequence number %d, want %d", name, seq, daemontest.KnownSeq)
	}
}
