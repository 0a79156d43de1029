package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/fakeserver"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/trace"
	"garnetline/internal/trace/store"
	"garnetline/routing"
)

// TestMain runs the program itself where a test started this binary for that.
func TestMain(m *testing.M) {
	if os.Getenv("GARNETLINE_TEST_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// tracer is a router in a process of its own that traces into a folder.
type tracer struct {
	*exec.Cmd
	listen, folder, ops string
	log                 fakeserver.Output
}

// until waits for what a process does by itself, and fails the test after a while.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 20_000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%s: not so after 20 s", what)
}

func startTracer(t *testing.T, name string, log net.Addr, hosts, more string) *tracer {
	t.Helper()
	dir := t.TempDir()
	r := &tracer{listen: free(t), folder: filepath.Join(dir, "traces")}
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	conf := write("config.json", fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"%x","limits":{},"changelog":%q,
"known":{"seq":1,"results":[{"seq":1,"fleet":{"seq":0,"whole":true,"hosts":[%s]}}]},"settings":%s}`, name, r.listen, name, log, hosts, platform))
	r.ops = write("garnetline.hcl", fmt.Sprintf("trace {\n enabled = true\n folder = %q\n secret = \"shared\"\n %s}\n", r.folder, more))
	r.Cmd = exec.Command(os.Args[0], "serve", "--config", conf, "--settings", r.ops)
	r.Env = append(os.Environ(), "GARNETLINE_TEST_PROGRAM=1")
	r.Stderr = &r.log
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Process.Kill() })
	for {
		conn, err := net.Dial("tcp", r.listen)
		if err != nil {
			time.Sleep(time.Millisecond) // it has not bound its address yet
			continue
		}
		w, _ := say(t, conn, "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		conn.Close()
		if w.StatusCode == http.StatusOK {
			return r
		}
	}
}

// end stops the router in order and returns all pieces that it kept.
func (r *tracer) end(t *testing.T) (pieces []*trace.Trace) {
	t.Helper()
	if err := r.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := r.Wait(); err != nil {
		t.Fatalf("%v: %s", err, r.log.String())
	}
	return r.pieces(t)
}

func (r *tracer) pieces(t *testing.T) (pieces []*trace.Trace) {
	t.Helper()
	x, err := store.Read(r.folder)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := x.Query(store.Filter{}, func(p *trace.Trace) bool { pieces = append(pieces, p); return true }); err != nil {
		t.Fatal(err)
	}
	return pieces
}

// Two routers, and boxes, a hub and an archive that answer fast errors, go silent and cut
// connections: every request that failed, was refused, was tried again or was slow is
// traced with all its attempts, counted against what the stand-ins received; a client's
// retry at the other router belongs to its first try; and no key stands in what is kept.
func TestEveryFailedRequestIsTraced(t *testing.T) {
	var mu sync.Mutex
	got := map[string]int{} // attempts by the client's id
	slow := map[string]bool{}
	fault := func(bad func(n int) string) func(id, fields string) string {
		n := 0
		return func(id, fields string) string {
			mu.Lock()
			n++
			got[id]++
			text := bad(n)
			slow[id] = slow[id] || text == "slow"
			mu.Unlock()
			if text == "slow" { // more than the class's aim
				time.Sleep(500 * time.Millisecond)
			} else if text != "good" {
				return text
			}
			return fakeserver.Answer(id, "DONE", "tag=t1,minted=1", "bytes")
		}
	}
	boxes := []*fakeserver.Server{
		newCache(t, nil), newCache(t, fault(func(n int) string {
			return []string{"good", "good", "good", "good", fakeserver.CloseConnection, "good", "good", "slow"}[n%8]
		})),
		newCache(t, fault(func(n int) string { return []string{"good", "good", "good", "good", "good", "good", ""}[n%7] })),
		newCache(t, fault(func(int) string { return "good" })),
	}
	errors := 0
	boxes[0].Reply = func(id, _ string) string { // fails fast, and says that it runs
		mu.Lock()
		defer mu.Unlock()
		got[id]++
		if errors++; errors%4 == 0 {
			return fakeserver.Answer(id, "DONE", "tag=t1,minted=1", "bytes")
		}
		return fakeserver.Answer(id, "BROKE", "-", "")
	}
	var hosts []string
	for i, b := range boxes[:3] {
		hosts = append(hosts, host(i+1, "box", b.Addr()))
	}
	hosts = append(hosts, host(8, "parent", boxes[3].Addr()), host(9, "origin", boxes[3].Addr()))
	log, _ := newLog(t)
	routers := []*tracer{startTracer(t, "a1", log, strings.Join(hosts, ","), "ordinary_per_s = 2\n"), startTracer(t, "b2", log, strings.Join(hosts, ","), "ordinary_per_s = 2\n")}

	type try struct {
		txn    string
		status int
	}
	const clients, each = 12, 25
	tries := make([][][]try, clients)
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for i := range each {
				var of []try
				for n := range 2 { // the retry of a keyed request goes to the other router
					txn := fmt.Sprintf("%08x%08x", c+1, 2*i+n+1)
					method, path, more := "GET", fmt.Sprintf("/v1/part/%016x?block=%d", 1000+c*each+i, c), ""
					at := routers[c%2]
					switch {
					case i%4 == 3:
						method, path, more = "PUT", "/v1/form/00000000000000aa", fmt.Sprintf("X-Txn-Key: secretkey%04x%04x\r\n", c, i)
						at = routers[(c+n)%2]
					case i%4 == 2:
						more = fmt.Sprintf("Traceparent: 00-%032x-%016x-01\r\n", 1<<20+c*each+i, c+1)
						at = routers[(c+n)%2]
					}
					conn, err := net.Dial("tcp", at.listen)
					if err != nil {
						t.Error(err)
						return
					}
					fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Ttl-Ms: 900\r\n%s\r\n", method, path, txn, more)
					status := 0
					if w, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
						io.Copy(io.Discard, w.Body)
						status = w.StatusCode
					}
					conn.Close()
					of = append(of, try{txn, status})
					if status == 200 {
						break
					}
				}
				tries[c] = append(tries[c], of)
			}
		})
	}
	wg.Wait()
	byTxn, byID := map[string]*trace.Trace{}, map[trace.ID][]*trace.Trace{}
	lost := uint32(0)
	for _, r := range routers {
		for _, p := range r.end(t) {
			if byTxn[p.TransactionID] != nil {
				t.Errorf("%s is kept twice", p.TransactionID)
			}
			byTxn[p.TransactionID], byID[p.ID] = p, append(byID[p.ID], p)
			lost += p.LostBefore
		}
	}
	must, retried, multi := 0, 0, 0
	for c := range tries {
		for i, of := range tries[c] {
			for n, x := range of {
				p := byTxn[x.txn]
				if (x.status != 200 || n > 0 || got[x.txn] > 1 || slow[x.txn]) && p == nil {
					t.Errorf("%s ended with %d after %d attempts, slow %v, and is not traced", x.txn, x.status, got[x.txn], slow[x.txn])
				}
				if p == nil {
					continue
				}
				must++
				sent, broken := 0, 0 // what was written to a connection that broke may not arrive
				for _, s := range p.Spans {
					if s.Kind == trace.Attempt && s.Flags&trace.FlagSent != 0 {
						if sent++; routing.Result(s.Result) == routing.ConnectionLost {
							broken++
						}
					}
				}
				if got[x.txn] > sent || got[x.txn] < sent-broken {
					t.Errorf("%s: %d attempts are traced as sent, %d of them broke, %d arrived", x.txn, sent, broken, got[x.txn])
				}
				if got[x.txn] > 1 {
					multi++
				}
				if wantOutcome := x.status == 200; wantOutcome != (p.Outcome == trace.Served) {
					t.Errorf("%s: %v, the client had %d", x.txn, p.Outcome, x.status)
				}
				if i%4 == 2 && (p.ID.String() != fmt.Sprintf("%032x", 1<<20+c*each+i) || p.ClientSpan != trace.SpanID(c+1)) {
					t.Errorf("%s: trace %v under %x, the client said another", x.txn, p.ID, p.ClientSpan)
				}
				if first := byTxn[of[0].txn]; n > 0 {
					if retried++; first == nil || first.ID != p.ID {
						t.Errorf("%s is not in the trace of its first try", x.txn)
					}
				}
			}
		}
	}
	if must < 50 || retried < 5 || multi < 20 || lost > 0 {
		t.Errorf("%d pieces, %d retries, %d of several attempts, %d lost: too few to show anything", must, retried, multi, lost)
	}
	// No span without a parent, and one root.
	for id, pieces := range byID {
		ids := map[trace.SpanID]int{id.Root(): 1}
		for _, p := range pieces {
			for _, s := range p.Spans {
				ids[s.ID]++
			}
		}
		for _, p := range pieces {
			for _, s := range p.Spans {
				if ids[s.ID] != 1 || ids[s.Parent] != 1 || s.End < s.Start {
					t.Fatalf("trace %v: span %+v", id, s)
				}
			}
		}
	}
	// The platform's protocol knows no traces: nothing of them goes to a box.
	for _, b := range boxes {
		for _, fields := range b.Requests() {
			for f := range strings.SplitSeq(fields, ",") {
				if name, _, _ := strings.Cut(f, "="); !slices.Contains([]string{"sort", "asset", "slice", "patience", "op", "via", "tier", "fresh", "opts", "known"}, name) {
					t.Fatalf("a box was sent the field %q", f)
				}
			}
		}
	}
	// The command line finds the guilty box, and tells no key.
	run := func(args ...string) string {
		var out bytes.Buffer
		for _, r := range routers {
			args = append(args, "--folder", r.folder)
		}
		if err := newTraceCommand(&out).Run(context.Background(), append([]string{"trace"}, args...)); err != nil {
			t.Errorf("%v: %v", args, err)
		}
		return out.String()
	}
	lines := strings.Split(run("blame", "--most", "3"), "\n")
	if len(lines) < 2 || !strings.Contains(lines[1], "s-00000001") {
		t.Errorf("blame: %q", lines)
	}
	var some *trace.Trace
	for _, p := range byTxn {
		if p.Attempts > 1 {
			some = p
		}
	}
	if out := run("list", "--txn", some.TransactionID); !strings.Contains(out, some.ID.String()) {
		t.Errorf("list: %q", out)
	}
	for _, args := range [][]string{{"list", "--most", "1000"}, {"export", "--most", "1000"}, {"export", "--as", "html"}} {
		if out := run(args...); strings.Contains(out, "secretkey") || len(out) < 500 {
			t.Errorf("%v: %d bytes, or a key in them", args, len(out))
		}
	}
}

// A router that is killed leaves what it kept, in a folder that can be opened again. The
// operators' file is read again on SIGHUP: one that cannot be used, or
// changes what only a restart can, is one event that names file, line and field.
func TestKillAndReload(t *testing.T) {
	box := newCache(t, func(id, _ string) string { return fakeserver.Answer(id, "BROKE", "-", "") })
	log, _ := newLog(t)
	hosts := host(1, "box", box.Addr()) + "," + host(9, "origin", box.Addr())
	r := startTracer(t, "a1", log, hosts, "ordinary_per_s = 2\n")
	ask := func(txn int) {
		conn, err := net.Dial("tcp", r.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if w, _ := say(t, conn, fmt.Sprintf("GET /v1/part/00000000000000aa HTTP/1.1\r\nHost: x\r\nX-Txn: %016x\r\nX-Ttl-Ms: 900\r\n\r\n", txn)); w.StatusCode == http.StatusOK {
			t.Error("served by a box that fails")
		}
	}
	for i := range 20 {
		ask(i + 1)
	}
	write := func(text string) {
		if err := os.WriteFile(r.ops, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		r.Process.Signal(syscall.SIGHUP)
	}
	write("trace {\n enabled = true\n colour = 1\n}\n")
	until(t, "a file that cannot be used", func() bool { return strings.Contains(r.log.String(), "garnetline.hcl:3: Unsupported argument") })
	write("trace {\n enabled = true\n folder = \"elsewhere\"\n}\n")
	until(t, "another folder", func() bool { return strings.Contains(r.log.String(), "trace: only a restart") })
	write(fmt.Sprintf("log {\n level = \"debug\"\n}\ntrace {\n enabled = true\n folder = %q\n secret = \"shared\"\n}\n", r.folder))
	until(t, "a good file", func() bool { return strings.Contains(r.log.String(), `"event":"configuration reloaded"`) })
	ask(21)
	until(t, "debug", func() bool {
		return strings.Contains(r.log.String(), `"event":"request refused"`) || strings.Contains(r.log.String(), `"event":"request failed"`)
	})
	until(t, "what was kept is on disk", func() bool { return len(r.pieces(t)) == 21 })
	r.Process.Kill()
	r.Wait()
	if _, err := store.Open(r.folder, 1<<20, 1<<30); err != nil {
		t.Errorf("the folder of a killed router: %v", err)
	}
	x, err := store.Read(r.folder)
	if err != nil {
		t.Fatal(err)
	}
	if _, traces, _ := x.Stat(); traces != 21 {
		t.Errorf("%d traces are left, want 21", traces)
	}
}

// With the operators' file away, or tracing off in it, no folder is made; a class block
// says what differs, and nothing else does.
func TestNoTracesWithoutSettings(t *testing.T) {
	if rec, err := newRecorder(&daemon{}); rec != nil || err != nil {
		t.Errorf("%v, %v", rec, err)
	}
	none := 0.0
	s := recorderSettings(operatorconfig.Trace{OrdinaryPerSecond: 2, Classes: []operatorconfig.TraceClass{{Name: "part", SlowThreshold: 9}, {Name: "form", OrdinaryPerSecond: &none}}},
		[]routing.Class{{Name: "part", LatencyObjective: time.Second}, {Name: "form", LatencyObjective: time.Second}})
	if p, f := s.Classes["part"], s.Classes["form"]; p.OrdinaryPerSecond != 2 || p.LatencyObjective != 9 || f.OrdinaryPerSecond != 0 || f.LatencyObjective != 1000 {
		t.Errorf("%+v, %+v", p, f)
	}
}
