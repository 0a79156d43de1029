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
	replyElements = 4       // bulk strings of a reply: id, status, fields and body
	noFields      = "-"     // represents an empty list of fields
	maxFillWait   = 600_000 // ms; a reported wait of this length or more is ignored
	maxLoadValue  = 1e9     // a value of a load report that is not below this is ignored
)

// Statuses of the replies to a serve command.
const (
	statusDone  = "DONE"  // the body follows
	statusKeep  = "KEEP"  // the client's copy is current
	statusLack  = "LACK"  // not cached, not executed
	statusWait  = "WAIT"  // rejected, not executed
	statusBroke = "BROKE" // an error, possibly executed
	statusPast  = "PAST"  // the request had already ended, not executed
)

// Statuses of the replies to a probe.
const (
	statusFit   = "FIT"
	statusUnfit = "UNFIT"
)

// Names of the fields of a reply.
const (
	tagField         = "tag"
	loadField        = "l"
	cacheStatusField = "n"
	fillWaitField    = "lag"
)

// resultsByStatus maps the status of a reply to a serve command to the attempt's result.
var resultsByStatus = map[string]routing.Result{
	statusDone:  routing.Served,
	statusKeep:  routing.Served,
	statusLack:  routing.NotCached,
	statusWait:  routing.Rejected,
	statusBroke: routing.ServerError,
	statusPast:  routing.NotSent,
}

// reply is a reply as received, with its fields not yet parsed.
type reply struct {
	id     string
	status string
	fields string
	body   []byte
}

// readReply reads one reply. The caller owns the returned body. If onBodyLength is not nil,
// readReply calls it with the length of the body before it reads the body.
func readReply(conn *textconn.Conn, onBodyLength func(n int)) (reply, error) {
	conn.LimitRead(maxReplyBytes)
	var r reply
	n, err := readLength(conn, arrayType, replyElements)
	if err != nil {
		return r, err
	}
	if n != replyElements {
		return r, fmt.Errorf("%w: expected an array of four bulk strings, got an array of %d", errMalformedReply, n)
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

// completion returns the completion of the attempt that the reply answers. Its error wraps
// errMalformedReply if the status is unknown or the fields are malformed.
func (r reply) completion(attempt *dispatch.Attempt) (dispatch.Completion, error) {
	completion := dispatch.Completion{Attempt: attempt, Load: dispatch.UnknownLoad()}
	completion.Response.Server = attempt.Decision.Server
	var known bool
	completion.Result, known = resultsByStatus[r.status]
	if !known {
		return completion, fmt.Errorf("%w: unknown status %.20q", errMalformedReply, r.status)
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
		// The cache did not name exactly the copy that the client has. A 304 would wrongly
		// tell the client that its copy is current.
		completion.Result = routing.ServerError
	}
	return completion, nil
}

// namesClientCopy reports whether the entity tag of the reply is that of the client's copy.
func namesClientCopy(completion *dispatch.Completion) bool {
	clientTag := completion.Attempt.Request.IfNoneMatch
	return clientTag != "" && completion.Response.ETag == clientTag
}

// parseReplyFields stores the fields of a reply in its completion and returns the number of tag
// fields. A field without a value and an invalid tag are errors. All fields other than the tag
// are only advisory, so that unknown fields, values that cannot be parsed, and a cache status or
// fill wait that occurs twice are ignored.
func parseReplyFields(completion *dispatch.Completion, list string) (tags int, err error) {
	if list == noFields || list == "" {
		return 0, nil
	}
	cacheStatuses, fillWaits := 0, 0
	for field := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return tags, fmt.Errorf("%w: expected a field of the form name=value, got %.20q", errMalformedReply, field)
		}
		switch name {
		case tagField:
			if !dispatch.ValidFieldValue(value) {
				return tags, fmt.Errorf("%w: tag is not a valid field value", errMalformedReply)
			}
			completion.Response.ETag = value
			tags++
		case loadField:
			parseLoad(&completion.Load, value)
		case cacheStatusField:
			completion.CacheStatus = parseCacheStatus(value)
			cacheStatuses++
		case fillWaitField:
			completion.FillWait = parseFillWait(value)
			fillWaits++
		}
	}
	if cacheStatuses > 1 {
		completion.CacheStatus = routing.CacheStatusUnknown
	}
	if fillWaits > 1 {
		completion.FillWait = 0
	}
	return tags, nil
}

// cacheStatusNames are the values of the field n, indexed by routing.CacheStatus.
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

// parseCacheStatus returns the cache status with a name, or CacheStatusUnknown if the name is
// not known.
func parseCacheStatus(name string) routing.CacheStatus {
	return routing.CacheStatus(max(slices.Index(cacheStatusNames, name), 0))
}

// parseFillWait parses the time in milliseconds that the cache waited for the fill source. It
// returns zero, which means unknown, if the value is not a number or out of range.
func parseFillWait(text string) float64 {
	wait, err := strconv.ParseFloat(text, 64)
	if err != nil || !(wait >= 0 && wait < maxFillWait) { // the negated form also rejects NaN
		return 0
	}
	return wait
}

// parseLoad stores the values of a load report in load. Values that cannot be parsed or are out
// of range leave load as it is.
func parseLoad(load *routing.LoadReport, text string) {
	for item := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(item, ":")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= 0 && number < maxLoadValue) { // the negated form also rejects NaN
			continue
		}
		switch name {
		case "inflight", "active":
			load.Inflight = number
		case "util", "cpu":
			load.CPUUtilization = number
		case "x0":
			load.HitRatio = number
		case "x1":
			load.LinkUtilization = number
		}
	}
}

// ReadLoadReport reads the reply to the probe with the given tag and returns its load report.
// The body may have at most maxBody bytes, and the read may take timeoutMillis milliseconds.
// Values that the report leaves out are NaN. The caller owns the connection and must close it
// after an error.
func ReadLoadReport(conn *textconn.Conn, tag string, maxBody int, timeoutMillis float64) (routing.LoadReport, error) {
	load := dispatch.UnknownLoad()
	if err := conn.NetConn.SetReadDeadline(time.Now().Add(clock.Duration(timeoutMillis))); err != nil {
		return load, err
	}
	r, err := readReply(conn, nil)
	if err != nil {
		return load, err
	}
	isProbeReply := r.status == statusFit || r.status == statusUnfit
	if r.id != tag || !isProbeReply || len(r.body) > maxBody {
		return load, fmt.Errorf("%w to a probe: expected the tag of the probe, status FIT or UNFIT and a body within the limit", errMalformedReply)
	}
	for field := range strings.SplitSeq(r.fields, ",") {
		if value, ok := strings.CutPrefix(field, loadField+"="); ok {
			parseLoad(&load, value)
		}
	}
	return load, nil
}
