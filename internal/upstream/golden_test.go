package upstream

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"garnetline/internal/dispatch"
	"garnetline/internal/golden"
	"garnetline/internal/textconn"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// The files in testdata hold what goes over the wire to caches and back, see package golden.

// goldenAttempts are one of each form of a command: each field, each word of opts and each bound.
func goldenAttempts() []*dispatch.Attempt {
	const now = 1.7e12
	part := &routing.Class{Name: "video-part"}
	write := &routing.Class{Name: "submit", Write: true, Idempotency: routing.NonIdempotent}
	attempt := func(id string, class *routing.Class, decision routing.SendAttempt) *dispatch.Attempt {
		return &dispatch.Attempt{
			Request:   &dispatch.Request{TransactionID: id, Object: 0x7f3a9c21e0b4d655, Chunk: 3, Group: 17},
			Class:     class,
			Decision:  decision,
			ExpiresAt: now + 1480.6,
		}
	}
	plain := attempt("9b1f03aa5c7e2d41", part, routing.SendAttempt{Server: 0xc41f7a, FillSource: 0xc41f7a})
	filled := attempt("9b1f03aa5c7e2d42", part, routing.SendAttempt{Server: 0xc41f7a, FillSource: 8, CopyRank: 3, JoinFill: true})
	held := attempt("9b1f03aa5c7e2d43", part, routing.SendAttempt{Server: 0xc41f7a, FillSource: 0xffffffff, OnlyIfCached: true, Revalidate: true})
	all := attempt("9b1f03aa5c7e2d44", part, routing.SendAttempt{Server: 1, FillSource: 2, CopyRank: 1, JoinFill: true, OnlyIfCached: true, Revalidate: true})
	all.Request.IfNoneMatch = "4be0c1927d55a6f3"
	all.Request.IdempotencyKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	written := attempt("9b1f03aa5c7e2d45", write, routing.SendAttempt{Server: 9, FillSource: 9})
	written.Request.Body = []byte("$4\r\nbody\x00\xff")
	written.Request.Object, written.Request.Chunk = 1, 0
	late := attempt("9b1f03aa5c7e2d46", part, routing.SendAttempt{Server: 9, FillSource: 9})
	late.ExpiresAt = now - 5
	return []*dispatch.Attempt{plain, filled, held, all, written, late}
}

func TestGoldenCommands(t *testing.T) {
	var out []byte
	for i, attempt := range goldenAttempts() {
		maxAge := []float64{0, 0.4, 7999.9}[i%3]
		out = appendServeCommand(out, attempt, maxAge, 1.7e12, "")
	}
	actor := newHarness(t)
	actor.upstream.PropagateTraces = true
	actor.upstream.retainedTraces <- trace.ID{1}
	actor.upstream.retainedTraces <- trace.ID{2}
	traced := goldenAttempts()[1]
	traced.Trace = &dispatch.AttemptTrace{Context: trace.SpanContext{Trace: trace.ID{5}, Span: 6, Sampled: true}}
	out = appendServeCommand(out, traced, 20, 1.7e12, actor.upstream.traceFields(traced))
	out = appendCancelCommand(out, "9b1f03aa5c7e2d41")
	golden.Compare(t, "commands.resp", out)
	if got := commands(t, out); len(got) != 8 || got[4][3] != "$4\r\nbody\x00\xff" || got[7][0] != "cancel" {
		t.Errorf("read back as %q", got)
	}
}

// goldenReplies are one of each form of an answer.
func goldenReplies() []byte {
	var out []byte
	for _, r := range [][4]string{
		{"a1", "DONE", "tag=4be0c1927d55a6f3,minted=1764576000123", "bytes\r\n*4\r\n\x00"},
		{"a2", "DONE", "-", ""},
		{"a3", "DONE", "n=merged,lag=41.5,l=inflight:7;util:0.61;x0:0.5;x1:0.25,tag=t", "b"},
		{"a4", "KEEP", "tag=offered,minted=5", ""},
		{"a5", "KEEP", "tag=other,minted=5", ""},
		{"a6", "LACK", "n=up_empty,lag=3", ""},
		{"a7", "WAIT", "l=active:3;cpu:0.9", ""},
		{"a8", "BROKE", "n=root_failed,n=cached,lag=1,lag=2", ""},
		{"a9", "PAST", "", ""},
		{"b1", "DONE", "unknown=1,l=inflight:x;util:-1;x1", "b"},
		{"b2", "OTHER", "-", ""},
		{"b3", "DONE", "tag=not plain", ""},
		{"b4", "DONE", "tag", ""},
		{"b5", "FIT", "l=util:0.5;inflight:2", ""},
	} {
		out = append(out, "*4\r\n"...)
		for _, s := range r {
			out = appendBulk(out, s)
		}
	}
	return out
}

// TestGoldenReplies reads each form of an answer, whole and a byte at a time.
func TestGoldenReplies(t *testing.T) {
	stored := golden.Compare(t, "replies.resp", goldenReplies())
	for _, in := range []io.Reader{bytes.NewReader(stored), iotest.OneByteReader(bytes.NewReader(stored))} {
		k := textconn.New(byteSource{reader: in})
		var out strings.Builder
		for {
			r, err := readReply(k, nil)
			if err != nil {
				fmt.Fprintf(&out, "%v\n", err)
				break
			}
			a := &dispatch.Attempt{Request: &dispatch.Request{IfNoneMatch: "offered"}, Decision: routing.SendAttempt{Server: 7}}
			e, err := r.completion(a)
			if err != nil {
				fmt.Fprintf(&out, "%s %v\n", r.id, err)
				continue
			}
			fmt.Fprintf(&out, "%s result=%d kind=%d server=%d tag=%q body=%q note=%d waited=%g load=%g,%g,%g,%g\n", r.id, int(e.Result), int(e.Response.Kind),
				uint32(e.Response.Server), e.Response.ETag, e.Response.Body, int(e.Note), e.FillWait, e.Load.Inflight, e.Load.CPUUtilization, e.Load.HitRatio, e.Load.LinkUtilization)
		}
		golden.Compare(t, "replies.golden", []byte(out.String()))
	}
}

// TestGoldenLoadReport reads the answer to a probe.
func TestGoldenLoadReport(t *testing.T) {
	var out strings.Builder
	for _, r := range [][3]string{{"p", "FIT", "l=util:0.5;inflight:2;x0:1;x1:0"}, {"p", "UNFIT", "-"}, {"q", "FIT", "-"}, {"p", "DONE", "-"}} {
		near, far := tcpPair(t)
		if _, err := far.Write([]byte(frame(r[0], r[1], r[2], ""))); err != nil {
			t.Fatal(err)
		}
		l, err := ReadLoadReport(textconn.New(near), "p", 100, 5000)
		fmt.Fprintf(&out, "%s %s %s: load=%g,%g,%g,%g %v\n", r[0], r[1], r[2], l.Inflight, l.CPUUtilization, l.HitRatio, l.LinkUtilization, err)
	}
	golden.Compare(t, "gauges.golden", []byte(out.String()))
}
