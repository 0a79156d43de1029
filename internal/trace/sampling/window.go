package sampling

import (
	"container/heap"
	"math"

	"garnetline/internal/trace"
)

// The ordinary traces of a class are sampled together in windows of equal length. The length is
// minWindowLength if the class's rate yields at least minTracesPerWindow traces in that time.
// Otherwise the window is longer, up to maxWindowLength. With fewer sampled traces per window than
// minTracesPerWindow, weights are still correct on average, but their variance is unbounded.
// BenchmarkSampler reports the memory that a sampler holds, and TestSampledWeightsAreUnbiased
// limits the error of the weights.
const (
	minWindowLength    = 1000.0   // ms
	maxWindowLength    = 60_000.0 // ms
	minTracesPerWindow = 3.0
)

// noThreshold is the threshold of a window in which no trace was dropped. No order exceeds it.
const noThreshold = 1.0

// classWindow is the current window of one class.
type classWindow struct {
	Class
	startedAt     float64 // Unix ms
	length        float64 // ms
	threshold     float64 // lowest order of a dropped trace, or noThreshold
	maxCandidates int     // the sampling rate times the length, rounded up
	candidates    candidateHeap
}

func newClassWindow(class Class) *classWindow {
	window := &classWindow{threshold: noThreshold}
	window.configure(class)
	return window
}

// configure sets the policy of the class. If the new maximum number of candidates is lower,
// excess candidates stay until the next candidate is added.
func (w *classWindow) configure(class Class) {
	w.Class = class
	w.length = minWindowLength
	if class.OrdinaryPerSecond > 0 {
		lengthForMinTraces := minTracesPerWindow * 1000 / class.OrdinaryPerSecond
		w.length = min(max(minWindowLength, lengthForMinTraces), maxWindowLength)
	}
	w.maxCandidates = int(math.Ceil(class.OrdinaryPerSecond * w.length / 1000))
}

// contains reports whether the time now, in Unix ms, is within the window.
func (w *classWindow) contains(now float64) bool {
	return now >= w.startedAt && now < w.startedAt+w.length
}

// dropHighest drops the candidate with the highest order, lowers the threshold to that order and
// returns the number of bytes that the candidate held.
func (w *classWindow) dropHighest() int {
	dropped := heap.Pop(&w.candidates).(candidate)
	w.threshold = min(w.threshold, dropped.order)
	return dropped.size
}

// reset removes all candidates and sets the threshold to noThreshold. The next window reuses the
// memory.
func (w *classWindow) reset() {
	w.candidates = w.candidates[:0]
	w.threshold = noThreshold
}

// candidate is an ordinary trace that may be dropped because of its high order. If it is not
// dropped, it is retained when its window is closed.
type candidate struct {
	order float64 // trace.ID.Order
	size  int     // bytes
	trace *trace.Trace
}

// candidateHeap is a heap with the highest order on top. The candidate on top is the next
// candidate to be dropped.
type candidateHeap []candidate

// Len implements heap.Interface.
func (h candidateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h candidateHeap) Less(i, j int) bool { return h[i].order > h[j].order }

// Swap implements heap.Interface.
func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *candidateHeap) Push(added any) { *h = append(*h, added.(candidate)) }

// Pop implements heap.Interface. It clears the slice element that becomes unused, so that the
// trace can be garbage collected.
func (h *candidateHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = candidate{}
	*h = (*h)[:last]
	return popped
}
