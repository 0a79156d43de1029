package experiment

import "container/heap"

// eventQueue runs functions at scheduled times of a virtual clock. Functions with the same time
// run in the order in which they were scheduled. It is not safe for concurrent use.
type eventQueue struct {
	now       float64 // ms
	scheduled int     // number of events scheduled so far
	pending   eventHeap
}

// event is a function with the time at which it runs.
type event struct {
	at       float64 // ms
	sequence int     // order of scheduling
	run      func()
}

// after schedules a function to run after a delay in ms. A negative delay counts as 0.
func (q *eventQueue) after(delay float64, run func()) {
	q.scheduled++
	heap.Push(&q.pending, event{at: q.now + max(0, delay), sequence: q.scheduled, run: run})
}

// empty reports whether no events are pending.
func (q *eventQueue) empty() bool { return len(q.pending) == 0 }

// advance removes the next event, sets the clock to its time, and returns its function. The
// queue must not be empty.
func (q *eventQueue) advance() (run func()) {
	next := heap.Pop(&q.pending).(event)
	q.now = next.at
	return next.run
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at < h[j].at
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
