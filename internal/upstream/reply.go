package upstream

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/memorybudget"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

const (
	replyElements = 4       // bulk strings of a reply: id, status, fields and body
	noFields      = "-"     // stands for an empty list of fields
	maxFillWait   = 600_000 // ms; a reported fill wait is ignored unless it is below this limit
	maxLoadValue  = 1e9     // a value of a load report is ignored unless it is below this limit
)

// Statuses of the replies to a serve command.
const (
	statusDone  = "DONE"  // the body follows
	statusKeep  = "KEEP"  // the client's copy is current
	statusLack  = "LACK"  // the object is not cached, the request was not executed
	statusWait  = "WAIT"  // the request was rejected and not executed
	statusBroke = "BROKE" // an error; the request was possibly executed
	statusPast  = "PAST"  // the request had already ended and was not executed
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

// resultsByStatus gives the result of an attempt for each status of a reply to its serve command.
var resultsByStatus = map[string]routing.Result{
	statusDone:  routing.Served,
	statusKeep:  routing.Served,
	statusLack:  routing.NotCached,
	statusWait:  routing.Rejected,
	statusBroke: routing.ServerError,
	statusPast:  routing.NotSent,
}

// responsePatience is how long a reply waits until the memory budget has room for its body.
const responsePatience = 100 * time.Millisecond

// reply is a received reply. Its fields are not parsed yet.
type reply struct {
	id          string
	status      string
	fields      string
	body        []byte
	bodyDropped bool                      // the memory budget had no room for the body
	memory      *memorybudget.Reservation // memory of body; whoever drops the reply releases it
}

// replyReader reads replies from a connection.
type replyReader struct {
	conn         *textconn.Conn
	onBodyLength func(n int)          // if not nil, called with the length of the body, in bytes, before the body is read
	memory       *memorybudget.Budget // limits the bodies that are kept; nil: no limit
}

// readReply reads one reply without a limit on memory.
func readReply(conn *textconn.Conn, onBodyLength func(n int)) (reply, error) {
	return replyReader{conn: conn, onBodyLength: onBodyLength}.read()
}

// read reads one reply. The caller owns the body of the returned reply.
func (reader replyReader) read() (reply, error) {
	conn := reader.conn
	conn.LimitRead(maxReplyBytes)
	var r reply
	n, err := readLength(conn, arrayType, replyElements)
	if err != nil {
		return r, err
	}
	if n != replyElements {
		return r, fmt.Errorf("%w: expected an array of 4 bulk strings, got an array of %d elements", errMalformedReply, n)
	}
	for _, field := range [...]*string{&r.id, &r.status, &r.fields} {
		content, err := readBulk(conn, maxFieldBytes)
		if err != nil {
			return r, err
		}
		*field = string(content)
	}
	err = reader.readBody(&r)
	conn.ShrinkReadBuffer()
	return r, err
}

// readBody reads the body of a reply. If the memory budget has no room for the body, readBody discards
// it and sets bodyDropped.
func (reader replyReader) readBody(r *reply) error {
	n, err := readLength(reader.conn, bulkStringType, maxBodyBytes)
	if err != nil {
		return err
	}
	if reader.onBodyLength != nil {
		reader.onBodyLength(n)
	}
	r.memory = reader.memory.NewReservation()
	if r.memory.Grow(memorybudget.Responses, int64(n), responsePatience) != nil {
		r.bodyDropped = true
		_, err = io.CopyN(io.Discard, reader.conn.R, int64(n))
	} else if n > 0 {
		r.body, err = reader.conn.ReadOwnedBody(n, func(int) error { return nil })
	}
	if err == nil {
		err = readBulkEnd(reader.conn, n)
	}
	if err != nil {
		r.memory.Release()
	}
	return err
}

// completion returns the completion of the attempt to which the server replied. The error wraps
// errMalformedReply if the status is unknown or if the fields are malformed.
func (r reply) completion(attempt *dispatch.Attempt) (dispatch.Completion, error) {
	completion := dispatch.Completion{Attempt: attempt, Load: dispatch.UnknownLoad()}
	completion.Response.Server = attempt.Decision.Server
	var known bool
	completion.Result, known = resultsByStatus[r.status]
	if !known {
		return completion, fmt.Errorf("%w: unknown reply status %.20q", errMalformedReply, r.status)
	}
	tags, err := parseReplyFields(&completion, r.fields)
	if err != nil {
		return completion, err
	}
	if err := r.check(tags); err != nil {
		return completion, err
	}
	switch {
	case r.status == statusDone && r.bodyDropped:
		completion.Response.Kind = dispatch.Failed // the server has executed the request, so it is not retried
	case r.status == statusDone:
		completion.Response.Kind = dispatch.Served
		completion.Response.Body = r.body
		completion.Response.Memory = r.memory
	case r.status == statusKeep && tags == 1 && namesClientCopy(&completion):
		completion.Response.Kind = dispatch.NotModified
	case r.status == statusKeep:
		// The reply does not name exactly the copy that the client has. A 304 response would
		// wrongly tell the client that its copy is current.
		completion.Result = routing.ServerError
	}
	return completion, nil
}

// check returns an error if the parts of a reply contradict each other: a body that belongs to two
// copies, or one beside the statement that the client's copy is current.
func (r reply) check(tags int) error {
	switch {
	case r.status == statusDone && tags > 1:
		return fmt.Errorf("%w: expected one entity tag in a DONE reply, got %d", errMalformedReply, tags)
	case r.status == statusKeep && (len(r.body) > 0 || r.bodyDropped):
		return fmt.Errorf("%w: expected no body in a KEEP reply, got %d bytes", errMalformedReply, len(r.body))
	}
	return nil
}

// namesClientCopy reports whether the reply has the same entity tag as the client's copy.
func namesClientCopy(completion *dispatch.Completion) bool {
	clientTag := completion.Attempt.Request.IfNoneMatch
	return clientTag != "" && completion.Response.ETag == clientTag
}

// parseReplyFields stores the fields of a reply in its completion and returns the number of fields
// named "tag". A field without a name or a value and an invalid tag are errors.
//
// All fields except "tag" are advisory. parseReplyFields therefore ignores unknown fields and
// values that cannot be parsed. It also ignores a cache status or fill wait that occurs more than
// once.
func parseReplyFields(completion *dispatch.Completion, list string) (tags int, err error) {
	if list == noFields || list == "" {
		return 0, nil
	}
	cacheStatuses, fillWaits := 0, 0
	for field := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" {
			return tags, fmt.Errorf("%w: expected a reply field of the form name=value, got %d bytes", errMalformedReply, len(field))
		}
		switch name {
		case tagField:
			if !dispatch.ValidFieldValue(value) {
				return tags, fmt.Errorf("%w: expected a valid entity tag in field tag, got %d bytes", errMalformedReply, len(value))
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

// cacheStatusNames are the names of cache statuses on the wire (field "n"), indexed by
// routing.CacheStatus.
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

// parseCacheStatus returns the cache status that has the given name on the wire. It returns
// CacheStatusUnknown if there is no such status.
func parseCacheStatus(name string) routing.CacheStatus {
	return routing.CacheStatus(max(slices.Index(cacheStatusNames, name), 0))
}

// parseFillWait parses the time, in milliseconds, that the cache waited for the fill source. If the
// value is not a number from 0 to below maxFillWait, it returns zero, which means unknown.
func parseFillWait(text string) float64 {
	wait, err := strconv.ParseFloat(text, 64)
	if err != nil || !(wait >= 0 && wait < maxFillWait) { // every comparison with NaN is false, so the negation rejects NaN too
		return 0
	}
	return wait
}

// parseLoad stores the values of a load report in load. If a value is not a number from 0 to below
// maxLoadValue, the field of load stays unchanged.
func parseLoad(load *routing.LoadReport, text string) {
	for item := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(item, ":")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= 0 && number < maxLoadValue) { // every comparison with NaN is false, so the negation rejects NaN too
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

// ReadLoadReport reads the reply to the probe with the given tag and returns its load report. The
// body of the reply may have at most maxBody bytes. The read may take timeoutMillis milliseconds.
// Values that the reply does not report are NaN. The caller owns the connection and must close it
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
		return load, fmt.Errorf("%w to a probe: expected tag %q, status FIT or UNFIT and a body of at most %d bytes, got tag %.20q, status %.20q and a body of %d bytes",
			errMalformedReply, tag, maxBody, r.id, r.status, len(r.body))
	}
	for field := range strings.SplitSeq(r.fields, ",") {
		if value, ok := strings.CutPrefix(field, loadField+"="); ok {
			parseLoad(&load, value)
		}
	}
	return load, nil
}
