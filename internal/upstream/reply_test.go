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

// decodeReply reads a reply from text.
func decodeReply(text string, onBodyLength func(n int)) (reply, error) {
	return readReply(textconn.New(byteSource{reader: strings.NewReader(text)}), onBodyLength)
}

// FuzzReply checks that arbitrary bytes from a server yield a reply or an error. An accepted reply
// must be the same after it is encoded and read again.
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
		r, err := decodeReply(string(text), nil)
		if err != nil {
			return
		}
		again, err := decodeReply(encodeReply(r.id, r.status, r.fields, string(r.body)), nil)
		if err != nil || again.id != r.id || again.status != r.status || again.fields != r.fields || !bytes.Equal(r.body, again.body) {
			t.Errorf("got reply %+v, but %+v and error %v after it was encoded and read again", r, again, err)
		}
		completion, err := r.completion(&dispatch.Attempt{Request: &dispatch.Request{IfNoneMatch: "x"}})
		if err != nil {
			return
		}
		namesClientTag := strings.Count(","+r.fields, ",tag=") == 1 && strings.Contains(","+r.fields+",", ",tag=x,")
		if (completion.Result == routing.Served) != (r.status == "DONE" || r.status == "KEEP" && namesClientTag) {
			t.Errorf("status %s with fields %q has result %v", r.status, r.fields, completion.Result)
		}
		if (completion.Response.Kind == dispatch.NotModified) != (r.status == "KEEP" && namesClientTag) {
			t.Errorf("status %s with fields %q has response kind %v", r.status, r.fields, completion.Response.Kind)
		}
	})
}

// TestReplyBodies checks that a body is returned unchanged. A truncated body is an error, and so is
// a body above maxBodyBytes.
func TestReplyBodies(t *testing.T) {
	body := strings.Repeat("\r\n$x\x00", 40_000)
	text := fmt.Sprintf("*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$15\r\ntag=t1,minted=5\r\n$%d\r\n%s\r\n", len(body), body)
	r, err := decodeReply(text, nil)
	if err != nil || string(r.body) != body {
		t.Errorf("got a body of %d bytes and error %v, want the body as sent", len(r.body), err)
	}
	if _, err := decodeReply(text[:len(text)-9], nil); err == nil {
		t.Error("got no error for a truncated body")
	}
	long := fmt.Sprintf("*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$%d\r\n", maxBodyBytes+1)
	if _, err := decodeReply(long, nil); !errors.Is(err, errMalformedReply) {
		t.Errorf("got error %v for a body above the limit, want errMalformedReply", err)
	}
}

// TestCacheStatus checks that the completion contains the cache status and the fill wait of a
// reply. Invalid values and repeated fields count as unknown. They do not make the reply invalid.
func TestCacheStatus(t *testing.T) {
	for fields, want := range map[string]dispatch.Completion{
		"n=cached":              {CacheStatus: routing.Hit},
		"n=fetched,lag=41.5":    {CacheStatus: routing.Filled, FillWait: 41.5},
		"n=fetched_root,lag=0":  {CacheStatus: routing.FilledByOrigin},
		"n=merged":              {CacheStatus: routing.JoinedFill},
		"n=past_fresh":          {CacheStatus: routing.StaleHit},
		"n=up_refused":          {CacheStatus: routing.SourceRejected},
		"n=up_lost,tag=t":       {CacheStatus: routing.SourceUnreachable},
		"n=up_empty":            {CacheStatus: routing.SourceMiss},
		"n=fills_full":          {CacheStatus: routing.FillRejected},
		"n=root_failed":         {CacheStatus: routing.OriginFailed},
		"-":                     {},
		"n=":                    {},
		"n=stolen":              {},
		"n=cached,n=cached":     {},
		"n=cached,lag=x":        {CacheStatus: routing.Hit},
		"lag=-1":                {},
		"lag=NaN":               {},
		"lag=Inf":               {},
		"lag=1e9":               {},
		"lag=5,lag=6,n=cached":  {CacheStatus: routing.Hit},
		"unknown=1,n=merged,x=": {CacheStatus: routing.JoinedFill},
	} {
		attempt := &dispatch.Attempt{Request: &dispatch.Request{}}
		got, err := reply{status: "DONE", fields: fields}.completion(attempt)
		if err != nil || got.CacheStatus != want.CacheStatus || got.FillWait != want.FillWait || got.Result != routing.Served {
			t.Errorf("fields %s: got cache status %v, fill wait %v, error %v; want the values of the test case and result Served", fields, got.CacheStatus, got.FillWait, err)
		}
	}
}

// TestBodyLengthIsReported checks that readReply reports the length of a body before it reads the
// body. The time limit of the reply depends on the length.
func TestBodyLengthIsReported(t *testing.T) {
	var reported []int
	text := "*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$5\r\nbytes\r\n"
	_, err := decodeReply(text, func(n int) { reported = append(reported, n) })
	if err != nil || len(reported) != 1 || reported[0] != 5 {
		t.Errorf("got body lengths %v and error %v, want [5]", reported, err)
	}
}
