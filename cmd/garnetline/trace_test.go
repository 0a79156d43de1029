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

// What a server of the failure test does with a request.
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

// The requests of the failure test: so many clients, and for each so many requests in turn of
// four kinds.
const (
	failureClients    = 12
	requestsPerClient = 25

	kindTraced = 2 // the client sends a traceparent; a retry goes to the other router
	kindKeyed  = 3 // a write with an idempotency key; a retry goes to the other router
	kinds      = 4 // the others are reads whose retries go to the same router
)

// failureTest is two routers before servers that fail in several ways.
type failureTest struct {
	t       *testing.T
	servers []*fakeserver.Server
	routers []*tracedRouter

	mu       sync.Mutex
	arrivals map[string]int  // attempts that reached a server, by transaction id
	slow     map[string]bool // requests of which one reply was slow

	results [failureClients][][]clientAttempt // by client and request
}

// clientAttempt is one sending of a request by its client.
type clientAttempt struct {
	transaction string
	status      int // 0: no response
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

func choose(condition bool, yes, no serverBehavior) serverBehavior {
	if condition {
		return yes
	}
	return no
}

// replyBy returns the replies of a server whose n-th request, from 1 on, meets behavior(n).
func (f *failureTest) replyBy(behavior func(n int) serverBehavior) fakeserver.Reply {
	received := 0
	return func(id, _ string) string {
		f.mu.Lock()
		received++
		f.arrivals[id]++
		does := behavior(received)
		if does == behaveSlowly {
			f.slow[id] = true
		}
		f.mu.Unlock()
		switch does {
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

// run has all clients send their requests.
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

// sendRequest sends a request, and once more if it is not served.
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

// request returns the n-th sending of a request, and the router that gets it.
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

// clientTraceID is the trace that a client names for one of its requests.
func clientTraceID(number int) string { return fmt.Sprintf("%032x", 1<<20+number) }

// retainedTraces is what the routers of a failureTest retained.
type retainedTraces struct {
	byTransaction map[string]*trace.Trace
	byID          map[trace.ID][]*trace.Trace
	lost          uint32
}

// withAttempts returns a trace with so many attempts or more, or nil.
func (r retainedTraces) withAttempts(count uint8) *trace.Trace {
	for _, found := range r.byTransaction {
		if found.Attempts >= count {
			return found
		}
	}
	return nil
}

// stopRouters shuts the routers down and returns what they retained.
func (f *failureTest) stopRouters() retainedTraces {
	f.t.Helper()
	retained := retainedTraces{byTransaction: map[string]*trace.Trace{}, byID: map[trace.ID][]*trace.Trace{}}
	for _, router := range f.routers {
		for _, found := range router.stop(f.t) {
			if retained.byTransaction[found.TransactionID] != nil {
				f.t.Errorf("%s is retained twice", found.TransactionID)
			}
			retained.byTransaction[found.TransactionID] = found
			retained.byID[found.ID] = append(retained.byID[found.ID], found)
			retained.lost += found.LostBefore
		}
	}
	return retained
}

// checkCounts is how many traces were checked, so that a test can see that it showed something.
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

// checkRetries checks that the retries of a request are in the trace of its first sending. It
// returns the number of those that are traced.
func (f *failureTest) checkRetries(retained retainedTraces, attempts []clientAttempt) int {
	f.t.Helper()
	if len(attempts) == 0 { // no connection, which was reported
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
			f.t.Errorf("%s is not in the trace of its first sending", retry.transaction)
		}
	}
	return traced
}

// checkClientAttempt checks that a request is traced if it has to be, with all its attempts.
func (f *failureTest) checkClientAttempt(retained retainedTraces, attempt clientAttempt, isRetry bool) {
	f.t.Helper()
	id := attempt.transaction
	served := attempt.status == http.StatusOK
	found := retained.byTransaction[id]
	if found == nil {
		if !served || isRetry || f.arrivals[id] > 1 || f.slow[id] {
			f.t.Errorf("%s ended with %d after %d attempts, slow %v, and is not traced", id, attempt.status, f.arrivals[id], f.slow[id])
		}
		return
	}
	sent, lost := countSent(found)
	// What was written to a connection that was lost may not arrive.
	if f.arrivals[id] > sent || f.arrivals[id] < sent-lost {
		f.t.Errorf("%s: %d attempts are traced as sent, the connections of %d were lost, %d arrived", id, sent, lost, f.arrivals[id])
	}
	if served != (found.Outcome == trace.Served) {
		f.t.Errorf("%s: outcome %v, its client got status %d", id, found.Outcome, attempt.status)
	}
}

// countSent counts the attempts that were written, and those of them whose connections were lost.
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

// checkClientSpan checks that a request is in the trace that its client named.
func (f *failureTest) checkClientSpan(found *trace.Trace, client, index int) {
	f.t.Helper()
	want := clientTraceID(client*requestsPerClient + index)
	if found.ID.String() != want || found.ClientSpan != trace.SpanID(client+1) {
		f.t.Errorf("%s: trace %v under %x, want %s under %x", found.TransactionID, found.ID, found.ClientSpan, want, client+1)
	}
}

// checkSpanTrees checks that each span of a trace has a parent, and that there is one root.
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
					t.Fatalf("trace %v: span %+v", id, span)
				}
			}
		}
	}
}

// checkNoTraceFields checks that servers received the fields of the platform's protocol alone.
func (f *failureTest) checkNoTraceFields() {
	f.t.Helper()
	known := []string{"sort", "asset", "slice", "patience", "op", "via", "tier", "fresh", "opts", "known"}
	for _, server := range f.servers {
		for _, fields := range server.Requests() {
			for field := range strings.SplitSeq(fields, ",") {
				if name, _, _ := strings.Cut(field, "="); !slices.Contains(known, name) {
					f.t.Fatalf("a server received the field %q", field)
				}
			}
		}
	}
}

// command runs a command of garnetline trace over what both routers retained.
func (f *failureTest) command(args ...string) string {
	f.t.Helper()
	for _, router := range f.routers {
		args = append(args, "--folder", router.traceDir)
	}
	return runTraceCommand(f.t, args...)
}

// checkCommands checks that the commands find the server that fails most, and show no key.
func (f *failureTest) checkCommands(retained retainedTraces) {
	f.t.Helper()
	lines := strings.Split(f.command("blame", "--most", "3"), "\n")
	if len(lines) < 2 || !strings.Contains(lines[1], "s-00000001") {
		f.t.Errorf("blame does not begin with s-00000001: %q", lines)
	}
	retried := retained.withAttempts(2)
	if retried == nil {
		f.t.Fatal("no trace has two attempts")
	}
	if out := f.command("list", "--txn", retried.TransactionID); !strings.Contains(out, retried.ID.String()) {
		f.t.Errorf("list --txn %s has no %v: %q", retried.TransactionID, retried.ID, out)
	}
	for _, args := range [][]string{{"list", "--most", "1000"}, {"export", "--most", "1000"}, {"export", "--as", "html"}} {
		if out := f.command(args...); strings.Contains(out, "secretkey") || len(out) < 500 {
			f.t.Errorf("%v: %d bytes, or an idempotency key in them", args, len(out))
		}
	}
}

// Two routers before servers that fail fast, hang and close connections: every request that
// failed, was rejected, was retried or was slow is traced with all its attempts, counted against
// what the servers received; a client's retry at the other router belongs to its first sending;
// and no idempotency key is retained.
func TestEveryFailedRequestIsTraced(t *testing.T) {
	test := newFailureTest(t)
	test.run()
	retained := test.stopRouters()
	counts := test.checkRequests(retained)
	if counts.traces < 50 || counts.retries < 5 || counts.manyAttempts < 20 || retained.lost > 0 {
		t.Errorf("%+v, %d traces lost: too few to show anything", counts, retained.lost)
	}
	checkSpanTrees(t, retained.byID)
	test.checkNoTraceFields()
	test.checkCommands(retained)
}

// A router that is killed leaves what it retained, in a folder that can be opened again. The
// operators' file is read again on SIGHUP: one that cannot be used, or that changes what only a
// restart can, is one event that names file, line and field.
func TestTracesOutliveReloadAndKill(t *testing.T) {
	server := daemontest.NewServer(t, func(id, _ string) string { return fakeserver.Answer(id, "BROKE", "-", "") })
	config := oneCache(daemontest.NewIdleChangeLog(t), server)
	config.Name = "a1"
	router := startTracedRouter(t, config, "ordinary_per_s = 2\n")
	sendFailing := func(transaction int) {
		t.Helper()
		request := daemontest.Request("GET", "/v1/part/00000000000000aa",
			daemontest.Transaction(transaction), daemontest.ClientTimeout(900*time.Millisecond))
		if got := daemontest.Exchange(t, router.addr, request).Status; got == http.StatusOK {
			t.Error("served by a cache that fails")
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
		t.Errorf("the folder of a killed router: %v", err)
	}
	index, err := store.Read(router.traceDir)
	if err != nil {
		t.Fatal(err)
	}
	if _, traces, _ := index.Stat(); traces != 21 {
		t.Errorf("%d traces are left, want 21", traces)
	}
}

// Without an operators' file no folder is made; a class block overrides what it names, and
// nothing else.
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
			t.Errorf("%s: ordinary traces a second and latency objective %v, want %v", name, got, want)
		}
	}
}
