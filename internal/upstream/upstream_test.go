package upstream

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/fuzzutil"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// FuzzUpstream checks the states of a server's connections: each attempt completes once, none
// is written to a closed connection, nothing canceled is left without a completion, and no id
// is in flight on a connection twice.
func FuzzUpstream(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 32, 300)
	f.Fuzz(func(t *testing.T, steps []byte) {
		actor := newHarness(t)
		for i := 0; i+1 < len(steps) && i < 2000; i += 2 {
			actor.runStep(steps[i]%9, int(steps[i+1]))
			actor.check()
		}
		actor.refuseDials = false
		actor.finishDial()
		for _, attempt := range actor.attempts {
			actor.cancel(attempt)
		}
		actor.check()
		for i, attempt := range actor.attempts {
			if got := actor.completions[attempt]; len(got) != 1 {
				t.Errorf("attempt %d completed as %v", i, got)
			}
		}
	})
}

// runStep does one random step; choice picks among its variants.
func (h *harness) runStep(operation byte, choice int) {
	h.t.Helper()
	switch operation {
	case 0, 1, 2:
		if len(h.upstream.queued) < 64 {
			h.send(fmt.Sprintf("%016x", choice%8))
		}
	case 3:
		h.refuseDials = choice%3 == 0
		h.finishDial()
	case 4:
		if len(h.attempts) > 0 {
			h.cancel(h.attempts[choice%len(h.attempts)])
		}
	case 5, 6:
		if conn := h.anyConnection(choice); conn != nil {
			h.replyAtRandom(conn, choice)
		}
	case 7:
		if conn := h.anyConnection(choice); conn != nil {
			h.breakAtRandom(conn, choice)
		}
	case 8:
		h.clock.Advance(float64(choice * 100))
		h.upstream.closeIdle()
	}
}

// anyConnection is an open connection, or nil if there is none.
func (h *harness) anyConnection(choice int) *connection {
	if len(h.upstream.connections) == 0 {
		return nil
	}
	return h.upstream.connections[choice%len(h.upstream.connections)]
}

func (h *harness) replyAtRandom(conn *connection, choice int) {
	h.t.Helper()
	id := fmt.Sprintf("%016x", choice/6%8)
	if conn.inFlight[id] != nil || conn.canceledIDs[id] {
		conn.text.NetConn.(*fakeConn).replies[id]++
	}
	status := []string{"DONE", "LACK", "WAIT", "BROKE", "KEEP", "??"}[choice%6]
	h.reply(conn, id, status)
}

func (h *harness) breakAtRandom(conn *connection, choice int) {
	h.t.Helper()
	if choice%2 == 0 {
		h.endConnection(conn, io.EOF)
	} else {
		conn.text.NetConn.(*fakeConn).failWrites = true
	}
}

// check compares what was written, what is open and what is completed.
func (h *harness) check() {
	h.t.Helper()
	h.checkCommands()
	h.checkConnections()
	for attempt, results := range h.completions {
		if len(results) > 1 {
			h.t.Fatalf("%s completed as %v", attempt.Request.TransactionID, results)
		}
	}
}

// checkCommands checks that commands are complete, and that an id is only used again on a
// connection when its reply has come.
func (h *harness) checkCommands() {
	h.t.Helper()
	for _, conn := range h.conns {
		served := map[string]int{}
		for _, command := range commands(h.t, conn.written.Bytes()) {
			id := command[1]
			if command[0] == "serve" {
				served[id]++
			}
			if served[id] > 1+conn.replies[id] {
				h.t.Fatalf("%s was written again where a late reply may be taken for its own", id)
			}
		}
	}
}

// checkConnections checks what is in flight on each connection, and that each is counted and
// closed as it should be.
func (h *harness) checkConnections() {
	h.t.Helper()
	open := map[*fakeConn]bool{}
	for _, conn := range h.upstream.connections {
		open[conn.text.NetConn.(*fakeConn)] = true
		if len(conn.inFlight) > harnessMaxStreams {
			h.t.Fatalf("%d requests on a connection for %d", len(conn.inFlight), harnessMaxStreams)
		}
		for id, sent := range conn.inFlight {
			if len(h.completions[sent.attempt]) > 0 {
				h.t.Fatalf("%s is in flight but completed", id)
			}
		}
	}
	want := int64(len(h.upstream.connections))
	if h.upstream.dialing {
		want++
	}
	if got := h.upstream.openConnections.Load(); got != want || got > harnessMaxConnections {
		h.t.Fatalf("%d connections are counted, want %d and at most %d", got, want, harnessMaxConnections)
	}
	for i, conn := range h.conns {
		if !open[conn] && !conn.isClosed() {
			h.t.Fatalf("connection %d was dropped without being closed", i)
		}
	}
}

// An attempt that was queued when its cache, or its fill source, was listed as draining must
// not be written late.
func TestQueuedAttemptChecksEndpointList(t *testing.T) {
	for _, excluded := range []routing.ServerID{1, 8} {
		actor := newHarness(t)
		attempt := actor.send("a")
		actor.guard = &routing.Guard{Ready: map[routing.ServerID]bool{9 - excluded: true}}
		actor.finishDial()
		written := actor.conns[0].written.String()
		if got := actor.completions[attempt]; len(got) != 1 || got[0] != routing.NotSent || written != "" {
			t.Errorf("%d drains: completed as %v after %q", excluded, got, written)
		}
	}
}

// A purge that is received while an attempt is queued bounds the age of the copy.
func TestQueuedAttemptChecksPurges(t *testing.T) {
	actor := newHarness(t)
	actor.send("a")
	actor.clock.Advance(40)
	guard := *actor.guard
	guard.Purges = []routing.PurgeRecord{{Group: 3, At: clock.Duration(actor.clock.Now() - 25.5)}}
	actor.guard = &guard
	actor.finishDial()
	if got := actor.conns[0].written.String(); !strings.Contains(got, ",fresh=25\r\n") {
		t.Errorf("wrote %q, want fresh=25", got)
	}
}

// Where servers take no part in traces a command is the same to the byte, traced or not,
// whatever traces are retained; where they do it has the attempt's context, and each retained
// trace once, so many at a time.
func TestTraceFieldsOnlyWhenPropagated(t *testing.T) {
	plain := "sort=part,asset=0000000000000007,slice=0,patience=2000,op=k,via=s-00000008,tier=2,opts=join"
	for _, traced := range []bool{false, true} {
		for _, fields := range tracedFields(t, traced, false) {
			if fields != plain {
				t.Errorf("%q, want %q", fields, plain)
			}
		}
	}
	got := tracedFields(t, true, true)
	context := plain + ",trace=00-05000000000000000000000000000000-0000000000000006-01"
	slices.SortFunc(got, func(a, b string) int { return len(b) - len(a) })
	if len(got) != 3 || !strings.HasPrefix(got[0], context+",kept=0100") || strings.Count(got[0], "+") != retainedTracesPerCommand-1 ||
		!strings.HasPrefix(got[1], context+",kept=0500") || strings.Contains(got[1], "+") || got[2] != context {
		t.Errorf("%q", got)
	}
}

// tracedFields are the fields of three commands that are written, traced or not, while there
// are more retained traces than one command takes.
func tracedFields(t *testing.T, traced, propagate bool) []string {
	t.Helper()
	actor := newHarness(t)
	actor.upstream.PropagateTraces = propagate
	pool := &Pool{Options: actor.upstream.Options, upstreams: map[routing.ServerID]*Upstream{1: actor.upstream}}
	for i := range retainedTracesPerCommand + 1 {
		pool.TraceRetained(1, trace.ID{byte(i + 1)})
	}
	pool.TraceRetained(2, trace.ID{9}) // not a server of the pool
	for _, id := range []string{"a", "b", "c"} {
		attempt := actor.attempt(id)
		attempt.Request.IdempotencyKey = "k"
		attempt.Decision.CopyRank = 2
		attempt.Decision.JoinFill = true
		if traced {
			attempt.Trace = &dispatch.AttemptTrace{Context: trace.SpanContext{Trace: trace.ID{5}, Span: 6, Sampled: true}}
		}
		actor.sendAttempt(attempt)
		actor.finishDial()
	}
	var out []string
	for _, conn := range actor.conns {
		for _, command := range commands(t, conn.written.Bytes()) {
			out = append(out, command[2])
		}
	}
	return out
}

// Guards against an attempt that is written though it must not be any more: it waited in the
// mailbox, or for a connection, when its client disconnected or the window of its key closed.
func TestAttemptRejectedBeforeWrite(t *testing.T) {
	for _, test := range []struct {
		want   *rejection
		change func(actor *harness, attempt *dispatch.Attempt)
	}{
		{rejectedExcluded, func(actor *harness, _ *dispatch.Attempt) { actor.guard = &routing.Guard{} }},
		{rejectedClientDisconnected, func(_ *harness, attempt *dispatch.Attempt) { disconnectClient(t, attempt) }},
		{rejectedSendWindowClosed, func(actor *harness, attempt *dispatch.Attempt) {
			attempt.SendDeadline = actor.clock.Now() + 30
			actor.clock.Advance(30)
		}},
		{rejectedExpired, func(actor *harness, _ *dispatch.Attempt) { actor.clock.Advance(harnessTimeout) }},
	} {
		t.Run(test.want.reason, func(t *testing.T) {
			actor := newHarness(t)
			first := actor.send("a") // it waits for a dial
			test.change(actor, first)
			if got := actor.upstream.rejectBeforeWrite(first); got != test.want {
				t.Errorf("rejected as %+v", got)
			}
			actor.finishDial()
			second := actor.send("b") // its message is handled when a connection is there
			test.change(actor, second)
			actor.upstream.sendQueued(t.Context())
			if got := actor.completions[first]; len(got) != 1 || got[0] != test.want.result || actor.conns[0].wrote("a") {
				t.Errorf("completed as %v after %q", got, actor.conns[0].written.String())
			}
		})
	}
}
