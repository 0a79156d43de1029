package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/daemontest"
	"garnetline/internal/fakeserver"
	"garnetline/routing"
)

// send sends a request on a new connection. The request asks the router to close the connection
// after the response.
func send(t *testing.T, addr, method, target string, transaction int, header ...string) *daemontest.Client {
	t.Helper()
	client := daemontest.Dial(t, addr)
	header = append([]string{daemontest.Transaction(transaction), daemontest.CloseConnection}, header...)
	client.Send(t, daemontest.Request(method, target, header...))
	return client
}

// unsafeWriteTest is a daemon with two caches whose writes are not idempotent. The object of a
// write selects how the caches reply to it.
type unsafeWriteTest struct {
	t        *testing.T
	addr     string
	received chan string // fields of each request that a cache received
	rejected atomic.Bool // the first attempt of writeIsRejectedFirst was rejected
	servers  []*fakeserver.Server
}

// Outcomes of a write. The last digit of the object's id selects the outcome.
const (
	writeLosesConnection = iota + 1
	writeFails
	writeTimesOut
	writeIsAbandoned // the client closes its connection
	writeGetsMalformedReply
	writeIsRejectedFirst
	writeSharesConnection // shares the connection to the cache with writeGetsMalformedReply
)

// unsafeObject returns the id of the object whose write has the given outcome.
func unsafeObject(outcome int) string { return fmt.Sprintf("%016x", 0xa0+outcome) }

func newUnsafeWriteTest(t *testing.T) *unsafeWriteTest {
	t.Helper()
	test := &unsafeWriteTest{t: t, received: make(chan string, 16)}
	first := daemontest.NewServer(t, test.reply)
	second := daemontest.NewServer(t, test.reply)
	test.servers = []*fakeserver.Server{first, second}
	test.addr, _ = runDaemon(t, daemontest.Config{
		ChangeLog: daemontest.NewIdleChangeLog(t).Addr(),
		Settings:  strings.Replace(daemontest.PlatformSettings, `"idempotency_key"`, `"non_idempotent"`, 1),
		Endpoints: []daemontest.Endpoint{
			{ID: 1, Kind: daemontest.Cache, Addr: first.Addr()},
			{ID: 2, Kind: daemontest.Cache, Addr: second.Addr()},
			{ID: 9, Kind: daemontest.Origin, Addr: second.Addr()},
		},
	})
	return test
}

func (u *unsafeWriteTest) reply(id, fields string) string {
	u.received <- fields
	switch {
	case strings.Contains(fields, unsafeObject(writeLosesConnection)):
		return fakeserver.CloseConnection
	case strings.Contains(fields, unsafeObject(writeFails)):
		return fakeserver.Answer(id, "BROKE", "-", "")
	case strings.Contains(fields, unsafeObject(writeGetsMalformedReply)):
		return "*9\r\nnonsense"
	case strings.Contains(fields, unsafeObject(writeIsRejectedFirst)):
		if u.rejected.CompareAndSwap(false, true) {
			return fakeserver.Answer(id, "WAIT", "-", "")
		}
		return fakeserver.Answer(id, "DONE", "tag=w,minted=1", "written")
	}
	return "" // no reply
}

// put sends the write with the given outcome and waits until a cache has received it.
func (u *unsafeWriteTest) put(outcome int, timeout time.Duration) *daemontest.Client {
	u.t.Helper()
	object := unsafeObject(outcome)
	client := send(u.t, u.addr, "PUT", "/v1/form/"+object, outcome, daemontest.ClientTimeout(timeout), "Content-Length: 0")
	if got := <-u.received; !strings.Contains(got, "asset="+object) {
		u.t.Fatalf("write for %s: a cache received the request %s", object, got)
	}
	return client
}

func (u *unsafeWriteTest) checkStatus(name string, client *daemontest.Client, want int) {
	u.t.Helper()
	if got := client.Receive(u.t).Status; got != want {
		u.t.Errorf("%s: got status %d, want %d", name, got, want)
	}
}

// executions returns how often the caches received the write with the given outcome.
func (u *unsafeWriteTest) executions(outcome int) int {
	count := 0
	for _, server := range u.servers {
		for _, fields := range server.Requests() {
			if strings.Split(fields, ",")[1] == "asset="+unsafeObject(outcome) {
				count++
			}
		}
	}
	return count
}

// The router never retries a non-idempotent write that a cache may have executed. The attempt can
// end with a lost connection, a server error, no reply in time, a client that is gone, or a
// malformed reply to another request on the same connection. The router retries a write that a
// cache rejected, because the cache has not executed that write.
func TestNonIdempotentWriteRunsOnce(t *testing.T) {
	test := newUnsafeWriteTest(t)
	const longTimeout = 3 * time.Second
	test.checkStatus("connection lost", test.put(writeLosesConnection, longTimeout), http.StatusBadGateway)
	test.checkStatus("server error", test.put(writeFails, longTimeout), http.StatusBadGateway)
	test.checkStatus("no reply in time", test.put(writeTimesOut, 400*time.Millisecond), http.StatusBadGateway)
	daemontest.Close(t, test.put(writeIsAbandoned, longTimeout))
	sharing := test.put(writeSharesConnection, longTimeout)
	test.checkStatus("malformed reply", test.put(writeGetsMalformedReply, longTimeout), http.StatusBadGateway)
	test.checkStatus("on the connection of a malformed reply", sharing, http.StatusBadGateway)
	test.checkStatus("rejected first", test.put(writeIsRejectedFirst, longTimeout), http.StatusOK)
	for outcome := writeLosesConnection; outcome <= writeSharesConnection; outcome++ {
		want := 1
		if outcome == writeIsRejectedFirst {
			want = 2
		}
		if got := test.executions(outcome); got != want {
			t.Errorf("the write for %s arrived %d times, want %d", unsafeObject(outcome), got, want)
		}
	}
}

// watchEventTest is a daemon with two caches and a change log that sends watch events.
type watchEventTest struct {
	t             *testing.T
	addr          string
	changeLog     *fakeserver.ChangeLog
	first, second *fakeserver.Server
	transactions  int
}

func newWatchEventTest(t *testing.T) *watchEventTest {
	t.Helper()
	reply := func(id, _ string) string { return fakeserver.Answer(id, "DONE", "tag=t,minted=1", "x") }
	changeLog, err := fakeserver.NewChangeLog(daemontest.KnownSeq)
	if err != nil {
		t.Fatal(err)
	}
	daemontest.CloseAtEnd(t, changeLog)
	test := &watchEventTest{
		t:         t,
		changeLog: changeLog,
		first:     daemontest.NewServer(t, reply),
		second:    daemontest.NewServer(t, reply),
	}
	test.addr, _ = runDaemon(t, daemontest.Config{
		ChangeLog: changeLog.Addr(),
		Endpoints: []daemontest.Endpoint{
			{ID: 1, Kind: daemontest.Cache, Addr: test.first.Addr()},
			{ID: 2, Kind: daemontest.Cache, Addr: test.second.Addr()},
			{ID: 9, Kind: daemontest.Origin, Addr: test.second.Addr()},
		},
	})
	return test
}

// read requests the test's object from the router.
func (w *watchEventTest) read() {
	w.t.Helper()
	w.transactions++
	client := send(w.t, w.addr, "GET", "/v1/part/00000000000000aa", w.transactions, daemontest.ClientTimeout(3*time.Second))
	if got := client.Receive(w.t).Status; got != http.StatusOK {
		w.t.Errorf("read: got status %d, want 200", got)
	}
}

// readUntil requests the test's object repeatedly. It calls the function ok after each request and
// returns when ok returns true.
func (w *watchEventTest) readUntil(condition string, ok func() bool) {
	w.t.Helper()
	daemontest.WaitUntil(w.t, condition, func() bool {
		w.read()
		return ok()
	})
}

// received returns the fields of all requests that the caches received.
func (w *watchEventTest) received() string {
	return strings.Join(append(w.first.Requests(), w.second.Requests()...), "\n")
}

// home returns the cache that serves the test's object, the other cache, and the server id of the
// cache that serves the object.
func (w *watchEventTest) home() (home, other *fakeserver.Server, id uint32) {
	if len(w.second.Requests()) > len(w.first.Requests()) {
		return w.second, w.first, 2
	}
	return w.first, w.second, 1
}

// A watch event applies to the requests that the router sends after it. After a purge, each request
// limits the age of the copy with which a cache may answer, so that the cache uses no copy from
// before the purge. After the announcement of a drain, no request goes to the draining cache or
// names it as the fill source.
func TestWatchEventsApplyToNextRequests(t *testing.T) {
	test := newWatchEventTest(t)
	test.changeLog.Purge(0xaa, uint64(time.Now().UnixMilli()-30))
	test.read()
	test.readUntil("a request has a bound on the age of a copy", func() bool {
		return strings.Contains(test.received(), ",fresh=")
	})
	home, other, id := test.home()
	draining := fakeserver.Endpoint{ID: id, Addr: home.Addr().(*net.TCPAddr).AddrPort(), Phase: 1, Weight: 100}
	test.changeLog.UpdateEndpoints(draining)
	test.readUntil("the other cache serves", func() bool { return len(other.Requests()) > 0 })
	before := len(home.Requests())
	for range 20 {
		test.read()
	}
	if got := len(home.Requests()); got != before {
		t.Errorf("%d requests went to the draining cache, want none", got-before)
	}
	for _, fields := range other.Requests() {
		if strings.Contains(fields, fmt.Sprintf("via=s-%08x", id)) {
			t.Errorf("the draining cache is the fill source of %s", fields)
		}
		if !strings.Contains(fields, ",fresh=") {
			t.Errorf("request after a purge without a bound on the age of a copy: %s", fields)
		}
	}
}

// After SIGTERM, the router answers all requests before the process is killed, even if the caches
// hang. It answers the requests that are open at a cache when the signal arrives, and those that it
// accepts after the signal. A second SIGTERM changes nothing.
func TestShutdownWhileCachesHang(t *testing.T) {
	received := make(chan bool, 8)
	server := daemontest.NewServer(t, func(string, string) string {
		received <- true
		return ""
	})
	config := oneCache(daemontest.NewIdleChangeLog(t), server)
	config.Settings = strings.ReplaceAll(daemontest.PlatformSettings, `"deadline_us":4000000`, `"deadline_us":50000000`)
	addr, shutDown := runDaemon(t, config)
	put := func(transaction int) *daemontest.Client {
		return send(t, addr, "PUT", "/v1/form/00000000000000aa", transaction,
			fmt.Sprintf("X-Txn-Key: k%d", transaction), daemontest.ClientTimeout(50*time.Second))
	}
	beforeSignal := put(1)
	<-received
	signalSelf(t, syscall.SIGTERM)
	go shutDown() // the second signal
	for name, client := range map[string]*daemontest.Client{"before": beforeSignal, "after": put(2)} {
		if got := client.Receive(t).Status; got != http.StatusBadGateway { // Receive waits only 20 s, the client timeout is 50 s
			t.Errorf("request sent %s the signal: got status %d, want 502", name, got)
		}
	}
}

// The drain time depends on the longest deadline of all classes, up to killDelay.
func TestDrainTimeFollowsLongestDeadline(t *testing.T) {
	for _, test := range []struct {
		deadline time.Duration
		want     float64 // ms
	}{
		{6 * time.Second, 3500},
		{time.Second, 1500},
		{100 * time.Millisecond, 700},
	} {
		classes := []routing.Class{{Deadline: test.deadline}, {Deadline: time.Millisecond}}
		if got := drainTime(classes); got != test.want {
			t.Errorf("longest deadline %v: got a drain time of %v ms, want %v", test.deadline, got, test.want)
		}
	}
}
