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

// readFrame reads a reply from bytes.
func readFrame(text string, onBodyLength func(n int)) (reply, error) {
	return readReply(textconn.New(byteSource{reader: strings.NewReader(text)}), onBodyLength)
}

// FuzzReply checks that whatever a server sends is a reply or an error, and that what is
// taken for a reply reads the same when it is written again.
func FuzzReply(f *testing.F) {
	for _, seed := range []string{
		"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$5\r\ntag=x\r\n$3\r\nabc\r\n",
		"*4\r\n$1\r\na\r\n$4\r\nKEEP\r\n$1\r\n-\r\n$0\r\n\r\n",
		"*4\r\n$1\r\na\r\n$4\r\nKEEP\r\n$5\r\ntag=x\r\n$0\r\n\r\n",
		"*4\r\n$1\r\na\r\n$4\r\nKEEP\r\n$5\r\ntag=y\r\n$0\r\n\r\n",
		"*4\r\n$1\r\na\r\n$4\r\nKEEP\r\n$11\r\ntag=y,tag=x\r\n$0\r\n\r\n",
		"*4\r\n$999999999\r\n",
		"*-1\r\n",
		"$4\r\nDONE\r\n",
		"*4\r\n$1\r\nabc",
		strings.Repeat("x", 9000),
		"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$7\r\nl=x1:+9\r\n$0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := readFrame(string(text), nil)
		if err != nil {
			return
		}
		again, err := readFrame(frame(r.id, r.status, r.fields, string(r.body)), nil)
		if err != nil || again.id != r.id || again.status != r.status || again.fields != r.fields || !bytes.Equal(r.body, again.body) {
			t.Errorf("%+v became %+v, %v", r, again, err)
		}
		completion, err := r.completion(&dispatch.Attempt{Request: &dispatch.Request{IfNoneMatch: "x"}})
		if err != nil {
			return
		}
		named := strings.Count(","+r.fields, ",tag=") == 1 && strings.Contains(","+r.fields+",", ",tag=x,")
		if (completion.Result == routing.Served) != (r.status == "DONE" || r.status == "KEEP" && named) {
			t.Errorf("%s with %q became %v", r.status, r.fields, completion.Result)
		}
		if (completion.Response.Kind == dispatch.NotModified) != (r.status == "KEEP" && named) {
			t.Errorf("%s with %q is answered as %v", r.status, r.fields, completion.Response.Kind)
		}
	})
}

// A body is passed on unchanged, and one that is longer than any object or cut short is none.
func TestReplyBodies(t *testing.T) {
	body := strings.Repeat("\r\n$x\x00", 40_000)
	text := fmt.Sprintf("*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$15\r\ntag=t1,minted=5\r\n$%d\r\n%s\r\n", len(body), body)
	r, err := readFrame(text, nil)
	if err != nil || string(r.body) != body {
		t.Errorf("%d bytes, %v", len(r.body), err)
	}
	if _, err := readFrame(text[:len(text)-9], nil); err == nil {
		t.Error("a cut body was taken")
	}
	long := fmt.Sprintf("*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$%d\r\n", maxBodyBytes+1)
	if _, err := readFrame(long, nil); !errors.Is(err, errMalformedReply) {
		t.Errorf("a body too long: %v", err)
	}
}

// The cache status and the fill wait of a reply reach routing; what cannot be read, or stands
// there twice, counts as not told, and the reply stands.
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
		attempt := &dispatch.Attempt{Request: &dispatch.Request{}}
		got, err := reply{status: "DONE", fields: fields}.completion(attempt)
		if err != nil || got.Note != want.Note || got.FillWait != want.FillWait || got.Result != routing.Served {
			t.Errorf("%s: cache status %v, fill wait %v, %v", fields, got.Note, got.FillWait, err)
		}
	}
}

// The length of a body is reported before it is read: its time counts by that.
func TestBodyLengthIsReported(t *testing.T) {
	var reported []int
	text := "*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$5\r\nbytes\r\n"
	_, err := readFrame(text, func(n int) { reported = append(reported, n) })
	if err != nil || len(reported) != 1 || reported[0] != 5 {
		t.Errorf("reported %v, %v", reported, err)
	}
}
