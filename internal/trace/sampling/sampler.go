// Package sampling decides, when a request has ended, whether its trace is retained (tail
// sampling). It does no I/O and has no clock: the caller passes the time, in Unix
// milliseconds.
//
// A trace is retained at once if its request failed, was rejected, was retried or was slower
// than the latency objective of its class. All other traces are ordinary, and each class has
// a rate of ordinary traces to sample. The ordinary traces of one class and one window are
// sampled by trace.ID.Order, which spreads ids evenly over (0, 1] (bottom-k sampling): those
// of the lowest orders are the candidates, and the lowest order that was dropped is the
// threshold below which every trace met is a candidate. So each sampled trace stands for
// 1/threshold traces, in whatever sequence they came, and routers that meet the same trace
// choose alike without talking to each other.
//
// Traces of requests in flight and candidates share one memory budget. Where it is exceeded,
// the candidate of the highest order of all classes is evicted, which lowers the threshold of
// its class and so keeps the weights right. If no candidate is left, the request is not
// traced; one that would have been retained is counted as lost, and the next retained trace
// carries the number of those lost before it.
package sampling

import (
	"container/heap"
	"math"

	"garnetline/internal/trace"
)

// Class is the sampling policy of one request class.
type Class struct {
	LatencyObjective  float64 // ms; slower traces are retained; 0: no objective
	OrdinaryPerSecond float64 // ordinary traces sampled per second
	// RetainAll retains every trace of the class: a router cannot know whether a request with
	// an idempotency key was sent to another router before, and all partial traces of a
	// retained trace are wanted.
	RetainAll bool
}

// Counts is what a Sampler has done since it was made, in traces.
type Counts struct {
	Retained int64 // retained at once, whatever the rate
	Ordinary int64 // ordinary traces that finished
	Sampled  int64 // ordinary traces that were retained as candidates of their window
	Evicted  int64 // candidates that were dropped for lack of memory
	Untraced int64 // requests that were not traced for lack of memory
	Lost     int64 // traces to be retained that were untraced or that the caller could not accept
}

// Sampler decides which traces are retained. It is not safe for concurrent use.
type Sampler struct {
	Counts Counts

	windows        map[string]*classWindow // by class name
	defaultClass   Class
	maxBytes       int
	openBytes      int    // reserved for the traces of requests in flight
	candidateBytes int    // of ordinary traces whose windows are not over
	unreportedLost uint32 // lost traces that no retained trace carries yet
}

// New returns a Sampler that holds at most maxBytes. Classes that the map does not name follow
// defaultClass.
func New(maxBytes int, defaultClass Class, classes map[string]Class) *Sampler {
	s := &Sampler{windows: map[string]*classWindow{}}
	s.UpdateSettings(maxBytes, defaultClass, classes)
	return s
}

// UpdateSettings replaces the settings given to New. Candidates stay, and a memory budget that
// shrank is met with the next trace.
func (s *Sampler) UpdateSettings(maxBytes int, defaultClass Class, classes map[string]Class) {
	s.maxBytes = maxBytes
	s.defaultClass = defaultClass
	for name, class := range classes {
		s.window(name).configure(class)
	}
	for name, window := range s.windows {
		if _, named := classes[name]; !named {
			window.configure(defaultClass)
		}
	}
}

// window returns the window of a class, which is made when the class is first met.
func (s *Sampler) window(className string) *classWindow {
	if window := s.windows[className]; window != nil {
		return window
	}
	return s.addWindow(className)
}

func (s *Sampler) addWindow(className string) *classWindow {
	window := newClassWindow(s.defaultClass)
	s.windows[className] = window
	return window
}

// Reserve reserves size bytes for the trace of a new request and evicts candidates for it. If
// it reports false the request must not be traced, and its end is passed to RecordUntraced.
func (s *Sampler) Reserve(size int) bool {
	for s.openBytes+s.candidateBytes+size > s.maxBytes {
		if !s.evictCandidate() {
			s.Counts.Untraced++
			return false
		}
	}
	s.openBytes += size
	return true
}

// evictCandidate drops the candidate of the highest order of all classes and reports whether
// there was one.
func (s *Sampler) evictCandidate() bool {
	var fullest *classWindow
	for _, window := range s.windows {
		if len(window.candidates) == 0 {
			continue
		}
		if fullest == nil || window.candidates[0].order > fullest.candidates[0].order {
			fullest = window
		}
	}
	if fullest == nil {
		return false
	}
	s.candidateBytes -= fullest.dropHighest()
	s.Counts.Evicted++
	return true
}

// RecordUntraced handles the end of a request for which Reserve reported false. Of t only the
// class, the times, the outcome and the numbers of attempts and retries are read.
func (s *Sampler) RecordUntraced(t *trace.Trace) {
	if retentionReasons(&s.window(t.Class).Class, t) != 0 {
		s.unreportedLost++
		s.Counts.Lost++
	}
}

// retentionReasons returns why a trace must be retained, or 0 if it is ordinary.
func retentionReasons(class *Class, t *trace.Trace) trace.Reason {
	var reasons trace.Reason
	switch t.Outcome {
	case trace.Failed, trace.ClientDisconnected:
		reasons |= trace.ReasonFailed
	case trace.Rejected:
		reasons |= trace.ReasonRejected
	}
	if t.Attempts > 1 || t.Retry > 0 {
		reasons |= trace.ReasonRetried
	}
	if class.RetainAll {
		reasons |= trace.ReasonIdempotent
	}
	if class.LatencyObjective > 0 && t.Duration()-t.SizeAllowance > class.LatencyObjective {
		reasons |= trace.ReasonSlow
	}
	return reasons
}

// Finish handles the end of a request for whose trace Reserve reserved size bytes. It returns t
// with its reasons and weight if the trace is retained at once, and nil if it is ordinary: Tick
// returns it when its window is over, if it is sampled. Tick must have been called with this
// time or a later one of the same window.
func (s *Sampler) Finish(t *trace.Trace, size int) *trace.Trace {
	s.openBytes -= size
	window := s.windows[t.Class] // not by window, a call that each trace would pay for
	if window == nil {
		window = s.addWindow(t.Class)
	}
	t.Reasons = retentionReasons(&window.Class, t)
	if t.ClientSampled {
		t.Reasons |= trace.ReasonClientSampled
	}
	if t.Reasons != 0 {
		t.Weight = 1
		s.Counts.Retained++
		return s.attachLost(t)
	}
	s.Counts.Ordinary++
	if order := t.ID.Order(); order < window.threshold {
		s.addCandidate(window, t, order)
	}
	return nil
}

// addCandidate adds an ordinary trace of an order below the threshold to the candidates of its
// window, and drops what exceeds the number of candidates or the memory budget.
//
// Known fault: where settings take a class's rate to 0 within a window that has candidates, the
// threshold becomes 0 and they are sampled with an infinite weight.
func (s *Sampler) addCandidate(window *classWindow, t *trace.Trace, order float64) {
	if window.maxCandidates == 0 {
		window.threshold = 0
		return
	}
	size := t.Size()
	heap.Push(&window.candidates, candidate{order: order, size: size, trace: t})
	s.candidateBytes += size
	for len(window.candidates) > window.maxCandidates {
		s.candidateBytes -= window.dropHighest()
	}
	for s.openBytes+s.candidateBytes > s.maxBytes {
		if !s.evictCandidate() {
			return
		}
	}
}

// RecordLost takes back a trace that Finish, Tick or Close returned and that the caller could
// not accept. One that had to be retained is counted as lost, and what it would have reported
// as lost before it is left for the next one.
func (s *Sampler) RecordLost(t *trace.Trace) {
	s.unreportedLost += t.LostBefore
	if t.Reasons&^trace.ReasonSampled != 0 {
		s.unreportedLost++
		s.Counts.Lost++
	}
}

// attachLost makes a retained trace carry the number of traces that were lost before it.
func (s *Sampler) attachLost(t *trace.Trace) *trace.Trace {
	t.LostBefore = s.unreportedLost
	s.unreportedLost = 0
	return t
}

// Tick closes the windows that are over at now, in Unix ms, and returns the traces that were
// sampled in them.
func (s *Sampler) Tick(now float64) []*trace.Trace {
	var sampled []*trace.Trace
	for _, window := range s.windows {
		if window.contains(now) {
			continue
		}
		sampled = s.closeWindow(window, sampled)
		window.startedAt = now - math.Mod(now, window.length)
	}
	return sampled
}

// Close closes all windows, as at the end of the program, and returns the traces that were
// sampled in them.
func (s *Sampler) Close() []*trace.Trace {
	var sampled []*trace.Trace
	for _, window := range s.windows {
		sampled = s.closeWindow(window, sampled)
	}
	return sampled
}

// closeWindow appends the candidates of a window, with their weights, to sampled.
func (s *Sampler) closeWindow(window *classWindow, sampled []*trace.Trace) []*trace.Trace {
	for _, candidate := range window.candidates {
		candidate.trace.Reasons = trace.ReasonSampled
		candidate.trace.Weight = 1 / window.threshold
		s.candidateBytes -= candidate.size
		s.Counts.Sampled++
		sampled = append(sampled, s.attachLost(candidate.trace))
	}
	window.reset()
	return sampled
}

// Bytes returns how many bytes are reserved for requests in flight or held by candidates.
func (s *Sampler) Bytes() int { return s.openBytes + s.candidateBytes }
