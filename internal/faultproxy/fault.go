package faultproxy

import (
	"fmt"
	"time"
)

// Fault describes the network faults that the proxy injects into the traffic from one endpoint to
// another. The zero value forwards all data immediately and unchanged. Each share is a number from 0
// to 1. On UDP it is a share of the datagrams. On TCP it is a share of the pieces of a stream; a
// piece is the data that the proxy reads from the stream at once.
type Fault struct {
	Partitioned    bool    // nothing is forwarded; on TCP the data waits until the partition heals
	Loss           float64 // share that is lost; on TCP, share that is delayed as if it were retransmitted
	Duplicate      float64 // share that is forwarded twice; UDP only
	Reorder        float64 // share that is overtaken by later datagrams; UDP only
	Corrupt        float64 // share in which one byte is changed
	Delay          float64 // ms; delay of each datagram or piece
	Jitter         float64 // ms; maximum of an additional, uniformly distributed delay
	BytesPerSecond float64 // throughput limit; 0: no limit
	HalfClosed     bool    // TCP only: this direction is closed, the opposite direction stays open
}

const (
	// reorderDelay is the additional delay of a reordered datagram. Later datagrams can overtake it
	// in the meantime.
	reorderDelay = 30 * time.Millisecond
	// duplicateDelay is the time between the forwarding of a datagram and of its duplicate.
	duplicateDelay = 5 * time.Millisecond
	// retransmitDelay is the delay, in ms, that simulates the retransmission of a lost piece of a
	// stream. It equals the minimum retransmission timeout of Linux.
	retransmitDelay = 200.0
	// maxQueueingDelay is the maximum time that a datagram waits because of the throughput limit of
	// its direction. A datagram that would wait longer is lost, as if a queue were full.
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

// Counters count the packets of one direction. A packet is a datagram, a piece of a TCP stream (the
// data of one read), or a new TCP connection.
type Counters struct {
	Packets     int64 // received by the proxy
	Bytes       int64 // received by the proxy
	Partitioned int64 // packets lost or held back by a partition
	Lost        int64 // packets lost; on TCP, packets delayed as if they were retransmitted
	Duplicated  int64 // packets forwarded twice
	Corrupted   int64 // packets in which a byte was changed
}

// milliseconds converts a number of milliseconds to a time.Duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
