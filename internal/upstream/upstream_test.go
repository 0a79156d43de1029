package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/internal/seeds"
	"garnetline/internal/textconn"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// fakeConn is a connection that keeps what is written and never brings anything:
// answers are handed to the actor directly.
type fakeConn struct {
	net.Conn
	written    bytes.Buffer
	failWrites bool // the next write breaks
	closed     chan struct{}
	// replies counts the answers handed over for an id.
	replies map[string]int
}

func (w *fakeConn) Read([]byte) (int, error) {
	<-w.closed
	return 0, io.EOF
}

func (w *fakeConn) Write(p []byte) (int, error) {
	if w.failWrites {
		return 0, errors.New("reset")
	}
	return w.written.Write(p)
}

func (w *fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (w *fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (w *fakeConn) Close() error {
	select {
	case <-w.closed:
	default:
		close(w.closed)
	}
	return nil
}

func (w *fakeConn) isClosed() bool {
	select {
	case <-w.closed:
		return true
	default:
		return false
	}
}

// harness drives one peer's actor by hand and checks what it writes and reports.
type harness struct {
	t           *testing.T
	upstream    *Upstream
	clock       *clock.Manual
	guard       *routing.Guard
	conns       []*fakeConn
	dials       chan *fakeConn // what a dial ends with; nil: refused
	refuseDials bool
	attempts    []*dispatch.Attempt
	completions map[*dispatch.Attempt][]routing.Result
	canceled    map[*dispatch.Attempt]bool
}

func newHarness(t *testing.T) *harness {
	m := &harness{t: t, dials: make(chan *fakeConn), clock: clock.NewManual(1.7e12), completions: map[*dispatch.Attempt][]routing.Result{}, canceled: map[*dispatch.Attempt]bool{},
		guard: &routing.Guard{Ready: map[routing.ServerID]bool{1: true, 8: true}, PurgeRetention: 6 * time.Second}}
	m.upstream = newUpstream(Options{Clock: m.clock, Settings: func() platformconfig.Upstream {
		return platformconfig.Upstream{IdleTimeout: 15000, ConnectTimeout: 400, MaxStreams: 3}
	},
		Guard: func() *routing.Guard { return m.guard }, Metrics: metrics.New(), MaxConnections: func() int64 { return 5 }, openConnections: new(atomic.Int64),
		Complete: func(e dispatch.Completion) { m.completions[e.Attempt] = append(m.completions[e.Attempt], e.Result) },
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			if w := <-m.dials; w != nil {
				return w, nil
			}
			return nil, errors.New("refused")
		}}, 1, netip.MustParseAddrPort("127.0.0.1:1"))
	t.Cleanup(func() {
		close(m.upstream.stopped)
		close(m.dials)
		m.upstream.closeAllConnections()
	})
	return m
}

func (m *harness) send(txn string) *dispatch.Attempt {
	a := &dispatch.Attempt{Request: &dispatch.Request{TransactionID: txn, Object: 7, Group: 3}, Class: &routing.Class{Name: "part"},
		Decision: routing.SendAttempt{Server: 1, FillSource: 8}, ExpiresAt: m.clock.Now() + 2000}
	m.attempts = append(m.attempts, a)
	m.upstream.handleMessage(m.t.Context(), message{send: a})
	return a
}

// finishDial lets a dial that is under way end.
func (m *harness) finishDial() {
	for m.upstream.dialing {
		var w *fakeConn
		if !m.refuseDials {
			w = &fakeConn{closed: make(chan struct{}), replies: map[string]int{}}
			m.conns = append(m.conns, w)
		}
		m.dials <- w
		for up := false; !up; { // ends of readers may come before it
			e := <-m.upstream.connectionEvents
			up = e.connection == nil
			m.upstream.handleConnectionEvent(m.t.Context(), e)
		}
	}
}

func (m *harness) cancel(a *dispatch.Attempt) {
	if !m.canceled[a] {
		m.canceled[a] = true
		m.upstream.handleMessage(m.t.Context(), message{cancel: a})
	}
}

// FuzzUpstream checks the states of a peer's connections: each attempt ends once,
// none goes to a closed connection, nothing given up is left without a word,
// and no id is on a connection twice.
func FuzzUpstream(f *testing.F) {
	seeds.Add(f, 32, 300)
	f.Fuzz(func(t *testing.T, steps []byte) {
		m := newHarness(t)
		for i := 0; i+1 < len(steps) && i < 2000; i += 2 {
			m.runStep(steps[i]%9, int(steps[i+1]))
			m.check()
		}
		m.refuseDials = false
		m.finishDial()
		for _, a := range m.attempts {
			m.cancel(a)
		}
		m.check()
		for i, a := range m.attempts {
			if len(m.completions[a]) != 1 {
				t.Errorf("attempt %d ended as %v", i, m.completions[a])
			}
		}
	})
}

func (m *harness) runStep(op byte, x int) {
	ctx := m.t.Context()
	switch op {
	case 0, 1, 2:
		if len(m.upstream.queued) < 64 {
			m.send(fmt.Sprintf("%016x", x%8))
		}
	case 3:
		m.refuseDials = x%3 == 0
		m.finishDial()
	case 4:
		if len(m.attempts) > 0 {
			m.cancel(m.attempts[x%len(m.attempts)])
		}
	case 5, 6:
		if len(m.upstream.connections) > 0 {
			l, id := m.upstream.connections[x%len(m.upstream.connections)], fmt.Sprintf("%016x", x/6%8)
			if w := l.text.NetConn.(*fakeConn); l.inFlight[id] != nil || l.canceledIDs[id] {
				w.replies[id]++
			}
			word := []string{"DONE", "LACK", "WAIT", "BROKE", "KEEP", "??"}[x%6]
			m.upstream.handleConnectionEvent(ctx, connectionEvent{connection: l, reply: reply{id: id, status: word, fields: "-"}})
		}
	case 7:
		if len(m.upstream.connections) > 0 {
			l := m.upstream.connections[x%len(m.upstream.connections)]
			if x%2 == 0 {
				m.upstream.handleConnectionEvent(ctx, connectionEvent{connection: l, err: io.EOF})
			} else {
				l.text.NetConn.(*fakeConn).failWrites = true
			}
		}
	case 8:
		m.clock.Advance(float64(x * 100))
		m.upstream.closeIdle()
	}
}

// check reads what was written: commands must be whole and fit the ends.
func (m *harness) check() {
	for _, w := range m.conns {
		served := map[string]int{}
		for _, cmd := range commands(m.t, w.written.Bytes()) {
			if cmd[0] == "serve" {
				served[cmd[1]]++
			}
			if served[cmd[1]] > 1+w.replies[cmd[1]] {
				m.t.Fatalf("%s was written again where a late answer may be taken for its own", cmd[1])
			}
		}
	}
	live := map[*fakeConn]bool{}
	for _, l := range m.upstream.connections {
		w := l.text.NetConn.(*fakeConn)
		live[w] = true
		if len(l.inFlight) > 3 {
			m.t.Fatalf("%d requests on a connection for 3", len(l.inFlight))
		}
		for txn, s := range l.inFlight {
			if len(m.completions[s.attempt]) > 0 {
				m.t.Fatalf("%s is open but over", txn)
			}
		}
	}
	want := int64(len(m.upstream.connections))
	if m.upstream.dialing {
		want++
	}
	if got := m.upstream.openConnections.Load(); got != want || got > m.upstream.MaxConnections() {
		m.t.Fatalf("%d connections are counted, want %d and at most %d", got, want, m.upstream.MaxConnections())
	}
	for i, w := range m.conns {
		if !live[w] && !w.isClosed() {
			m.t.Fatalf("connection %d was dropped without being closed", i)
		}
	}
	for a, e := range m.completions {
		if len(e) > 1 {
			m.t.Fatalf("%s ended as %v", a.Request.TransactionID, e)
		}
	}
}

// commands splits what was written. An answered id may be used again.
func commands(t *testing.T, b []byte) (out [][]string) {
	for len(b) > 0 {
		var n int
		if _, err := fmt.Sscanf(string(b), "*%d\r\n", &n); err != nil {
			t.Fatalf("%q: %v", b, err)
		}
		b = b[bytes.IndexByte(b, '\n')+1:]
		var cmd []string
		for range n {
			var l int
			if _, err := fmt.Sscanf(string(b), "$%d\r\n", &l); err != nil {
				t.Fatalf("%q: %v", b, err)
			}
			b = b[bytes.IndexByte(b, '\n')+1:]
			cmd = append(cmd, string(b[:l]))
			b = b[l+2:]
		}
		out = append(out, cmd)
	}
	return out
}

// An attempt that was queued while its cache was listed as draining, or its
// source was, must not go out late.
func TestQueuedAttemptChecksEndpointList(t *testing.T) {
	for _, barred := range []routing.ServerID{1, 8} {
		m := newHarness(t)
		a := m.send("a")
		m.guard = &routing.Guard{Ready: map[routing.ServerID]bool{9 - barred: true}}
		m.finishDial()
		if got := m.completions[a]; len(got) != 1 || got[0] != routing.NotSent || m.conns[0].written.Len() > 0 {
			t.Errorf("%d drains: ended as %v after %q", barred, got, m.conns[0].written.String())
		}
	}
}

// A purge told while an attempt is queued bounds the age of the copy.
func TestQueuedAttemptChecksPurges(t *testing.T) {
	m := newHarness(t)
	m.send("a")
	m.clock.Advance(40)
	g := *m.guard
	g.Purges = []routing.PurgeRecord{{Group: 3, At: clock.Duration(m.clock.Now() - 25.5)}}
	m.guard = &g
	m.finishDial()
	if got := m.conns[0].written.String(); !strings.Contains(got, ",fresh=25\r\n") {
		t.Errorf("wrote %q, want fresh=25", got)
	}
}

// A machine that vanished leaves its connection open and silent. What follows
// must not be written there, or it looks silent when it is back.
func TestUnresponsiveConnectionIsRetired(t *testing.T) {
	m := newHarness(t)
	a := m.send("a")
	m.finishDial()
	m.clock.Advance(800)
	m.cancel(a)
	if !m.conns[0].isClosed() {
		t.Error("the silent connection is still open")
	}
	m.send("b")
	m.finishDial()
	if len(m.conns) != 2 || !strings.Contains(m.conns[1].written.String(), "$1\r\nb\r\n") {
		t.Errorf("%d connections", len(m.conns))
	}
}

// A refused connection proves that nothing ran; a reset does not.
func TestConnectionRefusedAndReset(t *testing.T) {
	m := newHarness(t)
	m.refuseDials = true
	a := m.send("a")
	m.finishDial()
	m.refuseDials = false
	b := m.send("b")
	m.finishDial()
	m.upstream.handleConnectionEvent(t.Context(), connectionEvent{connection: m.upstream.connections[0], err: io.EOF})
	if m.completions[a][0] != routing.ConnectFailed || m.completions[b][0] != routing.ConnectionLost {
		t.Errorf("refused: %v, reset: %v", m.completions[a], m.completions[b])
	}
}

// A server that takes no more connections is left alone with that for a while: what
// follows goes over the one that there is, and nothing ends for it.
func TestNoDialPerRequestAtConnectionLimit(t *testing.T) {
	m := newHarness(t)
	tries := 0
	ask := func(i int) {
		m.send(fmt.Sprint(i))
		if m.upstream.dialing {
			tries++
		}
		m.refuseDials = len(m.conns) > 0
		m.finishDial()
		m.upstream.handleConnectionEvent(t.Context(), connectionEvent{connection: m.upstream.connections[0], reply: reply{id: fmt.Sprint(i), status: "DONE", fields: "-"}})
	}
	m.send("first")
	m.finishDial()
	for i := range 50 {
		ask(i)
		m.clock.Advance(10)
	}
	if tries != 1 || len(m.conns) != 1 {
		t.Errorf("%d tries for a further connection within 500 ms, %d connections; want 1 and 1", tries, len(m.conns))
	}
	m.clock.Advance(growBackoff)
	if ask(50); tries != 2 {
		t.Errorf("%d tries after a rest, want one more", tries)
	}
	for i, a := range m.attempts[1:] {
		if len(m.completions[a]) != 1 || m.completions[a][0] != routing.Served {
			t.Errorf("request %d ended as %v", i, m.completions[a])
		}
	}
}

// Where peers take no part in traces a command is the same to the byte, traced or not,
// whatever verdicts there are; where they do it has the attempt's context, and each
// verdict once, so many at a time.
func TestTraceFieldsOnlyWhenPropagated(t *testing.T) {
	wrote := func(traced, takes bool) []string {
		m := newHarness(t)
		m.upstream.PropagateTraces = takes
		pool := &Pool{Options: m.upstream.Options, upstreams: map[routing.ServerID]*Upstream{1: m.upstream}}
		for i := range retainedTracesPerCommand + 1 {
			pool.TraceRetained(1, trace.ID{byte(i + 1)})
		}
		pool.TraceRetained(2, trace.ID{9}) // nobody
		for _, txn := range []string{"a", "b", "c"} {
			a := &dispatch.Attempt{Request: &dispatch.Request{TransactionID: txn, Object: 7, Group: 3, IdempotencyKey: "k"}, Class: &routing.Class{Name: "part"},
				Decision: routing.SendAttempt{Server: 1, FillSource: 8, CopyRank: 2, JoinFill: true}, ExpiresAt: m.clock.Now() + 2000}
			if traced {
				a.Trace = &dispatch.AttemptTrace{Context: trace.Parent{Trace: trace.ID{5}, Span: 6, Sampled: true}}
			}
			m.attempts = append(m.attempts, a)
			m.upstream.handleMessage(t.Context(), message{send: a})
			m.finishDial()
		}
		var out []string
		for _, w := range m.conns {
			for _, c := range commands(t, w.written.Bytes()) {
				out = append(out, c[2])
			}
		}
		return out
	}
	plain := "sort=part,asset=0000000000000007,slice=0,patience=2000,op=k,via=s-00000008,tier=2,opts=join"
	for _, got := range [][]string{wrote(false, false), wrote(true, false)} {
		for _, fields := range got {
			if fields != plain {
				t.Errorf("%q, want %q", fields, plain)
			}
		}
	}
	got := wrote(true, true)
	context := plain + ",trace=00-05000000000000000000000000000000-0000000000000006-01"
	slices.SortFunc(got, func(a, b string) int { return len(b) - len(a) })
	if len(got) != 3 || !strings.HasPrefix(got[0], context+",kept=0100") || strings.Count(got[0], "+") != retainedTracesPerCommand-1 ||
		!strings.HasPrefix(got[1], context+",kept=0500") || strings.Contains(got[1], "+") || got[2] != context {
		t.Errorf("%q", got)
	}
}

// byteSource is a connection that brings fixed bytes.
type byteSource struct {
	net.Conn
	reader io.Reader
}

func (s byteSource) Read(p []byte) (int, error) { return s.reader.Read(p) }

// FuzzReply: whatever a peer sends is an answer or an error, and what is taken
// for an answer reads the same when it is written again.
func FuzzReply(f *testing.F) {
	for _, s := range []string{"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$5\r\ntag=x\r\n$3\r\nabc\r\n", "*4\r\n$1\r\na\r\n$4\r\nKEEP\r\n$1\r\n-\r\n$0\r\n\r\n",
		"*4\r\n$1\r\na\r\n$4\r\nKEEP\r\n$5\r\ntag=x\r\n$0\r\n\r\n", "*4\r\n$1\r\na\r\n$4\r\nKEEP\r\n$5\r\ntag=y\r\n$0\r\n\r\n",
		"*4\r\n$999999999\r\n", "*-1\r\n", "$4\r\nDONE\r\n", "*4\r\n$1\r\nabc", strings.Repeat("x", 9000), "*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$7\r\nl=x1:+9\r\n$0\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := readReply(textconn.New(byteSource{reader: bytes.NewReader(b)}), nil)
		if err != nil {
			return
		}
		again := appendBulk([]byte("*4\r\n"), r.id)
		again = appendBulk(appendBulk(appendBulk(again, r.status), r.fields), string(r.body))
		r2, err := readReply(textconn.New(byteSource{reader: bytes.NewReader(again)}), nil)
		if err != nil || r2.id != r.id || r2.status != r.status || r2.fields != r.fields || !bytes.Equal(r.body, r2.body) {
			t.Errorf("%+v became %+v, %v", r, r2, err)
		}
		e, err := r.completion(&dispatch.Attempt{Request: &dispatch.Request{IfNoneMatch: "x"}})
		named := strings.Count(","+r.fields, ",tag=") == 1 && strings.Contains(","+r.fields+",", ",tag=x,")
		if err == nil && (e.Result == routing.Served) != (r.status == "DONE" || r.status == "KEEP" && named) {
			t.Errorf("%s with %q became %v", r.status, r.fields, e.Result)
		}
		if err == nil && (e.Response.Kind == dispatch.NotModified) != (r.status == "KEEP" && named) {
			t.Errorf("%s with %q is answered as %v", r.status, r.fields, e.Response.Kind)
		}
	})
}

// A body is passed on unchanged, and one that is longer than any object or
// cut short is none.
func TestReplyBodies(t *testing.T) {
	body := strings.Repeat("\r\n$x\x00", 40_000)
	frame := fmt.Sprintf("*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$15\r\ntag=t1,minted=5\r\n$%d\r\n%s\r\n", len(body), body)
	r, err := readReply(textconn.New(byteSource{reader: strings.NewReader(frame)}), nil)
	if err != nil || string(r.body) != body {
		t.Errorf("%d bytes, %v", len(r.body), err)
	}
	if _, err := readReply(textconn.New(byteSource{reader: strings.NewReader(frame[:len(frame)-9])}), nil); err == nil {
		t.Error("a cut body was taken")
	}
	long := fmt.Sprintf("*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$%d\r\n", maxBodyBytes+1)
	if _, err := readReply(textconn.New(byteSource{reader: strings.NewReader(long)}), nil); !errors.Is(err, errMalformedReply) {
		t.Errorf("a body too long: %v", err)
	}
}

// A new cache may have the address of one that has gone: it is another peer,
// with connections of its own, and the old id gets nothing more.
func TestAddressReused(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	dials := make(chan netip.AddrPort, 4)
	g := &routing.Guard{Ready: map[routing.ServerID]bool{1: true, 2: true, 8: true}}
	ends := make(chan dispatch.Completion, 4)
	p := NewPool(ctx, Options{Clock: clock.NewManual(1.7e12), Settings: func() platformconfig.Upstream {
		return platformconfig.Upstream{IdleTimeout: 15000, ConnectTimeout: 60_000, MaxStreams: 3}
	}, MaxConnections: func() int64 { return 0 },
		Guard: func() *routing.Guard { return g }, Metrics: metrics.New(), Complete: func(e dispatch.Completion) { ends <- e },
		Dial: func(_ context.Context, to netip.AddrPort) (net.Conn, error) {
			dials <- to
			return nil, errors.New("refused")
		}})
	at := netip.MustParseAddrPort("127.0.0.9:5050")
	host := func(id int, phase routing.Phase) platformconfig.Endpoint {
		return platformconfig.Endpoint{Server: routing.Server{ID: routing.ServerID(id), Phase: phase}, Addr: at}
	}
	attempt := func(id int) *dispatch.Attempt {
		return &dispatch.Attempt{Request: &dispatch.Request{TransactionID: fmt.Sprint(id)}, Class: &routing.Class{}, ExpiresAt: 1.7e12 + 1000,
			Decision: routing.SendAttempt{Server: routing.ServerID(id), FillSource: 8}}
	}
	p.UpdateEndpoints(platformconfig.WatchEvent{ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{host(1, routing.Ready)}})
	old := p.upstreams[1]
	p.UpdateEndpoints(platformconfig.WatchEvent{ListUpdate: true, Endpoints: []platformconfig.Endpoint{host(1, routing.Removed), host(2, routing.Ready)}})
	if p.upstreams[1] != nil || p.upstreams[2] == nil || p.upstreams[2] == old {
		t.Fatalf("peers %v", p.upstreams)
	}
	if e := p.Send(attempt(1)); e == nil || e.Result != routing.NotSent {
		t.Errorf("an attempt to the one that has gone: %v", e)
	}
	if e := p.Send(attempt(2)); e != nil {
		t.Errorf("an attempt to the new one: %v", e.Result)
	}
	if to, e := <-dials, <-ends; to != at || e.Result != routing.ConnectFailed {
		t.Errorf("dialled %v, ended as %v", to, e.Result)
	}
	<-old.stopped // it ends by itself: nothing is out
}

// What is open with a server lies on several connections, so that a spoilt
// answer on one takes little along. (The symptom: it took all.)
func TestMalformedReplyClosesOneConnection(t *testing.T) {
	m := newHarness(t)
	for i := range 6 {
		m.send(fmt.Sprint(i))
		m.finishDial()
	}
	if len(m.upstream.connections) < 2 {
		t.Fatal("all is on one connection")
	}
	m.upstream.handleConnectionEvent(t.Context(), connectionEvent{connection: m.upstream.connections[0], err: errMalformedReply})
	if n := len(m.completions); n == 0 || n > 2 {
		t.Errorf("%d of 6 attempts ended with one connection", n)
	}
	for _, e := range m.completions {
		if e[0] != routing.ConnectionLost {
			t.Errorf("ended as %v", e)
		}
	}
}

// stallingConn is a connection that brings some bytes and then nothing more.
type stallingConn struct {
	byteSource
	deadline time.Time
}

func (h *stallingConn) SetReadDeadline(t time.Time) error {
	h.deadline = t
	return nil
}

func (h *stallingConn) Read(p []byte) (int, error) {
	if n, err := h.reader.Read(p); err == nil {
		return n, nil
	}
	if h.deadline.IsZero() {
		return 0, errors.New("waits for ever")
	}
	return 0, os.ErrDeadlineExceeded
}

// An answer that has begun has a time to end; one that has not begun has none.
func TestTruncatedReplyTimesOut(t *testing.T) {
	whole := "*4\r\n$1\r\na\r\n$4\r\nLACK\r\n$1\r\n-\r\n$0\r\n\r\n"
	for _, c := range []struct {
		text string
		want string
	}{{whole, "waits for ever"}, {whole + whole[:20], os.ErrDeadlineExceeded.Error()}} {
		l := &connection{text: textconn.New(&stallingConn{byteSource: byteSource{reader: strings.NewReader(c.text)}})}
		if r, err := l.nextReply(0); err != nil || r.status != "LACK" {
			t.Fatalf("%+v, %v", r, err)
		}
		if _, err := l.nextReply(0); err == nil || err.Error() != c.want {
			t.Errorf("after %q: %v, want %s", c.text, err, c.want)
		}
	}
}

// Clients that leave soon after they asked say nothing of the server: its
// connections stay in use. (The symptom: all eight were set aside, each for one
// such client, and what came next was refused as if the server were full.)
func TestEarlyCancelsKeepConnections(t *testing.T) {
	m := newHarness(t)
	for i := range 40 {
		a := m.send(fmt.Sprintf("stay%d", i))
		b := m.send(fmt.Sprintf("leave%d", i))
		m.finishDial()
		m.clock.Advance(20)
		m.cancel(b)
		if i > 4 {
			m.cancel(m.attempts[2*(i-5)])
		}
		for _, l := range m.upstream.connections {
			if l.retired {
				t.Fatalf("a connection was set aside after %d", i)
			}
		}
		if len(m.completions[a]) > 0 {
			t.Fatalf("attempt %d ended as %v", i, m.completions[a])
		}
	}
}

// What is given up to be sent again, on a connection that has said nothing
// since, is given up by closing that: only then can no second copy be out. On
// one that has answered others the cancel does.
func TestRetryClosesUnresponsiveConnection(t *testing.T) {
	for _, answered := range []bool{false, true} {
		m := newHarness(t)
		a, b := m.send("a"), m.send("b")
		m.finishDial()
		m.clock.Advance(100)
		if answered {
			m.upstream.handleConnectionEvent(t.Context(), connectionEvent{connection: m.upstream.connections[0], reply: reply{id: "b", status: "LACK", fields: "-"}})
		}
		a.MayRetry = true
		m.cancel(a)
		if m.conns[0].isClosed() == answered || len(m.completions[a]) != 1 || m.completions[a][0] != routing.Canceled || len(m.completions[b]) != 1 {
			t.Errorf("answered %v: closed %v, ends %v and %v", answered, m.conns[0].isClosed(), m.completions[a], m.completions[b])
		}
	}
}
