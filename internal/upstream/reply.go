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

const (
	replyStrings  = 4       // the id, the status, the fields and the body
	noFields      = "-"     // stands for an empty list of fields
	maxFillWait   = 600_000 // ms; a longer wait for the fill source is ignored
	maxLoadFigure = 1e9     // a larger figure of a load report is ignored
)

// The statuses of replies to serve.
const (
	statusDone  = "DONE"  // the body follows
	statusKeep  = "KEEP"  // the client's copy is current
	statusLack  = "LACK"  // not cached, not executed
	statusWait  = "WAIT"  // rejected, not executed
	statusBroke = "BROKE" // an error, possibly executed
	statusPast  = "PAST"  // the request had ended, not executed
)

// The statuses of replies to probes.
const (
	statusFit   = "FIT"
	statusUnfit = "UNFIT"
)

// The fields of replies.
const (
	tagField         = "tag"
	loadField        = "l"
	cacheStatusField = "n"
	fillWaitField    = "lag"
)

// resultsByStatus has the results of replies to serve.
var resultsByStatus = map[string]routing.Result{
	statusDone:  routing.Served,
	statusKeep:  routing.Served,
	statusLack:  routing.NotCached,
	statusWait:  routing.Rejected,
	statusBroke: routing.ServerError,
	statusPast:  routing.NotSent,
}

// reply is a reply as it came.
type reply struct {
	id     string
	status string
	fields string
	body   []byte
}

// readReply reads one reply, whose body belongs to the caller. onBodyLength, if it is not nil,
// is called with the length of the body before that is read.
func readReply(conn *textconn.Conn, onBodyLength func(n int)) (reply, error) {
	conn.LimitRead(maxReplyBytes)
	var r reply
	n, err := readLength(conn, arrayType, replyStrings)
	if err != nil {
		return r, err
	}
	if n != replyStrings {
		return r, fmt.Errorf("%w: array of %d", errMalformedReply, n)
	}
	for _, field := range [...]*string{&r.id, &r.status, &r.fields} {
		content, err := readBulk(conn, maxFieldBytes, nil)
		if err != nil {
			return r, err
		}
		*field = string(content)
	}
	body, err := readBulk(conn, maxBodyBytes, onBodyLength)
	if len(body) > 0 {
		r.body = append([]byte(nil), body...)
	}
	conn.ShrinkReadBuffer()
	return r, err
}

// completion returns the completion of the attempt that the reply is to.
func (r reply) completion(attempt *dispatch.Attempt) (dispatch.Completion, error) {
	completion := dispatch.Completion{Attempt: attempt, Load: dispatch.UnknownLoad()}
	completion.Response.Server = attempt.Decision.Server
	var known bool
	completion.Result, known = resultsByStatus[r.status]
	if !known {
		return completion, fmt.Errorf("%w: status %.20q", errMalformedReply, r.status)
	}
	tags, err := parseReplyFields(&completion, r.fields)
	if err != nil {
		return completion, err
	}
	switch {
	case r.status == statusDone:
		completion.Response.Kind = dispatch.Served
		completion.Response.Body = r.body
	case r.status == statusKeep && tags == 1 && namesClientCopy(&completion):
		completion.Response.Kind = dispatch.NotModified
	case r.status == statusKeep:
		// Symptom guarded against: a cache that named another copy than the client's, or
		// none, had the client told by a 304 that its own is current.
		completion.Result = routing.ServerError
	}
	return completion, nil
}

// namesClientCopy reports whether the reply's tag is that of the copy that the client has.
func namesClientCopy(completion *dispatch.Completion) bool {
	clientTag := completion.Attempt.Request.IfNoneMatch
	return clientTag != "" && completion.Response.ETag == clientTag
}

// parseReplyFields enters the fields of a reply in its completion, and returns how many tags
// there are. Other fields that are unknown, cannot be read or stand there twice are left out,
// since all but the tag is advice.
func parseReplyFields(completion *dispatch.Completion, list string) (tags int, err error) {
	if list == noFields || list == "" {
		return 0, nil
	}
	cacheStatuses, fillWaits := 0, 0
	for field := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return tags, fmt.Errorf("%w: field %.20q", errMalformedReply, field)
		}
		switch name {
		case tagField:
			if !dispatch.ValidFieldValue(value) {
				return tags, fmt.Errorf("%w: tag", errMalformedReply)
			}
			completion.Response.ETag = value
			tags++
		case loadField:
			parseLoad(&completion.Load, value)
		case cacheStatusField:
			completion.Note = parseCacheStatus(value)
			cacheStatuses++
		case fillWaitField:
			completion.FillWait = parseFillWait(value)
			fillWaits++
		}
	}
	if cacheStatuses > 1 {
		completion.Note = routing.CacheStatusUnknown
	}
	if fillWaits > 1 {
		completion.FillWait = 0
	}
	return tags, nil
}

// cacheStatusNames are the values of the field n, in the order of routing's constants.
var cacheStatusNames = []string{
	"",
	"cached",
	"fetched",
	"fetched_root",
	"merged",
	"past_fresh",
	"up_refused",
	"up_lost",
	"up_empty",
	"fills_full",
	"root_failed",
}

// parseCacheStatus reads a cache status. One that is not known counts as not told.
func parseCacheStatus(name string) routing.CacheStatus {
	return routing.CacheStatus(max(slices.Index(cacheStatusNames, name), 0))
}

// parseFillWait reads the time for the fill source in milliseconds. What is no such time
// counts as not told.
func parseFillWait(text string) float64 {
	wait, err := strconv.ParseFloat(text, 64)
	if err != nil || !(wait >= 0 && wait < maxFillWait) { // NaN is no time
		return 0
	}
	return wait
}

// parseLoad enters the figures of a load report in load. What cannot be read is left as it is.
func parseLoad(load *routing.LoadReport, text string) {
	for item := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(item, ":")
		figure, err := strconv.ParseFloat(value, 64)
		if err != nil || !(figure >= 0 && figure < maxLoadFigure) { // NaN is no figure
			continue
		}
		switch name {
		case "inflight", "active":
			load.Inflight = figure
		case "util", "cpu":
			load.CPUUtilization = figure
		case "x0":
			load.HitRatio = figure
		case "x1":
			load.LinkUtilization = figure
		}
	}
}

// ReadLoadReport reads the reply to a probe that was sent under a tag, with a body of at most
// maxBody bytes, within so many milliseconds. Figures that the report leaves out are NaN. The
// caller owns the connection and closes it after an error.
func ReadLoadReport(conn *textconn.Conn, tag string, maxBody int, within float64) (routing.LoadReport, error) {
	load := dispatch.UnknownLoad()
	if err := conn.NetConn.SetReadDeadline(time.Now().Add(clock.Duration(within))); err != nil {
		return load, err
	}
	r, err := readReply(conn, nil)
	if err != nil {
		return load, err
	}
	toProbe := r.status == statusFit || r.status == statusUnfit
	if r.id != tag || !toProbe || len(r.body) > maxBody {
		return load, fmt.Errorf("%w to a probe", errMalformedReply)
	}
	for field := range strings.SplitSeq(r.fields, ",") {
		if value, ok := strings.CutPrefix(field, loadField+"="); ok {
			parseLoad(&load, value)
		}
	}
	return load, nil
}
