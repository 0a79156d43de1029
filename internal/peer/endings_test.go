package peer

import (
	"strings"
	"testing"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/core"
	"garnetline/internal/sock"
	"garnetline/internal/stats"
)

// leave says that the client of an attempt's request has gone, as its front does.
func leave(t *testing.T, a *core.Attempt) {
	t.Helper()
	c, err := core.New(clock.NewManual(0), decide.Settings{Zones: 1, Kinds: 1, ParentKind: -1, OriginKind: -1, MaxAttempts: 1,
		Classes: []decide.Class{{Deadline: 1}}}, 1, stats.New())
	if err != nil {
		t.Fatal(err)
	}
	c.Leave(a.Req)
}

// Guards against an attempt that is written though it may not be any more: it waited in the
// mailbox, or for a connection, when its client left or the window of its key ended.
func TestNotWrittenAnyMore(t *testing.T) {
	for name, change := range map[string]func(m *model, a *core.Attempt){
		"client gone":   func(_ *model, a *core.Attempt) { leave(t, a) },
		"window ended":  func(m *model, a *core.Attempt) { a.SendBy = m.clk.Now() + 30; m.clk.Advance(30) },
		"its time over": func(m *model, _ *core.Attempt) { m.clk.Advance(2000) },
	} {
		m := newModel(t)
		a := m.send("a") // it waits for a dial
		change(m, a)
		m.dialed()
		b := m.send("b") // in the mailbox, with a connection there
		change(m, b)
		m.p.work(t.Context())
		if got := m.ends[a]; len(got) != 1 || got[0] != decide.NotSent && got[0] != decide.TimedOut || strings.Contains(m.wires[0].wrote.String(), "$1\r\na\r\n") {
			t.Errorf("%s: ended as %v after %q", name, got, m.wires[0].wrote.String())
		}
	}
}

// Guards against a refusal that comes twice: the second one is not taken for the end of the
// attempt that followed, while that runs on and another one is sent.
func TestSecondAnswer(t *testing.T) {
	for effect, want := range map[decide.Effect]decide.Result{decide.Safe: decide.Full, decide.Keyed: decide.Errored, decide.Unsafe: decide.Errored} {
		m := newModel(t)
		say := func() {
			m.p.event(t.Context(), event{link: m.p.links[0], reply: reply{id: "a", word: "WAIT", fields: "-"}})
		}
		m.send("a")
		m.dialed()
		say()
		m.clk.Advance(5)
		again := m.send("a")
		again.Class = &decide.Class{Effect: effect}
		say()
		if got := m.ends[again]; len(got) != 1 || got[0] != want {
			t.Errorf("effect %v: ended as %v, want %v", effect, got, want)
		}
		if got := m.wires[0].wrote.String(); !strings.HasSuffix(got, string(appendCancel(nil, "a"))) {
			t.Errorf("effect %v: it was not given up: %q", effect, got)
		}
		m.send("a")
		m.dialed()
		if len(m.wires) != 2 || !strings.Contains(m.wires[1].wrote.String(), "$1\r\na\r\n") {
			t.Errorf("effect %v: the third was sent where a crossing answer may come", effect)
		}
	}
	// Long after, it is an answer like any other.
	m := newModel(t)
	for range 2 {
		m.send("a")
		m.dialed()
		m.p.event(t.Context(), event{link: m.p.links[0], reply: reply{id: "a", word: "WAIT", fields: "-"}})
		m.clk.Advance(twiceFor)
	}
	if strings.Contains(m.wires[0].wrote.String(), "cancel") {
		t.Error("a second refusal was doubted for no reason")
	}
	if m.p.sweep(); len(m.p.links[0].past) > 0 {
		t.Error("what was answered is kept for ever")
	}
}

// The note and the wait of an answer reach the module; what cannot be read, or stands twice,
// counts as not told, and the answer stands.
func TestNotes(t *testing.T) {
	for fields, want := range map[string]core.End{
		"n=cached":              {Note: decide.Hit},
		"n=fetched,lag=41.5":    {Note: decide.Filled, Waited: 41.5},
		"n=fetched_root,lag=0":  {Note: decide.FilledByOrigin},
		"n=merged":              {Note: decide.Joined},
		"n=past_fresh":          {Note: decide.StaleHit},
		"n=up_refused":          {Note: decide.SourceRefused},
		"n=up_lost,tag=t":       {Note: decide.SourceUnreached},
		"n=up_empty":            {Note: decide.SourceLacks},
		"n=fills_full":          {Note: decide.NoFillPlace},
		"n=root_failed":         {Note: decide.OriginFailed},
		"-":                     {},
		"n=":                    {},
		"n=stolen":              {},
		"n=cached,n=cached":     {},
		"n=cached,lag=x":        {Note: decide.Hit},
		"lag=-1":                {},
		"lag=NaN":               {},
		"lag=Inf":               {},
		"lag=1e9":               {},
		"lag=5,lag=6,n=cached":  {Note: decide.Hit},
		"unknown=1,n=merged,x=": {Note: decide.Joined},
	} {
		a := &core.Attempt{Req: &core.Request{}}
		got, err := reply{word: "DONE", fields: fields}.end(a)
		if err != nil || got.Note != want.Note || got.Waited != want.Waited || got.Result != decide.Served {
			t.Errorf("%s: note %v, waited %v, %v", fields, got.Note, got.Waited, err)
		}
	}
}

// An answer's reader is told how long its body is before it comes: its time counts by that.
func TestBodyIsSized(t *testing.T) {
	var told []int
	frame := "*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$5\r\nbytes\r\n"
	if _, err := readReply(sock.New(source{r: strings.NewReader(frame)}), func(n int) { told = append(told, n) }); err != nil || len(told) != 1 || told[0] != 5 {
		t.Errorf("told %v, %v", told, err)
	}
}
