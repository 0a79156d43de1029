package dispatch

import (
	"container/heap"
	"time"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// timer is a point in time at which the dispatcher has to act. At most one of the pointers is set,
// and says on which object the dispatcher acts. If no pointer is set, the timer belongs to the
// decision module.
type timer struct {
	at         float64
	request    *Request    // the deadline of the request passes
	attempt    *Attempt    // the attempt expires
	completion *Completion // the delay of the completion ends
	token      uint64      // identifies the timer if it belongs to the module
}

func (d *Dispatcher) scheduleDeadline(at float64, request *Request) {
	heap.Push(&d.timers, timer{at: at, request: request})
}

func (d *Dispatcher) scheduleExpiry(at float64, attempt *Attempt) {
	heap.Push(&d.timers, timer{at: at, attempt: attempt})
}

func (d *Dispatcher) scheduleCompletion(at float64, completion *Completion) {
	heap.Push(&d.timers, timer{at: at, completion: completion})
}

func (d *Dispatcher) scheduleRouterTimer(at float64, token uint64) {
	heap.Push(&d.timers, timer{at: at, token: token})
}

// untilNextTimer returns how long the dispatcher may sleep before a timer is due.
func (d *Dispatcher) untilNextTimer() time.Duration {
	if len(d.timers) == 0 {
		return idleWait
	}
	return max(0, clock.Duration(d.timers[0].at-d.clock.Now()))
}

// fireTimers handles all timers that are due.
func (d *Dispatcher) fireTimers() {
	for len(d.timers) > 0 && d.timers[0].at <= d.clock.Now() {
		due := heap.Pop(&d.timers).(timer)
		switch {
		case due.completion != nil:
			d.handleCompletion(due.completion)
		case due.attempt != nil:
			d.cancelAttempt(due.attempt, routing.TimedOut)
		case due.request != nil:
			d.handleDeadline(due.request)
		default:
			d.notifyRouter(routing.TimerFired{Token: due.token})
		}
	}
}

// timerHeap implements heap.Interface. The earliest timer is first.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface. It clears the slot of the popped timer, so that the objects of
// that timer can be garbage collected.
func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	popped := old[last]
	old[last] = timer{}
	*h = old[:last]
	return popped
}
