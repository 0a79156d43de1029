package sampling

import (
	"container/heap"
	"math"

	"garnetline/internal/trace"
)

// The length of a window, in which the ordinary traces of a class are sampled together. It is
// minWindowLength, or longer until minTracesPerWindow are due: the weight of fewer traces is
// right in the mean but varies without a bound. BenchmarkSampler and
// TestSampledWeightsAreUnbiased measure the memory and the error of the weights.
const (
	minWindowLength    = 1000.0   // ms
	maxWindowLength    = 60_000.0 // ms
	minTracesPerWindow = 3.0
)

// noThreshold is the threshold of a window in which no trace was dropped: no order is above it.
const noThreshold = 1.0

// classWindow is the current window of one class.
type classWindow struct {
	Class
	startedAt     float64 // Unix ms
	length        float64 // ms
	threshold     float64 // lowest order that was dropped, or noThreshold
	maxCandidates int
	candidates    candidateHeap
}

func newClassWindow(class Class) *classWindow {
	window := &classWindow{threshold: noThreshold}
	window.configure(class)
	return window
}

// configure sets the policy of the class. Candidates beyond a smaller maximum stay until the
// next one is added.
func (w *classWindow) configure(class Class) {
	w.Class = class
	w.length = minWindowLength
	if class.OrdinaryPerSecond > 0 {
		untilEnough := minTracesPerWindow * 1000 / class.OrdinaryPerSecond
		w.length = min(max(minWindowLength, untilEnough), maxWindowLength)
	}
	w.maxCandidates = int(math.Ceil(class.OrdinaryPerSecond * w.length / 1000))
}

// contains reports whether now, in Unix ms, is within the window.
func (w *classWindow) contains(now float64) bool {
	return now >= w.startedAt && now < w.startedAt+w.length
}

// dropHighest drops the candidate of the highest order, which lowers the threshold to it, and
// returns how many bytes it held.
func (w *classWindow) dropHighest() int {
	dropped := heap.Pop(&w.candidates).(candidate)
	w.threshold = min(w.threshold, dropped.order)
	return dropped.size
}

// reset empties the window. Its memory is used again by the next one.
func (w *classWindow) reset() {
	w.candidates = w.candidates[:0]
	w.threshold = noThreshold
}

// candidate is an ordinary trace that is retained unless one of a lower order displaces it.
type candidate struct {
	order float64 // trace.ID.Order
	size  int     // bytes
	trace *trace.Trace
}

// candidateHeap is a heap with the highest order on top, the next candidate to be dropped.
type candidateHeap []candidate

// Len implements heap.Interface.
func (h candidateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h candidateHeap) Less(i, j int) bool { return h[i].order > h[j].order }

// Swap implements heap.Interface.
func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *candidateHeap) Push(added any) { *h = append(*h, added.(candidate)) }

// Pop implements heap.Interface. It clears the place that becomes free, so that the trace can
// be collected.
func (h *candidateHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = candidate{}
	*h = (*h)[:last]
	return popped
}
