package simproto

import (
	"fmt"
	"strconv"
	"time"

	"garnetline/routing"
)

// AppendInstance appends to a reply the line that names the instance of the actions after it.
func AppendInstance(dst []byte, instance int) []byte {
	return appendLine(dst, replyInstance, int64(instance))
}

// AppendReplyEnd appends the line that ends a reply.
func AppendReplyEnd(dst []byte) []byte {
	return appendLine(dst, replyEnd)
}

// AppendAction appends the line of one action to a reply, after the line of its instance. It
// panics on an action that the protocol has no line for, since the set of actions is closed.
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

// appendSendAttempt appends the line of an attempt. A time of 0 is none on the wire too.
func appendSendAttempt(dst []byte, attempt routing.SendAttempt) []byte {
	return appendLine(dst, replySendAttempt,
		int64(attempt.ID),
		int64(attempt.CopyRank),
		attemptSwitches(attempt),
		microseconds(attempt.Deadline),
		int64(attempt.Server),
		int64(attempt.FillSource),
		microseconds(attempt.MaxAge),
	)
}

// attemptSwitches returns the sum of the switches of an attempt.
func attemptSwitches(attempt routing.SendAttempt) int64 {
	switches := int64(0)
	if attempt.JoinFill {
		switches |= switchJoinFill
	}
	if attempt.OnlyIfCached {
		switches |= switchOnlyIfCached
	}
	if attempt.Revalidate {
		switches |= switchRevalidate
	}
	return switches
}

// appendSetTimer appends the line of a timer. Its token can be too large for appendLine.
func appendSetTimer(dst []byte, timer routing.SetTimer) []byte {
	dst = append(dst, replySetTimer...)
	dst = append(dst, ' ')
	dst = strconv.AppendInt(dst, microseconds(timer.Delay), 10)
	dst = append(dst, ' ')
	dst = strconv.AppendUint(dst, timer.Token, 10)
	return append(dst, '\n')
}

// appendLine appends a name and its values.
func appendLine(dst []byte, name string, values ...int64) []byte {
	dst = append(dst, name...)
	for _, value := range values {
		dst = append(dst, ' ')
		dst = strconv.AppendInt(dst, value, 10)
	}
	return append(dst, '\n')
}

// microseconds returns a duration in whole microseconds, rounded toward zero.
func microseconds(d time.Duration) int64 { return int64(d / time.Microsecond) }
