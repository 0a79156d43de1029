package peer

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/core"
	"garnetline/internal/sock"
)

// What one answer may bring: a RESP array of four bulk strings.
const (
	maxWord = 4 << 10  // id, word or fields
	maxBody = 240_000  // the largest object
	maxLine = 32       // a length line
	maxLag  = 600_000  // ms; a longer wait for a source is none
	maxMore = 4 * 1024 // what textproto's reader may hold beyond it
	maxAll  = maxBody + 3*maxWord + 5*maxLine + maxMore
)

var errFrame = errors.New("not an answer")

// reply is one answer as it came.
type reply struct {
	id, word, fields string
	body             []byte
}

// readReply reads one answer. The body is the caller's; sized is told its length before.
func readReply(k *sock.Conn, sized func(n int)) (reply, error) {
	k.Allow(maxAll)
	var r reply
	n, err := length(k, '*', 4)
	if err != nil {
		return r, err
	}
	if n != 4 {
		return r, fmt.Errorf("%w: array of %d", errFrame, n)
	}
	for i := range 3 {
		b, err := bulk(k, maxWord, nil)
		if err != nil {
			return r, err
		}
		*[]*string{&r.id, &r.word, &r.fields}[i] = string(b)
	}
	b, err := bulk(k, maxBody, sized)
	if len(b) > 0 {
		r.body = append([]byte(nil), b...)
	}
	k.RestIn()
	return r, err
}

// length reads a line of a RESP type and its length.
func length(k *sock.Conn, kind byte, most int) (int, error) {
	line, err := k.Line()
	if err != nil {
		return 0, err
	}
	if len(line) < 2 || len(line) > maxLine || line[0] != kind {
		return 0, fmt.Errorf("%w: want a line of %q", errFrame, kind)
	}
	n, err := strconv.ParseUint(string(line[1:]), 10, 32)
	if err != nil || n > uint64(most) {
		return 0, fmt.Errorf("%w: length out of range", errFrame)
	}
	return int(n), nil
}

// bulk reads a bulk string into the connection's buffer.
func bulk(k *sock.Conn, most int, sized func(n int)) ([]byte, error) {
	n, err := length(k, '$', most)
	if err != nil {
		return nil, err
	}
	if sized != nil {
		sized(n)
	}
	b, err := k.Body(n + 2)
	if err != nil {
		return nil, err
	}
	if b[n] != '\r' || b[n+1] != '\n' {
		return nil, fmt.Errorf("%w: bulk string of another length", errFrame)
	}
	return b[:n], nil
}

// results are the words of an answer.
var results = map[string]decide.Result{"DONE": decide.Served, "KEEP": decide.Served, "LACK": decide.Miss,
	"WAIT": decide.Full, "BROKE": decide.Errored, "PAST": decide.NotSent}

// end turns an answer to an attempt into its end.
func (r reply) end(a *core.Attempt) (core.End, error) {
	e := core.End{Attempt: a, Load: core.NoLoad()}
	var ok bool
	notes, lags, tags := 0, 0, 0
	if e.Result, ok = results[r.word]; !ok {
		return e, fmt.Errorf("%w: word %.20q", errFrame, r.word)
	}
	if r.fields != "-" && r.fields != "" {
		for f := range strings.SplitSeq(r.fields, ",") {
			name, value, ok := strings.Cut(f, "=")
			switch {
			case !ok:
				return e, fmt.Errorf("%w: field %.20q", errFrame, f)
			case name == "tag":
				if !core.Plain(value) {
					return e, fmt.Errorf("%w: tag", errFrame)
				}
				e.Answer.Tag = value
				tags++
			case name == "l":
				load(&e.Load, value)
			case name == "n":
				e.Note = note(value)
				notes++
			case name == "lag":
				e.Waited = waited(value)
				lags++
			}
		}
	}
	if notes > 1 { // which of them holds is not told
		e.Note = decide.NoNote
	}
	if lags > 1 {
		e.Waited = 0
	}
	switch {
	case r.word == "DONE":
		e.Answer.Kind, e.Answer.Body = core.Served, r.body
	case r.word == "KEEP" && (a.Req.Known == "" || tags != 1 || e.Answer.Tag != a.Req.Known):
		// Symptom guarded against: a cache that named another copy, or none, had the client
		// told by a 304 that its own is current.
		e.Result = decide.Errored
	case r.word == "KEEP":
		e.Answer.Kind = core.Same
	}
	e.Answer.Server = a.Get.Server
	return e, nil
}

// noteWords are the words that stand in n, in the module's order.
var noteWords = []string{"", "cached", "fetched", "fetched_root", "merged", "past_fresh", "up_refused", "up_lost", "up_empty",
	"fills_full", "root_failed"}

// note reads a note. One that is not known counts as not told.
func note(s string) decide.Note {
	return decide.Note(max(slices.Index(noteWords, s), 0))
}

// waited reads the time for the source, in milliseconds. What is no time counts as not told.
func waited(s string) float64 {
	if x, err := strconv.ParseFloat(s, 64); err == nil && x >= 0 && x < maxLag {
		return x
	}
	return 0
}

// load reads a load report. What cannot be read is left out: it is advice.
func load(l *decide.Load, s string) {
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
			l.Busy = x
		case "x0":
			l.HitShare = x
		case "x1":
			l.Link = x
		}
	}
}

// appendServe appends the command of an attempt, written at now, with more fields.
func appendServe(dst []byte, a *core.Attempt, age float64, now float64, more string) []byte {
	r := a.Req
	f := make([]byte, 0, 256)
	f = fmt.Appendf(f, "sort=%s,asset=%016x,slice=%d,patience=%d", a.Class.Name, uint64(r.Object), r.Part,
		max(1, int64(a.Until-now)))
	if r.Key != "" {
		f = fmt.Appendf(f, ",op=%s", r.Key)
	}
	if a.Get.Source != a.Get.Server {
		f = fmt.Appendf(f, ",via=%v", a.Get.Source)
	}
	if a.Get.Keep > 0 {
		f = fmt.Appendf(f, ",tier=%d", a.Get.Keep)
	}
	if age > 0 {
		f = fmt.Appendf(f, ",fresh=%d", max(1, int64(age)))
	}
	words := make([]string, 0, 3)
	if a.Get.Join {
		words = append(words, "join")
	}
	if a.Get.HeldOnly {
		words = append(words, "held")
	}
	if a.Get.Renew {
		words = append(words, "renew")
	}
	if len(words) > 0 {
		f = fmt.Appendf(f, ",opts=%s", strings.Join(words, "+"))
	}
	if r.Known != "" {
		f = fmt.Appendf(f, ",known=%s", r.Known)
	}
	f = append(f, more...)
	dst = append(dst, "*4\r\n"...)
	dst = appendBulk(dst, "serve")
	dst = appendBulk(dst, r.Txn)
	dst = appendBulk(dst, string(f))
	return appendBulk(dst, string(r.Body))
}

func appendCancel(dst []byte, txn string) []byte {
	return appendBulk(appendBulk(append(dst, "*2\r\n"...), "cancel"), txn)
}

func appendBulk(dst []byte, s string) []byte {
	return append(append(fmt.Appendf(dst, "$%d\r\n", len(s)), s...), "\r\n"...)
}

// ReadGauges reads the answer to a probe that was sent as gauges under a tag, within so
// many ms. What the report leaves out is NaN.
func ReadGauges(k *sock.Conn, tag string, most int, within float64) (decide.Load, error) {
	l := core.NoLoad()
	if err := k.Net.SetReadDeadline(time.Now().Add(clock.Duration(within))); err != nil {
		return l, err
	}
	r, err := readReply(k, nil)
	if err != nil {
		return l, err
	}
	if r.id != tag || r.word != "FIT" && r.word != "UNFIT" || len(r.body) > most {
		return l, fmt.Errorf("%w to a probe", errFrame)
	}
	for f := range strings.SplitSeq(r.fields, ",") {
		if value, ok := strings.CutPrefix(f, "l="); ok {
			load(&l, value)
		}
	}
	return l, nil
}
