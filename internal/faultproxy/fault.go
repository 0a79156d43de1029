package faultproxy

import (
	"fmt"
	"time"
)

// Fault is what happens to traffic in one direction between two parties. The zero value forwards
// everything at once and unchanged. The shares, from 0 to 1, are of datagrams; on TCP they are of
// the pieces of a stream as the proxy reads them.
type Fault struct {
	Partitioned    bool    // nothing is forwarded; on TCP it waits until the partition heals
	Loss           float64 // share that is lost; on TCP a piece is retransmitted instead, and late
	Duplicate      float64 // share that is forwarded twice; UDP alone
	Reorder        float64 // share that is overtaken by what comes soon after it; UDP alone
	Corrupt        float64 // share of which one byte is changed
	Delay          float64 // ms
	Jitter         float64 // ms; the longest further delay, drawn uniformly
	BytesPerSecond float64 // throughput; 0: not limited
	HalfClosed     bool    // TCP alone: this direction is closed, the other one stays open
}

const (
	// reorderDelay is how late a datagram is that others overtake.
	reorderDelay = 30 * time.Millisecond
	// duplicateDelay is how long after a datagram its duplicate is forwarded.
	duplicateDelay = 5 * time.Millisecond
	// retransmitDelay is how late a piece of a stream is of which a packet would be lost, in
	// ms. It is the least retransmission timeout of Linux.
	retransmitDelay = 200.0
	// maxQueueingDelay is how long a datagram can wait for the throughput of its direction.
	// What would wait longer is lost, as in a queue that is full.
	maxQueueingDelay = time.Second
)

// String returns the fault in a few words, or "sound" if there is none.
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

// Counters count the datagrams and pieces of streams of one direction.
type Counters struct {
	Packets     int64 // that the proxy received; the start of a TCP connection is one too
	Bytes       int64 // that the proxy received
	Partitioned int64 // packets lost or held back by a partition
	Lost        int64 // packets; on TCP retransmissions
	Duplicated  int64 // packets
	Corrupted   int64 // packets
}

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
