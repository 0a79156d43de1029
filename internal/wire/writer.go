package wire

import (
	"fmt"
	"strconv"
	"time"

	"garnetline/routing"
)

// Flags of a SERVE_OR_FILL line.
const (
	flagJoinFill     = 1
	flagOnlyIfCached = 2
	flagRevalidate   = 8
)

// AppendBy appends the line that gives the following actions to an instance.
func AppendBy(dst []byte, instance int) []byte {
	return append(strconv.AppendInt(append(dst, "BY "...), int64(instance), 10), '\n')
}

// AppendEnd appends the line that ends a reply.
func AppendEnd(dst []byte) []byte { return append(dst, "NEXT\n"...) }

// AppendAction appends the line of one action.
func AppendAction(dst []byte, action routing.Action) []byte {
	switch action := action.(type) {
	case routing.SendAttempt:
		return appendLine(dst, "SERVE_OR_FILL", int64(action.ID), int64(action.CopyRank), attemptFlags(&action),
			microseconds(action.Deadline), int64(action.Server), int64(action.FillSource), microseconds(action.MaxAge))
	case routing.Reject:
		return appendLine(dst, "REFUSE", int64(action.ID), microseconds(action.RetryAfter))
	case routing.Fail:
		return appendLine(dst, "ABORT", int64(action.ID))
	case routing.CancelAttempt:
		return appendLine(dst, "REVOKE", int64(action.ID), int64(action.Attempt))
	case routing.SetTimer:
		dst = append(dst, "SCHEDULE "...)
		dst = strconv.AppendInt(dst, microseconds(action.Delay), 10)
		dst = append(dst, ' ')
		dst = strconv.AppendUint(dst, action.Token, 10) // may pass an int64
		return append(dst, '\n')
	case routing.Subscribe:
		return appendLine(dst, "FOLLOW", 1)
	default:
		panic(fmt.Sprintf("wire: unknown action %T", action))
	}
}

func attemptFlags(send *routing.SendAttempt) int64 {
	flags := int64(0)
	if send.JoinFill {
		flags |= flagJoinFill
	}
	if send.OnlyIfCached {
		flags |= flagOnlyIfCached
	}
	if send.Revalidate {
		flags |= flagRevalidate
	}
	return flags
}

func appendLine(dst []byte, name string, values ...int64) []byte {
	dst = append(dst, name...)
	for _, value := range values {
		dst = strconv.AppendInt(append(dst, ' '), value, 10)
	}
	return append(dst, '\n')
}

func microseconds(d time.Duration) int64 { return int64(d / time.Microsecond) }
