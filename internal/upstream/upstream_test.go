package upstream

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/seeds"
	"garnetline/internal/trace"
	"garnetline/routing"
)

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

// Guards against an attempt that is written though it may not be any more: it waited in the
// mailbox, or for a connection, when its client left or the window of its key ended.
func TestAttemptRejectedBeforeWrite(t *testing.T) {
	for name, change := range map[string]func(m *harness, a *dispatch.Attempt){
		"client gone":   func(_ *harness, a *dispatch.Attempt) { disconnectClient(t, a) },
		"window ended":  func(m *harness, a *dispatch.Attempt) { a.SendDeadline = m.clock.Now() + 30; m.clock.Advance(30) },
		"its time over": func(m *harness, _ *dispatch.Attempt) { m.clock.Advance(2000) },
	} {
		m := newHarness(t)
		a := m.send("a") // it waits for a dial
		change(m, a)
		m.finishDial()
		b := m.send("b") // in the mailbox, with a connection there
		change(m, b)
		m.upstream.sendQueued(t.Context())
		if got := m.completions[a]; len(got) != 1 || got[0] != routing.NotSent && got[0] != routing.TimedOut || strings.Contains(m.conns[0].written.String(), "$1\r\na\r\n") {
			t.Errorf("%s: ended as %v after %q", name, got, m.conns[0].written.String())
		}
	}
}
