package netsim

import (
	"net/netip"

	"garnetline/internal/fleet/membership"
)

// event is the arrival of a packet, or a timer of a host.
type event struct {
	at          float64            // ms of the network's time
	sequence    uint64             // orders events that have the same time
	host        *Host              // host of the timer; nil for a packet
	packet      *membership.Packet // nil for a timer
	destination netip.AddrPort     // destination of the packet; not set for a timer
}

// before reports whether the event e is handled earlier than the event other.
func (e *event) before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// eventQueue is a binary heap of events. The earliest event is the first element. The heap holds
// values and does not use container/heap, which would allocate memory for each event.
type eventQueue []event

func (q *eventQueue) push(added event) {
	queue := append(*q, added)
	child := len(queue) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !queue[child].before(&queue[parent]) {
			break
		}
		queue[child], queue[parent] = queue[parent], queue[child]
		child = parent
	}
	*q = queue
}

// pop removes the earliest event and returns it. The queue must not be empty.
func (q *eventQueue) pop() event {
	queue := *q
	earliest := queue[0]
	last := len(queue) - 1
	queue[0] = queue[last]
	queue[last] = event{} // lets the garbage collector free the packet
	queue = queue[:last]
	queue.siftDown()
	*q = queue
	return earliest
}

// siftDown moves the first event down the heap to its place.
func (q eventQueue) siftDown() {
	parent := 0
	for {
		child := q.earlierChild(parent)
		if child >= len(q) || !q[child].before(&q[parent]) {
			return
		}
		q[parent], q[child] = q[child], q[parent]
		parent = child
	}
}

// earlierChild returns the index of the child that is handled first. If the parent has no child,
// the index is past the end of the queue.
func (q eventQueue) earlierChild(parent int) int {
	left := 2*parent + 1
	right := left + 1
	if right < len(q) && q[right].before(&q[left]) {
		return right
	}
	return left
}
