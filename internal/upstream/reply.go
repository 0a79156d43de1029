package upstream

import (
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
