package peer

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

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/config"
	"garnetline/internal/core"
	"garnetline/internal/seeds"
	"garnetline/internal/sock"
	"garnetline/internal/stats"
	"garnetline/internal/trace"
)

// wire is a connection that keeps what is written and never brings anything:
// answers are handed to the actor directly.
type wire struct {
	net.Conn
	wrote  bytes.Buffer
	fail   bool // the next write breaks
	closed chan struct{}
	// answered counts the answers handed over for an id.
	answered map[string]int
}

func (w *wire) Read([]byte) (int, error) {
	<-w.closed
	return 0, io.EOF
}

func (w *wire) Write(p []byte) (int, error) {
	if w.fail {
		return 0, errors.New("reset")
	}
	return w.wrote.Write(p)
}

func (w *wire) SetWriteDeadline(time.Time) error { return nil }
func (w *wire) SetReadDeadline(time.Time) error  { return nil }
func (w *wire) Close() error {
	select {
	case <-w.closed:
	default:
		close(w.closed)
	}
	return nil
}

func (w *wire) isClosed() bool {
	select {
	case <-w.closed:
		return true
	default:
		return false
	}
}

// model drives one peer's actor by hand and checks what it writes and reports.
type model struct {
	t        *testing.T
	p        *Peer
	clk      *clock.Manual
	guard    *decide.Guard
	wires    []*wire
	dials    chan *wire // what a dial ends with; nil: refused
	refuse   bool
	attempts []*core.Attempt
	ends     map[*core.Attempt][]decide.Result
	asked    map[*core.Attempt]bool
}

func newModel(t *testing.T) *model {
	m := &model{t: t, dials: make(chan *wire), clk: clock.NewManual(1.7e12), ends: map[*core.Attempt][]decide.Result{}, asked: map[*core.Attempt]bool{},
		guard: &decide.Guard{Ready: map[decide.ServerID]bool{1: true, 8: true}, Done: 6 * time.Second}}
	m.p = newPeer(Options{Clock: m.clk, Conn: func() config.Conn { return config.Conn{Idle: 15000, Connect: 400, MaxStreams: 3} },
		Guard: func() *decide.Guard { return m.guard }, Stats: stats.New(), Links: func() int64 { return 5 }, live: new(atomic.Int64),
		End: func(e core.End) { m.ends[e.Attempt] = append(m.ends[e.Attempt], e.Result) },
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			if w := <-m.dials; w != nil {
				return w, nil
			}
			return nil, errors.New("refused")
		}}, 1, netip.MustParseAddrPort("127.0.0.1:1"))
	t.Cleanup(func() {
		close(m.p.done)
		close(m.dials)
		m.p.closeAll()
	})
	return m
}

func (m *model) send(txn string) *core.Attempt {
	a := &core.Attempt{Req: &core.Request{Txn: txn, Object: 7, Group: 3}, Class: &decide.Class{Name: "part"},
		Get: decide.Get{Server: 1, Source: 8}, Until: m.clk.Now() + 2000}
	m.attempts = append(m.attempts, a)
	m.p.order(m.t.Context(), order{send: a})
	return a
}

// dialed lets a dial that is under way end.
func (m *model) dialed() {
	for m.p.dialing {
		var w *wire
		if !m.refuse {
			w = &wire{closed: make(chan struct{}), answered: map[string]int{}}
			m.wires = append(m.wires, w)
		}
		m.dials <- w
		for up := false; !up; { // ends of readers may come before it
			e := <-m.p.events
			up = e.link == nil
			m.p.event(m.t.Context(), e)
		}
	}
}

func (m *model) cancel(a *core.Attempt) {
	if !m.asked[a] {
		m.asked[a] = true
		m.p.order(m.t.Context(), order{cancel: a})
	}
}

// FuzzPeer checks the states of a peer's connections: each attempt ends once,
// none goes to a closed connection, nothing given up is left without a word,
// and no id is on a connection twice.
func FuzzPeer(f *testing.F) {
	seeds.Add(f, 32, 300)
	f.Fuzz(func(t *testing.T, steps []byte) {
		m := newModel(t)
		for i := 0; i+1 < len(steps) && i < 2000; i += 2 {
			m.step(steps[i]%9, int(steps[i+1]))
			m.check()
		}
		m.refuse = false
		m.dialed()
		for _, a := range m.attempts {
			m.cancel(a)
		}
		m.check()
		for i, a := range m.attempts {
			if len(m.ends[a]) != 1 {
				t.Errorf("attempt %d ended as %v", i, m.ends[a])
			}
		}
	})
}

func (m *model) step(op byte, x int) {
	ctx := m.t.Context()
	switch op {
	case 0, 1, 2:
		if len(m.p.waiting) < 64 {
			m.send(fmt.Sprintf("%016x", x%8))
		}
	case 3:
		m.refuse = x%3 == 0
		m.dialed()
	case 4:
		if len(m.attempts) > 0 {
			m.cancel(m.attempts[x%len(m.attempts)])
		}
	case 5, 6:
		if len(m.p.links) > 0 {
			l, id := m.p.links[x%len(m.p.links)], fmt.Sprintf("%016x", x/6%8)
			if w := l.k.Net.(*wire); l.open[id] != nil || l.dead[id] {
				w.answered[id]++
			}
			word := []string{"DONE", "LACK", "WAIT", "BROKE", "KEEP", "??"}[x%6]
			m.p.event(ctx, event{link: l, reply: reply{id: id, word: word, fields: "-"}})
		}
	case 7:
		if len(m.p.links) > 0 {
			l := m.p.links[x%len(m.p.links)]
			if x%2 == 0 {
				m.p.event(ctx, event{link: l, err: io.EOF})
			} else {
				l.k.Net.(*wire).fail = true
			}
		}
	case 8:
		m.clk.Advance(float64(x * 100))
		m.p.sweep()
	}
}

// check reads what was written: commands must be whole and fit the ends.
func (m *model) check() {
	for _, w := range m.wires {
		served := map[string]int{}
		for _, cmd := range commands(m.t, w.wrote.Bytes()) {
			if cmd[0] == "serve" {
				served[cmd[1]]++
			}
			if served[cmd[1]] > 1+w.answered[cmd[1]] {
				m.t.Fatalf("%s was written again where a late answer may be taken for its own", cmd[1])
			}
		}
	}
	live := map[*wire]bool{}
	for _, l := range m.p.links {
		w := l.k.Net.(*wire)
		live[w] = true
		if len(l.open) > 3 {
			m.t.Fatalf("%d requests on a connection for 3", len(l.open))
		}
		for txn, s := range l.open {
			if len(m.ends[s.a]) > 0 {
				m.t.Fatalf("%s is open but over", txn)
			}
		}
	}
	want := int64(len(m.p.links))
	if m.p.dialing {
		want++
	}
	if got := m.p.live.Load(); got != want || got > m.p.Links() {
		m.t.Fatalf("%d connections are counted, want %d and at most %d", got, want, m.p.Links())
	}
	for i, w := range m.wires {
		if !live[w] && !w.isClosed() {
			m.t.Fatalf("connection %d was dropped without being closed", i)
		}
	}
	for a, e := range m.ends {
		if len(e) > 1 {
			m.t.Fatalf("%s ended as %v", a.Req.Txn, e)
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
func TestQueuedSendIsHeldAgainstTheList(t *testing.T) {
	for _, barred := range []decide.ServerID{1, 8} {
		m := newModel(t)
		a := m.send("a")
		m.guard = &decide.Guard{Ready: map[decide.ServerID]bool{9 - barred: true}}
		m.dialed()
		if got := m.ends[a]; len(got) != 1 || got[0] != decide.NotSent || m.wires[0].wrote.Len() > 0 {
			t.Errorf("%d drains: ended as %v after %q", barred, got, m.wires[0].wrote.String())
		}
	}
}

// A purge told while an attempt is queued bounds the age of the copy.
func TestQueuedSendIsHeldAgainstPurges(t *testing.T) {
	m := newModel(t)
	m.send("a")
	m.clk.Advance(40)
	g := *m.guard
	g.Purges = []decide.PurgedAt{{Group: 3, At: clock.Duration(m.clk.Now() - 25.5)}}
	m.guard = &g
	m.dialed()
	if got := m.wires[0].wrote.String(); !strings.Contains(got, ",fresh=25\r\n") {
		t.Errorf("wrote %q, want fresh=25", got)
	}
}

// A machine that vanished leaves its connection open and silent. What follows
// must not be written there, or it looks silent when it is back.
func TestSilentConnectionIsSetAside(t *testing.T) {
	m := newModel(t)
	a := m.send("a")
	m.dialed()
	m.clk.Advance(800)
	m.cancel(a)
	if !m.wires[0].isClosed() {
		t.Error("the silent connection is still open")
	}
	m.send("b")
	m.dialed()
	if len(m.wires) != 2 || !strings.Contains(m.wires[1].wrote.String(), "$1\r\nb\r\n") {
		t.Errorf("%d connections", len(m.wires))
	}
}

// A refused connection proves that nothing ran; a reset does not.
func TestRefusedAndReset(t *testing.T) {
	m := newModel(t)
	m.refuse = true
	a := m.send("a")
	m.dialed()
	m.refuse = false
	b := m.send("b")
	m.dialed()
	m.p.event(t.Context(), event{link: m.p.links[0], err: io.EOF})
	if m.ends[a][0] != decide.Unreached || m.ends[b][0] != decide.Broken {
		t.Errorf("refused: %v, reset: %v", m.ends[a], m.ends[b])
	}
}

// A server that takes no more connections is left alone with that for a while: what
// follows goes over the one that there is, and nothing ends for it.
func TestFullServerIsNotDialledForEachRequest(t *testing.T) {
	m := newModel(t)
	tries := 0
	ask := func(i int) {
		m.send(fmt.Sprint(i))
		if m.p.dialing {
			tries++
		}
		m.refuse = len(m.wires) > 0
		m.dialed()
		m.p.event(t.Context(), event{link: m.p.links[0], reply: reply{id: fmt.Sprint(i), word: "DONE", fields: "-"}})
	}
	m.send("first")
	m.dialed()
	for i := range 50 {
		ask(i)
		m.clk.Advance(10)
	}
	if tries != 1 || len(m.wires) != 1 {
		t.Errorf("%d tries for a further connection within 500 ms, %d connections; want 1 and 1", tries, len(m.wires))
	}
	m.clk.Advance(growRest)
	if ask(50); tries != 2 {
		t.Errorf("%d tries after a rest, want one more", tries)
	}
	for i, a := range m.attempts[1:] {
		if len(m.ends[a]) != 1 || m.ends[a][0] != decide.Served {
			t.Errorf("request %d ended as %v", i, m.ends[a])
		}
	}
}

// Where peers take no part in traces a command is the same to the byte, traced or not,
// whatever verdicts there are; where they do it has the attempt's context, and each
// verdict once, so many at a time.
func TestTracesChangeNoByteUnlessTaken(t *testing.T) {
	wrote := func(traced, takes bool) []string {
		m := newModel(t)
		m.p.Traced = takes
		pool := &Pool{Options: m.p.Options, peers: map[decide.ServerID]*Peer{1: m.p}}
		for i := range keptRide + 1 {
			pool.Kept(1, trace.ID{byte(i + 1)})
		}
		pool.Kept(2, trace.ID{9}) // nobody
		for _, txn := range []string{"a", "b", "c"} {
			a := &core.Attempt{Req: &core.Request{Txn: txn, Object: 7, Group: 3, Key: "k"}, Class: &decide.Class{Name: "part"},
				Get: decide.Get{Server: 1, Source: 8, Keep: 2, Join: true}, Until: m.clk.Now() + 2000}
			if traced {
				a.Trace = &core.Trace{Context: trace.Parent{Trace: trace.ID{5}, Span: 6, Sampled: true}}
			}
			m.attempts = append(m.attempts, a)
			m.p.order(t.Context(), order{send: a})
			m.dialed()
		}
		var out []string
		for _, w := range m.wires {
			for _, c := range commands(t, w.wrote.Bytes()) {
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
	if len(got) != 3 || !strings.HasPrefix(got[0], context+",kept=0100") || strings.Count(got[0], "+") != keptRide-1 ||
		!strings.HasPrefix(got[1], context+",kept=0500") || strings.Contains(got[1], "+") || got[2] != context {
		t.Errorf("%q", got)
	}
}

// source is a connection that brings fixed bytes.
type source struct {
	net.Conn
	r io.Reader
}

func (s source) Read(p []byte) (int, error) { return s.r.Read(p) }

// FuzzReply: whatever a peer sends is an answer or an error, and what is taken
// for an answer reads the same when it is written again.
func FuzzReply(f *testing.F) {
	for _, s := range []string{"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$5\r\ntag=x\r\n$3\r\nabc\r\n", "*4\r\n$1\r\na\r\n$4\r\nKEEP\r\n$1\r\n-\r\n$0\r\n\r\n",
		"*4\r\n$1\r\na\r\n$4\r\nKEEP\r\n$5\r\ntag=x\r\n$0\r\n\r\n", "*4\r\n$1\r\na\r\n$4\r\nKEEP\r\n$5\r\ntag=y\r\n$0\r\n\r\n",
		"*4\r\n$999999999\r\n", "*-1\r\n", "$4\r\nDONE\r\n", "*4\r\n$1\r\nabc", strings.Repeat("x", 9000), "*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$7\r\nl=x1:+9\r\n$0\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := readReply(sock.New(source{r: bytes.NewReader(b)}), nil)
		if err != nil {
			return
		}
		again := appendBulk([]byte("*4\r\n"), r.id)
		again = appendBulk(appendBulk(appendBulk(again, r.word), r.fields), string(r.body))
		r2, err := readReply(sock.New(source{r: bytes.NewReader(again)}), nil)
		if err != nil || r2.id != r.id || r2.word != r.word || r2.fields != r.fields || !bytes.Equal(r.body, r2.body) {
			t.Errorf("%+v became %+v, %v", r, r2, err)
		}
		e, err := r.end(&core.Attempt{Req: &core.Request{Known: "x"}})
		named := strings.Count(","+r.fields, ",tag=") == 1 && strings.Contains(","+r.fields+",", ",tag=x,")
		if err == nil && (e.Result == decide.Served) != (r.word == "DONE" || r.word == "KEEP" && named) {
			t.Errorf("%s with %q became %v", r.word, r.fields, e.Result)
		}
		if err == nil && (e.Answer.Kind == core.Same) != (r.word == "KEEP" && named) {
			t.Errorf("%s with %q is answered as %v", r.word, r.fields, e.Answer.Kind)
		}
	})
}

// A body is passed on unchanged, and one that is longer than any object or
// cut short is none.
func TestReplyBodies(t *testing.T) {
	body := strings.Repeat("\r\n$x\x00", 40_000)
	frame := fmt.Sprintf("*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$15\r\ntag=t1,minted=5\r\n$%d\r\n%s\r\n", len(body), body)
	r, err := readReply(sock.New(source{r: strings.NewReader(frame)}), nil)
	if err != nil || string(r.body) != body {
		t.Errorf("%d bytes, %v", len(r.body), err)
	}
	if _, err := readReply(sock.New(source{r: strings.NewReader(frame[:len(frame)-9])}), nil); err == nil {
		t.Error("a cut body was taken")
	}
	long := fmt.Sprintf("*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$%d\r\n", maxBody+1)
	if _, err := readReply(sock.New(source{r: strings.NewReader(long)}), nil); !errors.Is(err, errFrame) {
		t.Errorf("a body too long: %v", err)
	}
}

// A new cache may have the address of one that has gone: it is another peer,
// with connections of its own, and the old id gets nothing more.
func TestAddressReused(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	dials := make(chan netip.AddrPort, 4)
	g := &decide.Guard{Ready: map[decide.ServerID]bool{1: true, 2: true, 8: true}}
	ends := make(chan core.End, 4)
	p := NewPool(ctx, Options{Clock: clock.NewManual(1.7e12), Conn: func() config.Conn { return config.Conn{Idle: 15000, Connect: 60_000, MaxStreams: 3} }, Links: func() int64 { return 0 },
		Guard: func() *decide.Guard { return g }, Stats: stats.New(), End: func(e core.End) { ends <- e },
		Dial: func(_ context.Context, to netip.AddrPort) (net.Conn, error) {
			dials <- to
			return nil, errors.New("refused")
		}})
	at := netip.MustParseAddrPort("127.0.0.9:5050")
	host := func(id int, phase decide.Phase) config.Host {
		return config.Host{Server: decide.Server{ID: decide.ServerID(id), Phase: phase}, Dial: at}
	}
	attempt := func(id int) *core.Attempt {
		return &core.Attempt{Req: &core.Request{Txn: fmt.Sprint(id)}, Class: &decide.Class{}, Until: 1.7e12 + 1000,
			Get: decide.Get{Server: decide.ServerID(id), Source: 8}}
	}
	p.List(config.Event{Fleet: true, Whole: true, Hosts: []config.Host{host(1, decide.Ready)}})
	old := p.peers[1]
	p.List(config.Event{Fleet: true, Hosts: []config.Host{host(1, decide.Gone), host(2, decide.Ready)}})
	if p.peers[1] != nil || p.peers[2] == nil || p.peers[2] == old {
		t.Fatalf("peers %v", p.peers)
	}
	if e := p.Send(attempt(1)); e == nil || e.Result != decide.NotSent {
		t.Errorf("an attempt to the one that has gone: %v", e)
	}
	if e := p.Send(attempt(2)); e != nil {
		t.Errorf("an attempt to the new one: %v", e.Result)
	}
	if to, e := <-dials, <-ends; to != at || e.Result != decide.Unreached {
		t.Errorf("dialled %v, ended as %v", to, e.Result)
	}
	<-old.done // it ends by itself: nothing is out
}

// What is open with a server lies on several connections, so that a spoilt
// answer on one takes little along. (The symptom: it took all.)
func TestSpoiltAnswerTakesLittleAlong(t *testing.T) {
	m := newModel(t)
	for i := range 6 {
		m.send(fmt.Sprint(i))
		m.dialed()
	}
	if len(m.p.links) < 2 {
		t.Fatal("all is on one connection")
	}
	m.p.event(t.Context(), event{link: m.p.links[0], err: errFrame})
	if n := len(m.ends); n == 0 || n > 2 {
		t.Errorf("%d of 6 attempts ended with one connection", n)
	}
	for _, e := range m.ends {
		if e[0] != decide.Broken {
			t.Errorf("ended as %v", e)
		}
	}
}

// halting is a connection that brings some bytes and then nothing more.
type halting struct {
	source
	until time.Time
}

func (h *halting) SetReadDeadline(t time.Time) error {
	h.until = t
	return nil
}

func (h *halting) Read(p []byte) (int, error) {
	if n, err := h.r.Read(p); err == nil {
		return n, nil
	}
	if h.until.IsZero() {
		return 0, errors.New("waits for ever")
	}
	return 0, os.ErrDeadlineExceeded
}

// An answer that has begun has a time to end; one that has not begun has none.
func TestAnswerThatStopsShort(t *testing.T) {
	whole := "*4\r\n$1\r\na\r\n$4\r\nLACK\r\n$1\r\n-\r\n$0\r\n\r\n"
	for _, c := range []struct {
		text string
		want string
	}{{whole, "waits for ever"}, {whole + whole[:20], os.ErrDeadlineExceeded.Error()}} {
		l := &link{k: sock.New(&halting{source: source{r: strings.NewReader(c.text)}})}
		if r, err := l.answer(0); err != nil || r.word != "LACK" {
			t.Fatalf("%+v, %v", r, err)
		}
		if _, err := l.answer(0); err == nil || err.Error() != c.want {
			t.Errorf("after %q: %v, want %s", c.text, err, c.want)
		}
	}
}

// Clients that leave soon after they asked say nothing of the server: its
// connections stay in use. (The symptom: all eight were set aside, each for one
// such client, and what came next was refused as if the server were full.)
func TestQuickCancelsKeepConnections(t *testing.T) {
	m := newModel(t)
	for i := range 40 {
		a := m.send(fmt.Sprintf("stay%d", i))
		b := m.send(fmt.Sprintf("leave%d", i))
		m.dialed()
		m.clk.Advance(20)
		m.cancel(b)
		if i > 4 {
			m.cancel(m.attempts[2*(i-5)])
		}
		for _, l := range m.p.links {
			if l.retired {
				t.Fatalf("a connection was set aside after %d", i)
			}
		}
		if len(m.ends[a]) > 0 {
			t.Fatalf("attempt %d ended as %v", i, m.ends[a])
		}
	}
}

// What is given up to be sent again, on a connection that has said nothing
// since, is given up by closing that: only then can no second copy be out. On
// one that has answered others the cancel does.
func TestResendClosesASilentConnection(t *testing.T) {
	for _, answered := range []bool{false, true} {
		m := newModel(t)
		a, b := m.send("a"), m.send("b")
		m.dialed()
		m.clk.Advance(100)
		if answered {
			m.p.event(t.Context(), event{link: m.p.links[0], reply: reply{id: "b", word: "LACK", fields: "-"}})
		}
		a.Again = true
		m.cancel(a)
		if m.wires[0].isClosed() == answered || len(m.ends[a]) != 1 || m.ends[a][0] != decide.Cancelled || len(m.ends[b]) != 1 {
			t.Errorf("answered %v: closed %v, ends %v and %v", answered, m.wires[0].isClosed(), m.ends[a], m.ends[b])
		}
	}
}
