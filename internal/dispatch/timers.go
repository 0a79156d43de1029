package dispatch

import (
	"container/heap"
	"slices"
	"time"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// timer is a point in time at which the dispatcher has to act. At most one of the pointers is set,
// and says on which object the dispatcher acts. If no pointer but owner is set, the timer belongs to
// the decision module.
//
// A timer is canceled as soon as the object that it serves has ended. Otherwise, the timer would
// keep that object in memory until it is due, long after the client has read its response.
type timer struct {
	request    *Request    // the deadline of the request passes
	attempt    *Attempt    // the attempt expires
	completion *Completion // the delay of the completion ends
	owner      *Request    // request for which the decision module set the timer; nil: for no request
	token      uint64      // identifies the timer if it belongs to the module

	at        float64
	scheduled bool
	position  int // index in the heap if the timer is scheduled
}

// scheduleDeadline sets the deadline timer of a request, and replaces an earlier setting.
func (d *Dispatcher) scheduleDeadline(at float64, request *Request) {
	request.deadlineTimer.request = request
	d.timers.schedule(&request.deadlineTimer, at)
}

func (d *Dispatcher) scheduleExpiry(at float64, attempt *Attempt) {
	attempt.expiryTimer.attempt = attempt
	d.timers.schedule(&attempt.expiryTimer, at)
}

func (d *Dispatcher) scheduleCompletion(at float64, completion *Completion) {
	d.timers.schedule(&timer{completion: completion}, at)
}

// scheduleRouterTimer sets a timer of the decision module. It ignores a timer of a request that has
// ended.
func (d *Dispatcher) scheduleRouterTimer(at float64, action routing.SetTimer) {
	created := &timer{token: action.Token}
	if action.ID != 0 {
		created.owner = d.openRequests[action.ID]
		if created.owner == nil {
			return
		}
		created.owner.routerTimers = append(created.owner.routerTimers, created)
	}
	d.timers.schedule(created, at)
}

// cancelTimers cancels the timers of a request. The expiry timer of an attempt is canceled when that
// attempt ends.
func (d *Dispatcher) cancelTimers(request *Request) {
	d.timers.cancel(&request.deadlineTimer)
	for _, pending := range request.routerTimers {
		d.timers.cancel(pending)
	}
	request.routerTimers = nil
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
	for due := d.timers.popDue(d.clock.Now()); due != nil; due = d.timers.popDue(d.clock.Now()) {
		switch {
		case due.completion != nil:
			d.handleCompletion(due.completion)
		case due.attempt != nil:
			d.cancelAttempt(due.attempt, routing.TimedOut)
		case due.request != nil:
			d.handleDeadline(due.request)
		default:
			d.fireRouterTimer(due)
		}
	}
}

func (d *Dispatcher) fireRouterTimer(due *timer) {
	if owner := due.owner; owner != nil {
		owner.routerTimers = slices.DeleteFunc(owner.routerTimers, func(other *timer) bool { return other == due })
	}
	d.notifyRouter(routing.TimerFired{Token: due.token})
}

// timerHeap holds the scheduled timers. The earliest timer is first.
type timerHeap []*timer

// schedule schedules a timer, or changes its time if it is scheduled already.
func (h *timerHeap) schedule(t *timer, at float64) {
	t.at = at
	if t.scheduled {
		heap.Fix(h, t.position)
		return
	}
	t.scheduled = true
	heap.Push(h, t)
}

// cancel removes a timer. It does nothing if the timer is not scheduled.
func (h *timerHeap) cancel(t *timer) {
	if t.scheduled {
		t.scheduled = false
		heap.Remove(h, t.position)
	}
}

// popDue removes and returns the earliest timer if it is due at the time now. Otherwise, it returns
// nil.
func (h *timerHeap) popDue(now float64) *timer {
	if len(*h) == 0 || (*h)[0].at > now {
		return nil
	}
	due := heap.Pop(h).(*timer)
	due.scheduled = false
	return due
}

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	added := x.(*timer)
	added.position = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface. It clears the slot of the removed timer, so that the objects of
// that timer can be garbage collected.
func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	removed := old[last]
	old[last] = nil
	*h = old[:last]
	return removed
}
