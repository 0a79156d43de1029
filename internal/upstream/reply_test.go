package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"garnetline/internal/dispatch"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

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
