package dispatch

import (
	"container/heap"

	"garnetline/routing"
)

// fireTimers fires the timers that are due.
func (c *Dispatcher) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.clock.Now() {
		switch t := heap.Pop(&c.timers).(timer); {
		case t.completion != nil:
			c.handleCompletion(*t.completion)
		case t.attempt != nil:
			c.cancelAttempt(t.attempt, routing.TimedOut)
		case t.request != nil:
			c.handleDeadline(t.request)
		default:
			c.handleEvent(routing.TimerFired{Token: t.token})
		}
	}
}

func (c *Dispatcher) schedule(at float64, token uint64, a *Attempt, r *Request) {
	heap.Push(&c.timers, timer{at: at, token: token, attempt: a, request: r})
}

// timer is one entry of the heap: for an attempt, its end, a request or the module.
type timer struct {
	at         float64
	token      uint64
	attempt    *Attempt
	request    *Request
	completion *Completion
}

type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}
