package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/daemontest"
	"garnetline/internal/fakeserver"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/trace"
	"garnetline/internal/trace/store"
	"garnetline/routing"
)

// serverBehavior says how a server of the failure test replies to a request.
type serverBehavior int

const (
	behaveWell serverBehavior = iota
	behaveSlowly
	failWithError
	closeConnection
	stayUnanswered
)

// slowReply is longer than the class's latency objective.
const slowReply = 500 * time.Millisecond

// The requests of the failure test. Each of failureClients clients sends requestsPerClient
// requests. The kind of a request is its index modulo the number of kinds.
const (
	failureClients    = 12
	requestsPerClient = 25

	kindTraced = 2 // the client sends a traceparent; a retry goes to the other router
	kindKeyed  = 3 // a write with an idempotency key; a retry goes to the other router
	kinds      = 4 // number of kinds; kinds 0 and 1 are reads whose retries go to the same router
)

// failureTest is two routers whose servers fail in several ways.
type failureTest struct {
	t       *testing.T
	servers []*fakeserver.Server
	routers []*tracedRouter

	mu       sync.Mutex
	arrivals map[string]int  // number of attempts that reached a server, by transaction id
	slow     map[string]bool // transaction ids of requests with a slow reply

	results [failureClients][][]clientAttempt // by client and index of the request
}

// clientAttempt is one transmission of a request by its client: the first transmission or a retry.
type clientAttempt struct {
	transaction string
	status      int // status of the response; 0 if there was no response
}

func newFailureTest(t *testing.T) *failureTest {
	t.Helper()
	test := &failureTest{t: t, arrivals: map[string]int{}, slow: map[string]bool{}}
	failsFast := func(n int) serverBehavior { return choose(n%4 == 0, behaveWell, failWithError) }
	unreliable := func(n int) serverBehavior {
		return [...]serverBehavior{4: closeConnection, 7: behaveSlowly}[n%8]
	}
	hangs := func(n int) serverBehavior { return choose(n%7 == 6, stayUnanswered, behaveWell) }
	reliable := func(int) serverBehavior { return behaveWell }
	for _, behavior := range []func(n int) serverBehavior{failsFast, unreliable, hangs, reliable} {
		test.servers = append(test.servers, daemontest.NewServer(t, test.replyBy(behavior)))
	}
	endpoints := []daemontest.Endpoint{
		{ID: 1, Kind: daemontest.Cache, Addr: test.servers[0].Addr()},
		{ID: 2, Kind: daemontest.Cache, Addr: test.servers[1].Addr()},
		{ID: 3, Kind: daemontest.Cache, Addr: test.servers[2].Addr()},
		{ID: 8, Kind: daemontest.Parent, Addr: test.servers[3].Addr()},
		{ID: 9, Kind: daemontest.Origin, Addr: test.servers[3].Addr()},
	}
	changeLog := daemontest.NewIdleChangeLog(t)
	for _, name := range []string{"a1", "b2"} {
		config := daemontest.Config{Name: name, ChangeLog: changeLog.Addr(), Endpoints: endpoints}
		test.routers = append(test.routers, startTracedRouter(t, config, "ordinary_per_s = 2\n"))
	}
	return test
}

// choose returns ifTrue if condition is true, and ifFalse otherwise.
func choose(condition bool, ifTrue, ifFalse serverBehavior) serverBehavior {
	if condition {
		return ifTrue
	}
	return ifFalse
}

// replyBy returns the reply function of a server. The server handles its n-th request, counted from
// 1, with behavior(n).
func (f *failureTest) replyBy(behavior func(n int) serverBehavior) fakeserver.Reply {
	received := 0
	return func(id, _ string) string {
		f.mu.Lock()
		received++
		f.arrivals[id]++
		action := behavior(received)
		if action == behaveSlowly {
			f.slow[id] = true
		}
		f.mu.Unlock()
		switch action {
		case closeConnection:
			return fakeserver.CloseConnection
		case failWithError:
			return fakeserver.Answer(id, "BROKE", "-", "")
		case stayUnanswered:
			return ""
		case behaveSlowly:
			time.Sleep(slowReply)
		}
		return fakeserver.Answer(id, "DONE", "tag=t1,minted=1", servedBody)
	}
}

// run runs all clients concurrently, and waits until they have sent their requests.
func (f *failureTest) run() {
	var clients sync.WaitGroup
	for client := range failureClients {
		clients.Go(func() {
			for index := range requestsPerClient {
				f.results[client] = append(f.results[client], f.sendRequest(client, index))
			}
		})
	}
	clients.Wait()
}

// sendRequest sends a request, and retries it once if the status of the response is not 200.
func (f *failureTest) sendRequest(client, index int) []clientAttempt {
	var attempts []clientAttempt
	for n := range 2 {
		transaction := fmt.Sprintf("%08x%08x", client+1, 2*index+n+1)
		router, request := f.request(client, index, n, transaction)
		status := 0
		connection, err := daemontest.DialContext(f.t.Context(), router.addr)
		if err != nil {
			f.t.Error(err)
			return attempts
		}
		if response, err := connection.Do(request); err == nil {
			status = response.Status
		}
		daemontest.Close(f.t, connection)
		attempts = append(attempts, clientAttempt{transaction, status})
		if status == http.StatusOK {
			break
		}
	}
	return attempts
}

// request returns the text of one transmission of a request, and the router to which the client
// sends it. n is 0 for the first transmission and 1 for the retry.
func (f *failureTest) request(client, index, n int, transaction string) (*tracedRouter, string) {
	number := client*requestsPerClient + index
	header := []string{"X-Txn: " + transaction, daemontest.ClientTimeout(900 * time.Millisecond)}
	method, target := "GET", fmt.Sprintf("/v1/part/%016x?block=%d", 1000+number, client)
	router := f.routers[client%2]
	switch index % kinds {
	case kindKeyed:
		method, target = "PUT", "/v1/form/00000000000000aa"
		header = append(header, fmt.Sprintf("X-Txn-Key: secretkey%04x%04x", client, index))
		router = f.routers[(client+n)%2]
	case kindTraced:
		header = append(header, fmt.Sprintf("Traceparent: 00-%s-%016x-01", clientTraceID(number), client+1))
		router = f.routers[(client+n)%2]
	}
	return router, daemontest.Request(method, target, header...)
}

// clientTraceID returns the id of the trace that a client starts for one of its requests.
func clientTraceID(number int) string { return fmt.Sprintf("%032x", 1<<20+number) }

// retainedTraces holds the traces that the routers of a failureTest retained.
type retainedTraces struct {
	byTransaction map[string]*trace.Trace
	byID          map[trace.ID][]*trace.Trace
	lost          uint32
}

// withAttempts returns a trace with at least count attempts, or nil if there is none.
func (r retainedTraces) withAttempts(count uint8) *trace.Trace {
	for _, found := range r.byTransaction {
		if found.Attempts >= count {
			return found
		}
	}
	return nil
}

// stopRouters shuts the routers down and returns the traces that they retained.
func (f *failureTest) stopRouters() retainedTraces {
	f.t.Helper()
	retained := retainedTraces{byTransaction: map[string]*trace.Trace{}, byID: map[trace.ID][]*trace.Trace{}}
	for _, router := range f.routers {
		for _, found := range router.stop(f.t) {
			if retained.byTransaction[found.TransactionID] != nil {
				f.t.Errorf("request %s is retained twice, want once", found.TransactionID)
			}
			retained.byTransaction[found.TransactionID] = found
			retained.byID[found.ID] = append(retained.byID[found.ID], found)
			retained.lost += found.LostBefore
		}
	}
	return retained
}

// checkCounts counts the traces that were checked, so that a test can fail if there were too few.
type checkCounts struct{ traces, retries, manyAttempts int }

// checkRequests checks the traces of all requests.
func (f *failureTest) checkRequests(retained retainedTraces) checkCounts {
	f.t.Helper()
	var counts checkCounts
	for client := range f.results {
		for index, attempts := range f.results[client] {
			for _, attempt := range attempts {
				f.checkClientAttempt(retained, attempt, attempt != attempts[0])
				found := retained.byTransaction[attempt.transaction]
				if found == nil {
					continue
				}
				counts.traces++
				if f.arrivals[attempt.transaction] > 1 {
					counts.manyAttempts++
				}
				if index%kinds == kindTraced {
					f.checkClientSpan(found, client, index)
				}
			}
			counts.retries += f.checkRetries(retained, attempts)
		}
	}
	return counts
}

// checkRetries checks that the traced retries of a request belong to the trace of its first
// transmission. It returns the number of traced retries.
func (f *failureTest) checkRetries(retained retainedTraces, attempts []clientAttempt) int {
	f.t.Helper()
	if len(attempts) == 0 { // sendRequest has reported that the connection failed
		return 0
	}
	first := retained.byTransaction[attempts[0].transaction]
	traced := 0
	for _, retry := range attempts[1:] {
		found := retained.byTransaction[retry.transaction]
		if found == nil {
			continue
		}
		traced++
		if first == nil || first.ID != found.ID {
			f.t.Errorf("retry %s is not in the trace of its first transmission", retry.transaction)
		}
	}
	return traced
}

// checkClientAttempt checks the trace of one transmission of a request. The trace must exist if the
// transmission failed, was slow, was a retry or took several attempts. It must contain all attempts.
func (f *failureTest) checkClientAttempt(retained retainedTraces, attempt clientAttempt, isRetry bool) {
	f.t.Helper()
	id := attempt.transaction
	served := attempt.status == http.StatusOK
	found := retained.byTransaction[id]
	if found == nil {
		if !served || isRetry || f.arrivals[id] > 1 || f.slow[id] {
			f.t.Errorf("request %s is not traced, want a trace: status %d, %d attempts, slow %v", id, attempt.status, f.arrivals[id], f.slow[id])
		}
		return
	}
	sent, lost := countSent(found)
	// An attempt may not have arrived if its connection was lost after the write.
	if f.arrivals[id] > sent || f.arrivals[id] < sent-lost {
		f.t.Errorf("request %s: %d attempts are traced as sent, of which %d lost their connections, but %d arrived at servers", id, sent, lost, f.arrivals[id])
	}
	if served != (found.Outcome == trace.Served) {
		f.t.Errorf("request %s: got trace outcome %v, but its client got status %d", id, found.Outcome, attempt.status)
	}
}

// countSent returns the number of attempts that were written to a server, and the number of those
// whose connections were lost.
func countSent(found *trace.Trace) (sent, lost int) {
	for _, span := range found.Spans {
		if span.Kind != trace.Attempt || span.Flags&trace.FlagSent == 0 {
			continue
		}
		sent++
		if routing.Result(span.Result) == routing.ConnectionLost {
			lost++
		}
	}
	return sent, lost
}

// checkClientSpan checks that the trace of a request continues the trace that its client started.
func (f *failureTest) checkClientSpan(found *trace.Trace, client, index int) {
	f.t.Helper()
	want := clientTraceID(client*requestsPerClient + index)
	if found.ID.String() != want || found.ClientSpan != trace.SpanID(client+1) {
		f.t.Errorf("request %s: got trace %v with client span %x, want trace %s with client span %x", found.TransactionID, found.ID, found.ClientSpan, want, client+1)
	}
}

// checkSpanTrees checks that the spans of each trace form one tree: each span id is unique, and the
// parent of each span is another span of the trace or the trace's root.
func checkSpanTrees(t *testing.T, byID map[trace.ID][]*trace.Trace) {
	t.Helper()
	for id, parts := range byID {
		spans := map[trace.SpanID]int{id.Root(): 1}
		for _, part := range parts {
			for _, span := range part.Spans {
				spans[span.ID]++
			}
		}
		for _, part := range parts {
			for _, span := range part.Spans {
				if spans[span.ID] != 1 || spans[span.Parent] != 1 || span.End < span.Start {
					t.Fatalf("trace %v: want a unique id, one parent and an end not before the start, got span %+v", id, span)
				}
			}
		}
	}
}

// checkNoTraceFields checks that the servers received no trace context: each field of their requests
// belongs to the platform's protocol.
func (f *failureTest) checkNoTraceFields() {
	f.t.Helper()
	known := []string{"sort", "asset", "slice", "patience", "op", "via", "tier", "fresh", "opts", "known"}
	for _, server := range f.servers {
		for _, fields := range server.Requests() {
			for field := range strings.SplitSeq(fields, ",") {
				if name, _, _ := strings.Cut(field, "="); !slices.Contains(known, name) {
					f.t.Fatalf("a server received the unexpected field %q", field)
				}
			}
		}
	}
}

// command runs a subcommand of garnetline trace on the traces of both routers, and returns its
// output.
func (f *failureTest) command(args ...string) string {
	f.t.Helper()
	for _, router := range f.routers {
		args = append(args, "--folder", router.traceDir)
	}
	return runTraceCommand(f.t, args...)
}

// checkCommands checks that the trace commands find the server that fails most, and print no
// idempotency key.
func (f *failureTest) checkCommands(retained retainedTraces) {
	f.t.Helper()
	lines := strings.Split(f.command("blame", "--most", "3"), "\n")
	if len(lines) < 2 || !strings.Contains(lines[1], "s-00000001") {
		f.t.Errorf("blame: want s-00000001 as the first suspect, got %q", lines)
	}
	retried := retained.withAttempts(2)
	if retried == nil {
		f.t.Fatal("got no trace with two attempts, want one or more")
	}
	if out := f.command("list", "--txn", retried.TransactionID); !strings.Contains(out, retried.ID.String()) {
		f.t.Errorf("list --txn %s: want trace %v, got %q", retried.TransactionID, retried.ID, out)
	}
	for _, args := range [][]string{{"list", "--most", "1000"}, {"export", "--most", "1000"}, {"export", "--as", "html"}} {
		if out := f.command(args...); strings.Contains(out, "secretkey") || len(out) < 500 {
			f.t.Errorf("%v: got %d bytes, want 500 or more without an idempotency key", args, len(out))
		}
	}
}

// The servers of two routers fail fast, hang and close connections. Every request that failed, was
// rejected, was retried or was slow is traced with all its attempts. The test compares these
// attempts with those that the servers received. A client's retry at the other router is in the
// trace of its first transmission. No idempotency key is retained.
func TestEveryFailedRequestIsTraced(t *testing.T) {
	test := newFailureTest(t)
	test.run()
	retained := test.stopRouters()
	counts := test.checkRequests(retained)
	if counts.traces < 50 || counts.retries < 5 || counts.manyAttempts < 20 || retained.lost > 0 {
		t.Errorf("too few traces checked, or traces lost: %+v, %d lost", counts, retained.lost)
	}
	checkSpanTrees(t, retained.byID)
	test.checkNoTraceFields()
	test.checkCommands(retained)
}

// The traces of a killed router remain on disk, and the directory can be opened again. SIGHUP
// reloads the operators' file. The router rejects a file that is invalid, or that changes a setting
// that only a restart can change. It then logs one event that names the file, the line and the
// field.
func TestTracesSurviveReloadAndKill(t *testing.T) {
	server := daemontest.NewServer(t, func(id, _ string) string { return fakeserver.Answer(id, "BROKE", "-", "") })
	config := oneCache(daemontest.NewIdleChangeLog(t), server)
	config.Name = "a1"
	router := startTracedRouter(t, config, "ordinary_per_s = 2\n")
	sendFailing := func(transaction int) {
		t.Helper()
		request := daemontest.Request("GET", "/v1/part/00000000000000aa",
			daemontest.Transaction(transaction), daemontest.ClientTimeout(900*time.Millisecond))
		if got := daemontest.Exchange(t, router.addr, request).Status; got == http.StatusOK {
			t.Error("got status 200 from a failing cache, want a failure")
		}
	}
	for transaction := 1; transaction <= 20; transaction++ {
		sendFailing(transaction)
	}
	reload := func(text string) {
		t.Helper()
		daemontest.WriteFile(t, router.settingsPath, text)
		router.Signal(t, syscall.SIGHUP)
	}
	reload("trace {\n enabled = true\n colour = 1\n}\n")
	router.WaitLogged(t, "garnetline.hcl:3: Unsupported argument")
	reload("trace {\n enabled = true\n folder = \"elsewhere\"\n}\n")
	router.WaitLogged(t, "trace: only a restart")
	reload(fmt.Sprintf("log {\n level = \"debug\"\n}\ntrace {\n enabled = true\n folder = %q\n secret = \"shared\"\n}\n", router.traceDir))
	router.WaitLogged(t, `"event":"configuration reloaded"`)
	sendFailing(21)
	router.WaitLogged(t, `"event":"request refused"`, `"event":"request failed"`)
	daemontest.WaitUntil(t, "21 traces are on disk", func() bool { return len(router.retained(t)) == 21 })
	router.Kill(t)
	if _, err := store.Open(router.traceDir, 1<<20, 1<<30); err != nil {
		t.Errorf("open the trace directory of a killed router: %v", err)
	}
	index, err := store.Read(router.traceDir)
	if err != nil {
		t.Fatal(err)
	}
	if _, traces, _ := index.Stat(); traces != 21 {
		t.Errorf("got %d traces after the kill, want 21", traces)
	}
}

// Without an operators' file there is no recorder. A class block overrides only the settings that
// the block contains.
func TestTraceSettings(t *testing.T) {
	if recorder, err := newRecorder(&daemon{}); recorder != nil || err != nil {
		t.Errorf("without settings: got %v, %v, want no recorder", recorder, err)
	}
	none := 0.0
	settings := recorderSettings(
		operatorconfig.Trace{
			OrdinaryPerSecond: 2,
			Classes: []operatorconfig.TraceClass{
				{Name: "part", SlowThreshold: 9},
				{Name: "form", OrdinaryPerSecond: &none},
			},
		},
		[]routing.Class{{Name: "part", LatencyObjective: time.Second}, {Name: "form", LatencyObjective: time.Second}})
	for name, want := range map[string][2]float64{"part": {2, 9}, "form": {0, 1000}} {
		class := settings.Classes[name]
		if got := [2]float64{class.OrdinaryPerSecond, class.LatencyObjective}; got != want {
			t.Errorf("class %s: got [ordinary traces a second, latency objective in ms] %v, want %v", name, got, want)
		}
	}
}
