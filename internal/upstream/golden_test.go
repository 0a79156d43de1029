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

// The files in testdata hold the commands and replies that the router and the caches exchange; see
// package golden.

// goldenAttempts returns attempts whose commands cover each command field, each option of the field
// "opts" and each boundary value.
func goldenAttempts() []*dispatch.Attempt {
	const now = 1.7e12
	readClass := &routing.Class{Name: "video-part"}
	writeClass := &routing.Class{Name: "submit", Write: true, Idempotency: routing.NonIdempotent}
	attempt := func(id string, class *routing.Class, decision routing.SendAttempt) *dispatch.Attempt {
		return &dispatch.Attempt{
			Request:   &dispatch.Request{TransactionID: id, Object: 0x7f3a9c21e0b4d655, Chunk: 3, PurgeGroup: 17},
			Class:     class,
			Decision:  decision,
			ExpiresAt: now + 1480.6,
		}
	}
	plain := attempt("9b1f03aa5c7e2d41", readClass, routing.SendAttempt{Server: 0xc41f7a, FillSource: 0xc41f7a})
	filled := attempt("9b1f03aa5c7e2d42", readClass, routing.SendAttempt{Server: 0xc41f7a, FillSource: 8, CopyRank: 3, JoinFill: true})
	onlyCached := attempt("9b1f03aa5c7e2d43", readClass, routing.SendAttempt{Server: 0xc41f7a, FillSource: 0xffffffff, OnlyIfCached: true, Revalidate: true})
	allFields := attempt("9b1f03aa5c7e2d44", readClass, routing.SendAttempt{Server: 1, FillSource: 2, CopyRank: 1, JoinFill: true, OnlyIfCached: true, Revalidate: true})
	allFields.Request.IfNoneMatch = "4be0c1927d55a6f3"
	allFields.Request.IdempotencyKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	written := attempt("9b1f03aa5c7e2d45", writeClass, routing.SendAttempt{Server: 9, FillSource: 9})
	written.Request.Body = []byte("$4\r\nbody\x00\xff")
	written.Request.Object, written.Request.Chunk = 1, 0
	expired := attempt("9b1f03aa5c7e2d46", readClass, routing.SendAttempt{Server: 9, FillSource: 9})
	expired.ExpiresAt = now - 5
	return []*dispatch.Attempt{plain, filled, onlyCached, allFields, written, expired}
}

func TestGoldenCommands(t *testing.T) {
	var out []byte
	for i, attempt := range goldenAttempts() {
		maxAge := []float64{0, 0.4, 7999.9}[i%3]
		out = appendServeHead(out, attempt, maxAge, 1.7e12, "")
		out = append(append(out, attempt.Request.Body...), bulkEnd...)
	}
	harness := newHarness(t)
	harness.upstream.PropagateTraces = true
	harness.upstream.retainedTraces <- trace.ID{1}
	harness.upstream.retainedTraces <- trace.ID{2}
	traced := goldenAttempts()[1]
	traced.Trace = &dispatch.AttemptTrace{Context: trace.SpanContext{Trace: trace.ID{5}, Span: 6, Sampled: true}}
	out = appendServeHead(out, traced, 20, 1.7e12, harness.upstream.traceFields(traced))
	out = append(append(out, traced.Request.Body...), bulkEnd...)
	out = appendCancelCommand(out, "9b1f03aa5c7e2d41")
	golden.Compare(t, "commands.resp", out)
	if got := parseCommands(t, out); len(got) != 8 || got[4][3] != "$4\r\nbody\x00\xff" || got[7][0] != "cancel" {
		t.Errorf("got commands %q after decoding", got)
	}
}

// goldenReplies returns encoded replies of each status. Some of them are malformed.
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

// TestGoldenReplies reads the golden replies twice: first in large reads, and then one byte at a
// time.
func TestGoldenReplies(t *testing.T) {
	stored := golden.Compare(t, "replies.resp", goldenReplies())
	for _, in := range []io.Reader{bytes.NewReader(stored), iotest.OneByteReader(bytes.NewReader(stored))} {
		conn := textconn.New(byteSource{reader: in})
		var out strings.Builder
		for {
			r, err := readReply(conn, nil)
			if err != nil {
				fmt.Fprintf(&out, "%v\n", err)
				break
			}
			attempt := &dispatch.Attempt{Request: &dispatch.Request{IfNoneMatch: "offered"}, Decision: routing.SendAttempt{Server: 7}}
			completion, err := r.completion(attempt)
			if err != nil {
				fmt.Fprintf(&out, "%s %v\n", r.id, err)
				continue
			}
			fmt.Fprintf(&out, "%s result=%d kind=%d server=%d tag=%q body=%q note=%d waited=%g load=%g,%g,%g,%g\n", r.id, int(completion.Result), int(completion.Response.Kind),
				uint32(completion.Response.Server), completion.Response.ETag, completion.Response.Body, int(completion.CacheStatus), completion.FillWait, completion.Load.Inflight, completion.Load.CPUUtilization, completion.Load.HitRatio, completion.Load.LinkUtilization)
		}
		golden.Compare(t, "replies.golden", []byte(out.String()))
	}
}

// TestGoldenLoadReport checks the load reports and errors that ReadLoadReport returns for replies
// to a probe.
func TestGoldenLoadReport(t *testing.T) {
	var out strings.Builder
	for _, r := range [][3]string{{"p", "FIT", "l=util:0.5;inflight:2;x0:1;x1:0"}, {"p", "UNFIT", "-"}, {"q", "FIT", "-"}, {"p", "DONE", "-"}} {
		client, server := tcpPair(t)
		if _, err := server.Write([]byte(encodeReply(r[0], r[1], r[2], ""))); err != nil {
			t.Fatal(err)
		}
		load, err := ReadLoadReport(textconn.New(client), "p", 100, 5000)
		fmt.Fprintf(&out, "%s %s %s: load=%g,%g,%g,%g %v\n", r[0], r[1], r[2], load.Inflight, load.CPUUtilization, load.HitRatio, load.LinkUtilization, err)
	}
	golden.Compare(t, "gauges.golden", []byte(out.String()))
}
