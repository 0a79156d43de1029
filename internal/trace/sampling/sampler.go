// Package sampling decides, when a request has ended, whether its trace is kept. It does
// no I/O and has no clock: the caller tells the time, in Unix milliseconds.
//
// What failed, was refused, was tried again or was slower than its class wants is
// kept always and at once. Of the ordinary rest each class has a budget a second. A
// class's traces of one window are drawn by trace.ID.Order: those with the lowest
// orders are held, and the lowest order that was turned away is the bound under which
// all were held. So each held trace stands for one over that bound, whatever came
// when, and routers that meet the same trace draw alike without a word between them.
//
// The memory for what is open and for what is held is one budget. Where it does not
// suffice ordinary traces go first, those of the highest order of all classes, which
// lowers their class's bound and so keeps the weights right. Where even that does not
// do, the request is not traced; if it would have been kept, it is counted, and the
// next kept trace says how many were lost before it.
package sampling

import (
	"container/heap"
	"math"

	"garnetline/internal/trace"
)

// Class is what a Keeper knows of one class.
type Class struct {
	LatencyObjective  float64 // ms; slower traces are kept
	OrdinaryPerSecond float64 // ordinary traces kept a second
	// All of them are kept: a router can't know whether a keyed request was tried at
	// another one before, and the pieces of a trace that is kept are all wanted.
	RetainAll bool
}

// window is how long ordinary traces of a class are drawn together, ms, or longer
// until three are due: the weight of fewer, though right in the mean, varies without a
// bound. No window is longer than longest.
const (
	minWindowLength    = 1000.0
	minTracesPerWindow = 3.0
	maxWindowLength    = 60_000.0
)

// Keeper decides what is kept. It is not safe for concurrent use.
type Sampler struct {
	windows        map[string]*classWindow
	defaultClass   Class
	maxBytes       int // bytes
	openBytes      int // bytes of traces whose requests are open
	candidateBytes int // bytes of ordinary traces that are not decided
	unreportedLost uint32
	Counts         Counts
}

// Counts tells what a Keeper did.
type Counts struct {
	Retained, Ordinary, Sampled int64 // kept always; ordinary ones met; of those, kept
	Evicted                     int64 // ordinary ones given up for room
	Untraced                    int64 // requests for which there was no room
	Lost                        int64 // of those, the ones that had to be kept
}

// draw is a window of one class.
type classWindow struct {
	Class
	startedAt     float64
	threshold     float64 // the lowest order that was turned away; 1: none
	maxCandidates int     // how many may be held
	length        float64 // length of the window, ms
	candidates    candidateHeap
}

// New returns a Keeper that holds most bytes. Classes that are not named have other.
func New(most int, other Class, classes map[string]Class) *Sampler {
	k := &Sampler{windows: map[string]*classWindow{}, maxBytes: most}
	k.UpdateSettings(most, other, classes)
	return k
}

// Adopt goes over to other settings. What is held stays, drawn as it was.
func (k *Sampler) UpdateSettings(most int, other Class, classes map[string]Class) {
	k.maxBytes, k.defaultClass = most, other
	for name, c := range classes {
		k.window(name).configure(c)
	}
	for name, d := range k.windows {
		if _, named := classes[name]; !named {
			d.configure(other)
		}
	}
}

func (k *Sampler) window(name string) *classWindow {
	d := k.windows[name]
	if d == nil {
		d = &classWindow{threshold: 1}
		d.configure(k.defaultClass)
		k.windows[name] = d
	}
	return d
}

func (d *classWindow) configure(c Class) {
	d.Class, d.length = c, minWindowLength
	if c.OrdinaryPerSecond > 0 {
		d.length = min(max(minWindowLength, minTracesPerWindow*1000/c.OrdinaryPerSecond), maxWindowLength)
	}
	d.maxCandidates = int(math.Ceil(c.OrdinaryPerSecond * d.length / 1000))
}

// Open asks for room for a request's trace. Without it the request is not traced, and
// Missed is to be told its end.
func (k *Sampler) Reserve(size int) bool {
	for k.openBytes+k.candidateBytes+size > k.maxBytes {
		if !k.evictCandidate() {
			k.Counts.Untraced++
			return false
		}
	}
	k.openBytes += size
	return true
}

// push gives up the ordinary trace of the highest order of all classes.
func (k *Sampler) evictCandidate() bool {
	var from *classWindow
	for _, d := range k.windows {
		if len(d.candidates) > 0 && (from == nil || d.candidates[0].order > from.candidates[0].order) {
			from = d
		}
	}
	if from == nil {
		return false
	}
	k.dropHighest(from)
	k.Counts.Evicted++
	return true
}

// turnAway gives up the highest of a class.
func (k *Sampler) dropHighest(d *classWindow) {
	e := heap.Pop(&d.candidates).(candidate)
	d.threshold = min(d.threshold, e.order)
	k.candidateBytes -= e.size
}

// Missed takes the end of a request that was not traced; took is in ms, less what its
// bytes allow.
func (k *Sampler) RecordUntraced(class string, took float64, outcome trace.Outcome, attempts int, try uint8) {
	if k.retentionReasons(k.window(class), took, outcome, attempts, try) != 0 {
		k.unreportedLost++
		k.Counts.Lost++
	}
}

// why tells why a request must be kept; 0: it is ordinary.
func (k *Sampler) retentionReasons(d *classWindow, took float64, o trace.Outcome, attempts int, try uint8) (why trace.Reason) {
	switch o {
	case trace.Failed, trace.ClientDisconnected:
		why |= trace.ReasonFailed
	case trace.Rejected:
		why |= trace.ReasonRejected
	}
	if attempts > 1 || try > 0 {
		why |= trace.ReasonRetried
	}
	if d.RetainAll {
		why |= trace.ReasonIdempotent
	}
	if d.LatencyObjective > 0 && took > d.LatencyObjective {
		why |= trace.ReasonSlow
	}
	return why
}

// End decides on a trace for which Open gave room of size, or holds it until its
// window is over. It returns t where it is kept, with the reason and the weight.
// Tick must have been called with this time or a later one of the same window.
func (k *Sampler) Finish(t *trace.Trace, size int) *trace.Trace {
	k.openBytes -= size
	d := k.window(t.Class)
	t.Reasons = k.retentionReasons(d, t.Duration()-t.SizeAllowance, t.Outcome, int(t.Attempts), t.Retry)
	if t.ClientSampled {
		t.Reasons |= trace.ReasonClientSampled
	}
	if t.Reasons != 0 {
		t.Weight = 1
		k.Counts.Retained++
		return k.attachLost(t)
	}
	k.Counts.Ordinary++
	order := t.ID.Order()
	if order >= d.threshold {
		return nil
	}
	if d.maxCandidates == 0 {
		d.threshold = 0
		return nil
	}
	size = t.Size()
	heap.Push(&d.candidates, candidate{order, size, t})
	k.candidateBytes += size
	for len(d.candidates) > d.maxCandidates {
		k.dropHighest(d)
	}
	for k.openBytes+k.candidateBytes > k.maxBytes && k.evictCandidate() {
	}
	return nil
}

// Lose takes back a trace that was returned as kept and could not be taken.
func (k *Sampler) RecordLost(t *trace.Trace) {
	k.unreportedLost += t.LostBefore
	if t.Reasons&^trace.ReasonSampled != 0 {
		k.unreportedLost++
		k.Counts.Lost++
	}
}

// mark has the next kept trace say what was lost before it.
func (k *Sampler) attachLost(t *trace.Trace) *trace.Trace {
	t.LostBefore, k.unreportedLost = k.unreportedLost, 0
	return t
}

// Tick closes the windows that are over and returns what was drawn in them.
func (k *Sampler) Tick(now float64) (kept []*trace.Trace) {
	for _, d := range k.windows {
		if now >= d.startedAt && now < d.startedAt+d.length {
			continue
		}
		kept = k.closeWindow(d, kept)
		d.startedAt = now - math.Mod(now, d.length)
	}
	return kept
}

// Close ends all windows, as at the end of the program.
func (k *Sampler) Close() (kept []*trace.Trace) {
	for _, d := range k.windows {
		kept = k.closeWindow(d, kept)
	}
	return kept
}

func (k *Sampler) closeWindow(d *classWindow, kept []*trace.Trace) []*trace.Trace {
	for _, e := range d.candidates {
		e.trace.Reasons, e.trace.Weight = trace.ReasonSampled, 1/d.threshold
		k.candidateBytes -= e.size
		k.Counts.Sampled++
		kept = append(kept, k.attachLost(e.trace))
	}
	d.candidates, d.threshold = d.candidates[:0], 1
	return kept
}

// Bytes returns how much is held for traces that are open or not decided.
func (k *Sampler) Bytes() int { return k.openBytes + k.candidateBytes }

// entry is a held trace.
type candidate struct {
	order float64
	size  int
	trace *trace.Trace
}

// byOrder is a heap with the highest order on top: what is given up next.
type candidateHeap []candidate

func (h candidateHeap) Len() int           { return len(h) }
func (h candidateHeap) Less(i, j int) bool { return h[i].order > h[j].order }
func (h candidateHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *candidateHeap) Push(x any)        { *h = append(*h, x.(candidate)) }
func (h *candidateHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = candidate{}
	*h = old[:len(old)-1]
	return x
}
