package upstream

import (
	"strings"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

// disconnectClient says that the client of an attempt's request has gone, as its front does.
func disconnectClient(t *testing.T, a *dispatch.Attempt) {
	t.Helper()
	c, err := dispatch.New(clock.NewManual(0), routing.Settings{Zones: 1, Kinds: 1, ParentKind: -1, OriginKind: -1, MaxAttempts: 1,
		Classes: []routing.Class{{Deadline: 1}}}, 1, metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	c.Disconnect(a.Request)
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

// Guards against a refusal that comes twice: the second one is not taken for the end of the
// attempt that followed, while that runs on and another one is sent.
func TestDuplicateReply(t *testing.T) {
	for effect, want := range map[routing.Idempotency]routing.Result{routing.Idempotent: routing.Rejected, routing.IdempotentWithKey: routing.ServerError, routing.NonIdempotent: routing.ServerError} {
		m := newHarness(t)
		say := func() {
			m.upstream.handleConnectionEvent(t.Context(), connectionEvent{connection: m.upstream.connections[0], reply: reply{id: "a", status: "WAIT", fields: "-"}})
		}
		m.send("a")
		m.finishDial()
		say()
		m.clock.Advance(5)
		again := m.send("a")
		again.Class = &routing.Class{Idempotency: effect}
		say()
		if got := m.completions[again]; len(got) != 1 || got[0] != want {
			t.Errorf("effect %v: ended as %v, want %v", effect, got, want)
		}
		if got := m.conns[0].written.String(); !strings.HasSuffix(got, string(appendCancelCommand(nil, "a"))) {
			t.Errorf("effect %v: it was not given up: %q", effect, got)
		}
		m.send("a")
		m.finishDial()
		if len(m.conns) != 2 || !strings.Contains(m.conns[1].written.String(), "$1\r\na\r\n") {
			t.Errorf("effect %v: the third was sent where a crossing answer may come", effect)
		}
	}
	// Long after, it is an answer like any other.
	m := newHarness(t)
	for range 2 {
		m.send("a")
		m.finishDial()
		m.upstream.handleConnectionEvent(t.Context(), connectionEvent{connection: m.upstream.connections[0], reply: reply{id: "a", status: "WAIT", fields: "-"}})
		m.clock.Advance(duplicateReplyWindow)
	}
	if strings.Contains(m.conns[0].written.String(), "cancel") {
		t.Error("a second refusal was doubted for no reason")
	}
	if m.upstream.closeIdle(); len(m.upstream.connections[0].unservedAt) > 0 {
		t.Error("what was answered is kept for ever")
	}
}

// The note and the wait of an answer reach the module; what cannot be read, or stands twice,
// counts as not told, and the answer stands.
func TestCacheStatus(t *testing.T) {
	for fields, want := range map[string]dispatch.Completion{
		"n=cached":              {Note: routing.Hit},
		"n=fetched,lag=41.5":    {Note: routing.Filled, FillWait: 41.5},
		"n=fetched_root,lag=0":  {Note: routing.FilledByOrigin},
		"n=merged":              {Note: routing.JoinedFill},
		"n=past_fresh":          {Note: routing.StaleHit},
		"n=up_refused":          {Note: routing.SourceRejected},
		"n=up_lost,tag=t":       {Note: routing.SourceUnreachable},
		"n=up_empty":            {Note: routing.SourceMiss},
		"n=fills_full":          {Note: routing.FillRejected},
		"n=root_failed":         {Note: routing.OriginFailed},
		"-":                     {},
		"n=":                    {},
		"n=stolen":              {},
		"n=cached,n=cached":     {},
		"n=cached,lag=x":        {Note: routing.Hit},
		"lag=-1":                {},
		"lag=NaN":               {},
		"lag=Inf":               {},
		"lag=1e9":               {},
		"lag=5,lag=6,n=cached":  {Note: routing.Hit},
		"unknown=1,n=merged,x=": {Note: routing.JoinedFill},
	} {
		a := &dispatch.Attempt{Request: &dispatch.Request{}}
		got, err := reply{status: "DONE", fields: fields}.completion(a)
		if err != nil || got.Note != want.Note || got.FillWait != want.FillWait || got.Result != routing.Served {
			t.Errorf("%s: note %v, waited %v, %v", fields, got.Note, got.FillWait, err)
		}
	}
}

// An answer's reader is told how long its body is before it comes: its time counts by that.
func TestBodyLengthIsReported(t *testing.T) {
	var told []int
	frame := "*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$5\r\nbytes\r\n"
	if _, err := readReply(textconn.New(byteSource{reader: strings.NewReader(frame)}), func(n int) { told = append(told, n) }); err != nil || len(told) != 1 || told[0] != 5 {
		t.Errorf("told %v, %v", told, err)
	}
}
