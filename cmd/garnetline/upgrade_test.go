package main

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"garnetline/internal/daemontest"
	"garnetline/internal/fakeserver"
)

// servesAll is the reply of a server that serves each request with servedBody.
func servesAll(id, _ string) string {
	return fakeserver.Answer(id, "DONE", "tag=t7,minted=1", servedBody)
}

// oneCache returns a configuration with one cache and one origin, both at the address of server.
func oneCache(changeLog *fakeserver.IdleChangeLog, server *fakeserver.Server) daemontest.Config {
	return daemontest.Config{
		ChangeLog: changeLog.Addr(),
		Endpoints: []daemontest.Endpoint{
			{ID: 1, Kind: daemontest.Cache, Addr: server.Addr()},
			{ID: 9, Kind: daemontest.Origin, Addr: server.Addr()},
		},
	}
}

// The admin API reports the router ready once it can serve requests, and counts the requests. A
// cache that an operator disabled gets no requests until it is enabled again.
func TestAdminAPI(t *testing.T) {
	changeLog := daemontest.NewIdleChangeLog(t)
	config := oneCache(changeLog, daemontest.NewServer(t, servesAll))
	config.ListenAddr = daemontest.FreeAddr(t)
	adminAddr := daemontest.FreeAddr(t)
	daemon := startServe(config.Load(t, map[string]string{"EDGE_MGMT": adminAddr, "TMPDIR": t.TempDir()}), nil)
	daemon.waitSubscribed(t, changeLog.RequestedSeqs)
	call := func(method, path string) daemontest.Response {
		t.Helper()
		response := daemontest.Exchange(t, adminAddr, daemontest.RequestWithBody(method, path, ""))
		if !response.Close {
			t.Errorf("%s: the connection stays open after the response, want it closed", path)
		}
		return response
	}
	checkCall := func(method, path string, want int) {
		t.Helper()
		if got := call(method, path).Status; got != want {
			t.Errorf("%s %s: got status %d, want %d", method, path, got, want)
		}
	}
	checkRead := func(transaction, want int) {
		t.Helper()
		got := daemontest.Exchange(t, config.ListenAddr, readRequest("/v1/part/00000000000000aa", transaction))
		if got.Status != want {
			t.Errorf("request %x: got status %d, want %d", transaction, got.Status, want)
		}
	}

	daemontest.WaitUntil(t, "the router is ready", func() bool { return call("GET", "/ready").Status == http.StatusOK })
	checkRead(0xa1, http.StatusOK)
	checkCall("POST", "/caches/disable/s-00000001", http.StatusOK)
	checkRead(0xa2, http.StatusServiceUnavailable)
	checkCall("POST", "/caches/disable/s-000000ff", http.StatusNotFound)
	checkMetrics(t, call("GET", "/metrics").Body)
	checkCall("POST", "/caches/enable/s-00000001", http.StatusOK)
	checkRead(0xa3, http.StatusOK)
	signalSelf(t, syscall.SIGTERM)
	daemon.wait(t)
}

// checkMetrics checks the body of GET /metrics after one request was served and one was rejected,
// while one of two servers is disabled.
func checkMetrics(t *testing.T, page string) {
	t.Helper()
	for _, want := range []string{
		`app_operations_total{priority="part",status="fulfilled"} 1`,
		`app_operations_total{priority="part",status="throttled"} 1`,
		"app_relayed_total 1",
		"app_registry_entries 2",
		"app_out_of_rotation 1",
	} {
		if !strings.Contains(page, want+"\n") {
			t.Errorf("metrics: want %q in\n%s", want, page)
		}
	}
}

// The router uses an inherited socket without binding its address again. A second bind would fail
// and end the program. The shutdown of the router leaves the socket open for other processes.
func TestInheritedSocketIsLeftOpen(t *testing.T) {
	changeLog := daemontest.NewIdleChangeLog(t)
	config := oneCache(changeLog, daemontest.NewServer(t, servesAll))
	inherited := daemontest.Listen(t)
	daemontest.CloseAtEnd(t, inherited)
	config.ListenAddr = inherited.Addr().String()
	descriptor := duplicate(t, inherited.(*net.TCPListener))
	daemon := startServe(config.Load(t, map[string]string{"EDGE_LISTEN_FD": strconv.Itoa(descriptor)}), nil)
	daemon.waitSubscribed(t, changeLog.RequestedSeqs)
	client := daemontest.Dial(t, config.ListenAddr)
	daemontest.WaitUntil(t, "the router is healthy", func() bool {
		return client.Exchange(t, daemontest.Request("GET", "/healthz")).Status == http.StatusOK
	})
	signalSelf(t, syscall.SIGTERM)
	daemon.wait(t)
	daemontest.Dial(t, config.ListenAddr) // the inherited socket still accepts
}

// duplicate returns a duplicate of a listener's descriptor. serve closes the duplicate.
func duplicate(t *testing.T, listener *net.TCPListener) int {
	t.Helper()
	file, err := listener.File()
	if err != nil {
		t.Fatal(err)
	}
	descriptor, err := syscall.Dup(int(file.Fd()))
	daemontest.Close(t, file)
	if err != nil {
		t.Fatal(err)
	}
	return descriptor
}
