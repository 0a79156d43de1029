package faultproxy

import (
	"fmt"
	"time"
)

// Fault describes what the proxy does to the traffic in one direction between two parties. The zero
// value forwards everything at once and unchanged. Shares are from 0 to 1: shares of the datagrams
// on UDP, and of the pieces in which the proxy reads a stream on TCP.
type Fault struct {
	Partitioned    bool    // nothing is forwarded; on TCP the data waits until the partition heals
	Loss           float64 // share that is lost; on TCP, share that is delayed by a retransmission
	Duplicate      float64 // share that is forwarded twice; UDP only
	Reorder        float64 // share that is overtaken by later datagrams; UDP only
	Corrupt        float64 // share in which one byte is changed
	Delay          float64 // ms
	Jitter         float64 // ms; maximum of an additional, uniformly distributed delay
	BytesPerSecond float64 // limit of the throughput; 0: no limit
	HalfClosed     bool    // TCP only: this direction is closed, the opposite one stays open
}

const (
	// reorderDelay is the additional delay of a reordered datagram, which later ones overtake.
	reorderDelay = 30 * time.Millisecond
	// duplicateDelay is the time from a datagram to its duplicate.
	duplicateDelay = 5 * time.Millisecond
	// retransmitDelay is the delay, in ms, of a piece of a stream that needs a retransmission. It
	// is the minimum retransmission timeout of Linux.
	retransmitDelay = 200.0
	// maxQueueingDelay is the longest time that a datagram waits for the limited throughput of its
	// direction. A datagram that would wait longer is lost, as in a full queue.
	maxQueueingDelay = time.Second
)

// String describes the fault in a few words. It returns "sound" if there is no fault.
func (f Fault) String() string {
	if f == (Fault{}) {
		return "sound"
	}
	text := ""
	add := func(present bool, format string, values ...any) {
		if present {
			text += " " + fmt.Sprintf(format, values...)
		}
	}
	add(f.Partitioned, "cut")
	add(f.HalfClosed, "closed")
	add(f.Loss > 0, "loss %.2f", f.Loss)
	add(f.Duplicate > 0, "repeat %.2f", f.Duplicate)
	add(f.Reorder > 0, "reorder %.2f", f.Reorder)
	add(f.Corrupt > 0, "garble %.2f", f.Corrupt)
	add(f.Delay+f.Jitter > 0, "delay %.0f+%.0f ms", f.Delay, f.Jitter)
	add(f.BytesPerSecond > 0, "%.0f B/s", f.BytesPerSecond)
	return text[1:]
}

// Counters count the datagrams and the pieces of streams of one direction.
type Counters struct {
	Packets     int64 // received by the proxy; a new TCP connection counts as one packet
	Bytes       int64 // received by the proxy
	Partitioned int64 // packets lost or held back by a partition
	Lost        int64 // packets lost; on TCP, pieces delayed by a retransmission
	Duplicated  int64 // packets forwarded twice
	Corrupted   int64 // packets with a changed byte
}

// milliseconds converts a number of milliseconds to a time.Duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
