package simproto

import (
	"fmt"
	"strconv"
	"time"

	"garnetline/routing"
)

// AppendInstance appends to a reply the line that names the instance of the actions that follow.
func AppendInstance(dst []byte, instance int) []byte {
	return appendLine(dst, replyInstance, int64(instance))
}

// AppendReplyEnd appends the line that ends a reply.
func AppendReplyEnd(dst []byte) []byte {
	return appendLine(dst, replyEnd)
}

// AppendAction appends the line of one action to a reply. The caller appends the line of the
// action's instance first. The protocol has a line for every type of action that package routing
// defines. AppendAction panics on any other type, because such a type can only come from a
// programming error.
func AppendAction(dst []byte, action routing.Action) []byte {
	switch action := action.(type) {
	case routing.SendAttempt:
		return appendSendAttempt(dst, action)
	case routing.Reject:
		return appendLine(dst, replyReject, int64(action.ID), microseconds(action.RetryAfter))
	case routing.Fail:
		return appendLine(dst, replyFail, int64(action.ID))
	case routing.CancelAttempt:
		return appendLine(dst, replyCancelAttempt, int64(action.ID), int64(action.Attempt))
	case routing.SetTimer:
		return appendSetTimer(dst, action)
	case routing.Subscribe:
		return appendLine(dst, replySubscribe, subscriptionOn)
	default:
		panic(fmt.Sprintf("simproto: unknown action %T", action))
	}
}

// appendSendAttempt appends the line of an attempt. A deadline of 0 means that there is no deadline,
// and a maximum age of 0 means that there is no maximum age, as in routing.SendAttempt.
func appendSendAttempt(dst []byte, attempt routing.SendAttempt) []byte {
	return appendLine(dst, replySendAttempt,
		int64(attempt.ID),
		int64(attempt.CopyRank),
		attemptFlags(attempt),
		microseconds(attempt.Deadline),
		int64(attempt.Server),
		int64(attempt.FillSource),
		microseconds(attempt.MaxAge),
	)
}

// attemptFlags returns the flags of an attempt as a bit set.
func attemptFlags(attempt routing.SendAttempt) int64 {
	flags := int64(0)
	if attempt.JoinFill {
		flags |= flagJoinFill
	}
	if attempt.OnlyIfCached {
		flags |= flagOnlyIfCached
	}
	if attempt.Revalidate {
		flags |= flagRevalidate
	}
	return flags
}

// appendSetTimer appends the line of a timer. It does not use appendLine, because the timer's
// token can exceed the int64 range of the values of appendLine.
func appendSetTimer(dst []byte, timer routing.SetTimer) []byte {
	dst = append(dst, replySetTimer...)
	dst = append(dst, ' ')
	dst = strconv.AppendInt(dst, microseconds(timer.Delay), 10)
	dst = append(dst, ' ')
	dst = strconv.AppendUint(dst, timer.Token, 10)
	return append(dst, '\n')
}

// appendLine appends a line with a name and its values.
func appendLine(dst []byte, name string, values ...int64) []byte {
	dst = append(dst, name...)
	for _, value := range values {
		dst = append(dst, ' ')
		dst = strconv.AppendInt(dst, value, 10)
	}
	return append(dst, '\n')
}

// microseconds converts a duration to whole microseconds, rounding toward zero.
func microseconds(d time.Duration) int64 { return int64(d / time.Microsecond) }
