package upstream

import (
	"fmt"

	"garnetline/internal/dispatch"
	"garnetline/routing"
)

// typicalFieldsBytes is the initial capacity, in bytes, for the fields of a command. The fields of
// most commands fit into it.
const typicalFieldsBytes = 256

// bulkEnd ends the last bulk string of a command.
var bulkEnd = []byte(crlf)

// appendServeHead appends the command that carries an attempt, up to its body: serve ID FIELDS BODY.
// The body and bulkEnd follow. The command gives the time from now until the attempt expires. If maxAge
// is above zero, the server must not use a copy older than maxAge milliseconds. The text moreFields
// follows the other fields of the command.
func appendServeHead(dst []byte, attempt *dispatch.Attempt, maxAge, now float64, moreFields string) []byte {
	fields := make([]byte, 0, typicalFieldsBytes)
	fields = appendServeFields(fields, attempt, maxAge, now)
	fields = append(fields, moreFields...)
	dst = appendArray(dst, 4)
	dst = appendBulk(dst, "serve")
	dst = appendBulk(dst, attempt.Request.TransactionID)
	dst = appendBulk(dst, string(fields))
	return appendBulkHead(dst, len(attempt.Request.Body))
}

// appendServeFields appends the fields of a serve command, separated by commas.
func appendServeFields(dst []byte, attempt *dispatch.Attempt, maxAge, now float64) []byte {
	request := attempt.Request
	decision := &attempt.Decision
	remainingMillis := max(1, int64(attempt.ExpiresAt-now))
	dst = fmt.Appendf(dst, "sort=%s,asset=%016x,slice=%d,patience=%d", attempt.Class.Name, uint64(request.Object), request.Chunk, remainingMillis)
	if request.IdempotencyKey != "" {
		dst = fmt.Appendf(dst, ",op=%s", request.IdempotencyKey)
	}
	if decision.FillSource != decision.Server {
		dst = fmt.Appendf(dst, ",via=%v", decision.FillSource)
	}
	if decision.CopyRank > 0 {
		dst = fmt.Appendf(dst, ",tier=%d", decision.CopyRank)
	}
	if maxAge > 0 {
		dst = fmt.Appendf(dst, ",fresh=%d", max(1, int64(maxAge)))
	}
	dst = appendServeOptions(dst, decision)
	if request.IfNoneMatch != "" {
		dst = fmt.Appendf(dst, ",known=%s", request.IfNoneMatch)
	}
	return dst
}

// appendServeOptions appends the field "opts" if the decision sets at least one option.
func appendServeOptions(dst []byte, decision *routing.SendAttempt) []byte {
	separator := ",opts="
	for _, option := range [...]struct {
		set  bool
		name string
	}{
		{decision.JoinFill, "join"},
		{decision.OnlyIfCached, "held"},
		{decision.Revalidate, "renew"},
	} {
		if option.set {
			dst = append(dst, separator...)
			dst = append(dst, option.name...)
			separator = "+"
		}
	}
	return dst
}

// appendCancelCommand appends the command that cancels a request: cancel ID.
func appendCancelCommand(dst []byte, id string) []byte {
	dst = appendArray(dst, 2)
	dst = appendBulk(dst, "cancel")
	return appendBulk(dst, id)
}
