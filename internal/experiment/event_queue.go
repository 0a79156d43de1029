package experiment

import "container/heap"

// eventQueue runs functions at times of a virtual clock, those of the same time in the order
// in which they were scheduled. It is not safe for concurrent use.
type eventQueue struct {
	now       float64 // ms
	scheduled int     // events so far
	pending   eventHeap
}

// event is a function that runs at a time.
type event struct {
	at       float64
	sequence int // order of scheduling
	run      func()
}

// after schedules a function after a delay in ms, which is 0 if it is negative.
func (q *eventQueue) after(delay float64, run func()) {
	q.scheduled++
	heap.Push(&q.pending, event{at: q.now + max(0, delay), sequence: q.scheduled, run: run})
}

// empty tells whether nothing is scheduled any more.
func (q *eventQueue) empty() bool { return len(q.pending) == 0 }

// advance sets the clock to the time of the next event, and returns its function.
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
