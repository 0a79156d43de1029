package upstream

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

// What one answer may bring: a RESP array of four bulk strings.
const (
	maxFieldBytes = 4 << 10  // id, word or fields
	maxBodyBytes  = 240_000  // the largest object
	maxLengthLine = 32       // a length line
	maxFillWait   = 600_000  // ms; a longer wait for a source is none
	maxReadAhead  = 4 * 1024 // what textproto's reader may hold beyond it
	maxReplyBytes = maxBodyBytes + 3*maxFieldBytes + 5*maxLengthLine + maxReadAhead
)

var errMalformedReply = errors.New("not an answer")

// reply is one answer as it came.
type reply struct {
	id, status, fields string
	body               []byte
}

// readReply reads one answer. The body is the caller's; sized is told its length before.
func readReply(k *textconn.Conn, sized func(n int)) (reply, error) {
	k.LimitRead(maxReplyBytes)
	var r reply
	n, err := readLength(k, '*', 4)
	if err != nil {
		return r, err
	}
	if n != 4 {
		return r, fmt.Errorf("%w: array of %d", errMalformedReply, n)
	}
	for i := range 3 {
		b, err := readBulk(k, maxFieldBytes, nil)
		if err != nil {
			return r, err
		}
		*[]*string{&r.id, &r.status, &r.fields}[i] = string(b)
	}
	b, err := readBulk(k, maxBodyBytes, sized)
	if len(b) > 0 {
		r.body = append([]byte(nil), b...)
	}
	k.ShrinkReadBuffer()
	return r, err
}

// readLength reads a line of a RESP type and its length.
func readLength(k *textconn.Conn, kind byte, most int) (int, error) {
	line, err := k.ReadLineSlice()
	if err != nil {
		return 0, err
	}
	if len(line) < 2 || len(line) > maxLengthLine || line[0] != kind {
		return 0, fmt.Errorf("%w: want a line of %q", errMalformedReply, kind)
	}
	n, err := strconv.ParseUint(string(line[1:]), 10, 32)
	if err != nil || n > uint64(most) {
		return 0, fmt.Errorf("%w: length out of range", errMalformedReply)
	}
	return int(n), nil
}

// readBulk reads a bulk string into the connection's buffer.
func readBulk(k *textconn.Conn, most int, sized func(n int)) ([]byte, error) {
	n, err := readLength(k, '$', most)
	if err != nil {
		return nil, err
	}
	if sized != nil {
		sized(n)
	}
	b, err := k.ReadBody(n + 2)
	if err != nil {
		return nil, err
	}
	if b[n] != '\r' || b[n+1] != '\n' {
		return nil, fmt.Errorf("%w: bulk string of another length", errMalformedReply)
	}
	return b[:n], nil
}

// resultsByStatus are the words of an answer.
var resultsByStatus = map[string]routing.Result{"DONE": routing.Served, "KEEP": routing.Served, "LACK": routing.NotCached,
	"WAIT": routing.Rejected, "BROKE": routing.ServerError, "PAST": routing.NotSent}

// completion turns an answer to an attempt into its end.
func (r reply) completion(a *dispatch.Attempt) (dispatch.Completion, error) {
	e := dispatch.Completion{Attempt: a, Load: dispatch.UnknownLoad()}
	var ok bool
	notes, lags, tags := 0, 0, 0
	if e.Result, ok = resultsByStatus[r.status]; !ok {
		return e, fmt.Errorf("%w: word %.20q", errMalformedReply, r.status)
	}
	if r.fields != "-" && r.fields != "" {
		for f := range strings.SplitSeq(r.fields, ",") {
			name, value, ok := strings.Cut(f, "=")
			switch {
			case !ok:
				return e, fmt.Errorf("%w: field %.20q", errMalformedReply, f)
			case name == "tag":
				if !dispatch.ValidFieldValue(value) {
					return e, fmt.Errorf("%w: tag", errMalformedReply)
				}
				e.Response.ETag = value
				tags++
			case name == "l":
				parseLoad(&e.Load, value)
			case name == "n":
				e.Note = parseCacheStatus(value)
				notes++
			case name == "lag":
				e.FillWait = parseFillWait(value)
				lags++
			}
		}
	}
	if notes > 1 { // which of them holds is not told
		e.Note = routing.CacheStatusUnknown
	}
	if lags > 1 {
		e.FillWait = 0
	}
	switch {
	case r.status == "DONE":
		e.Response.Kind, e.Response.Body = dispatch.Served, r.body
	case r.status == "KEEP" && (a.Request.IfNoneMatch == "" || tags != 1 || e.Response.ETag != a.Request.IfNoneMatch):
		// Symptom guarded against: a cache that named another copy, or none, had the client
		// told by a 304 that its own is current.
		e.Result = routing.ServerError
	case r.status == "KEEP":
		e.Response.Kind = dispatch.NotModified
	}
	e.Response.Server = a.Decision.Server
	return e, nil
}

// cacheStatusNames are the words that stand in n, in the module's order.
var cacheStatusNames = []string{"", "cached", "fetched", "fetched_root", "merged", "past_fresh", "up_refused", "up_lost", "up_empty",
	"fills_full", "root_failed"}

// parseCacheStatus reads a note. One that is not known counts as not told.
func parseCacheStatus(s string) routing.CacheStatus {
	return routing.CacheStatus(max(slices.Index(cacheStatusNames, s), 0))
}

// parseFillWait reads the time for the source, in milliseconds. What is no time counts as not told.
func parseFillWait(s string) float64 {
	if x, err := strconv.ParseFloat(s, 64); err == nil && x >= 0 && x < maxFillWait {
		return x
	}
	return 0
}

// parseLoad reads a load report. What cannot be read is left out: it is advice.
func parseLoad(l *routing.LoadReport, s string) {
	for f := range strings.SplitSeq(s, ";") {
		name, value, _ := strings.Cut(f, ":")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x < 1e9) {
			continue
		}
		switch name {
		case "inflight", "active":
			l.Inflight = x
		case "util", "cpu":
			l.CPUUtilization = x
		case "x0":
			l.HitRatio = x
		case "x1":
			l.LinkUtilization = x
		}
	}
}

// appendServeCommand appends the command of an attempt, written at now, with more fields.
func appendServeCommand(dst []byte, a *dispatch.Attempt, age float64, now float64, more string) []byte {
	r := a.Request
	f := make([]byte, 0, 256)
	f = fmt.Appendf(f, "sort=%s,asset=%016x,slice=%d,patience=%d", a.Class.Name, uint64(r.Object), r.Chunk,
		max(1, int64(a.ExpiresAt-now)))
	if r.IdempotencyKey != "" {
		f = fmt.Appendf(f, ",op=%s", r.IdempotencyKey)
	}
	if a.Decision.FillSource != a.Decision.Server {
		f = fmt.Appendf(f, ",via=%v", a.Decision.FillSource)
	}
	if a.Decision.CopyRank > 0 {
		f = fmt.Appendf(f, ",tier=%d", a.Decision.CopyRank)
	}
	if age > 0 {
		f = fmt.Appendf(f, ",fresh=%d", max(1, int64(age)))
	}
	words := make([]string, 0, 3)
	if a.Decision.JoinFill {
		words = append(words, "join")
	}
	if a.Decision.OnlyIfCached {
		words = append(words, "held")
	}
	if a.Decision.Revalidate {
		words = append(words, "renew")
	}
	if len(words) > 0 {
		f = fmt.Appendf(f, ",opts=%s", strings.Join(words, "+"))
	}
	if r.IfNoneMatch != "" {
		f = fmt.Appendf(f, ",known=%s", r.IfNoneMatch)
	}
	f = append(f, more...)
	dst = append(dst, "*4\r\n"...)
	dst = appendBulk(dst, "serve")
	dst = appendBulk(dst, r.TransactionID)
	dst = appendBulk(dst, string(f))
	return appendBulk(dst, string(r.Body))
}

func appendCancelCommand(dst []byte, txn string) []byte {
	return appendBulk(appendBulk(append(dst, "*2\r\n"...), "cancel"), txn)
}

func appendBulk(dst []byte, s string) []byte {
	return append(append(fmt.Appendf(dst, "$%d\r\n", len(s)), s...), "\r\n"...)
}

// ReadLoadReport reads the answer to a probe that was sent as gauges under a tag, within so
// many ms. What the report leaves out is NaN.
func ReadLoadReport(k *textconn.Conn, tag string, most int, within float64) (routing.LoadReport, error) {
	l := dispatch.UnknownLoad()
	if err := k.NetConn.SetReadDeadline(time.Now().Add(clock.Duration(within))); err != nil {
		return l, err
	}
	r, err := readReply(k, nil)
	if err != nil {
		return l, err
	}
	if r.id != tag || r.status != "FIT" && r.status != "UNFIT" || len(r.body) > most {
		return l, fmt.Errorf("%w to a probe", errMalformedReply)
	}
	for f := range strings.SplitSeq(r.fields, ",") {
		if value, ok := strings.CutPrefix(f, "l="); ok {
			parseLoad(&l, value)
		}
	}
	return l, nil
}
