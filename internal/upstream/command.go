package upstream

import (
	"fmt"
	"strings"

	"garnetline/internal/dispatch"
)

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
