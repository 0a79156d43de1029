// Package sampling decides, when a request has ended, whether its trace is retained (tail
// sampling). It does no I/O and reads no clock: callers pass times in Unix milliseconds.
//
// A trace is retained at once if there is a reason for it: its request failed, was rejected, was
// retried or was slower than the latency objective of its class, its client disconnected or
// samples the trace, or its class retains all traces. All other traces are ordinary, and each
// class has a rate of ordinary traces to sample.
//
// The ordinary traces of one class and one time window are sampled together, by bottom-k
// sampling: trace.ID.Order distributes IDs uniformly over (0, 1], and the traces with the lowest
// orders are kept as candidates. The lowest order that was dropped is the threshold; every trace
// of an order below it is a candidate. Therefore each sampled trace represents 1/threshold
// traces, independent of the sequence in which traces end, and routers that record the same trace
// make the same choice without communication.
//
// The traces of requests in flight and the candidates share one memory budget. If it is
// exceeded, the candidate with the highest order of all classes is evicted. The eviction lowers
// the threshold of the candidate's class, so that the weights stay correct. If no candidate is
// left, new requests are not traced. An untraced request whose trace would have been retained is
// counted as lost, and the next retained trace carries the number of traces lost before it.
package sampling

import (
	"container/heap"
	"math"

	"garnetline/internal/trace"
)

// Class is the sampling policy of one request class.
type Class struct {
	LatencyObjective  float64 // ms; slower traces are retained; zero means no objective
	OrdinaryPerSecond float64 // ordinary traces sampled per second
	// RetainAll retains every trace of the class. It is for classes with idempotency keys: a
	// router cannot know whether a request with such a key was sent to another router before,
	// and all partial traces of a retained trace are needed.
	RetainAll bool
}

// Counts holds the numbers of traces that a Sampler has handled since New returned it.
type Counts struct {
	Retained int64 // retained at once, independent of the sampling rate
	Ordinary int64 // ordinary traces of finished requests
	Sampled  int64 // ordinary traces that were retained when their window was closed
	Evicted  int64 // candidates that were dropped because the memory budget was exceeded
	Untraced int64 // requests that were not traced because the memory budget was exceeded
	Lost     int64 // traces to be retained that were not recorded, or that the caller passed to RecordLost
}

// Sampler decides which traces are retained. It is not safe for concurrent use.
type Sampler struct {
	Counts Counts

	windows        map[string]*classWindow // by class name
	defaultClass   Class
	maxBytes       int    // memory budget
	reservedBytes  int    // reserved for the traces of requests in flight
	candidateBytes int    // held by the candidates of all windows
	unreportedLost uint32 // number of lost traces that no retained trace reports yet
}

// New returns a Sampler with a memory budget of maxBytes. The keys of classes are class names. A
// class that is not in the map has the policy of defaultClass.
func New(maxBytes int, defaultClass Class, classes map[string]Class) *Sampler {
	s := &Sampler{windows: map[string]*classWindow{}}
	s.UpdateSettings(maxBytes, defaultClass, classes)
	return s
}

// UpdateSettings replaces the settings that were passed to New. Candidates stay. A smaller memory
// budget applies from the next call that reserves memory or adds a candidate.
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

// window returns the window of a class and creates it if the class has none yet.
func (s *Sampler) window(className string) *classWindow {
	if window := s.windows[className]; window != nil {
		return window
	}
	return s.addWindow(className)
}

// addWindow creates the window of a class, with the policy of the default class.
func (s *Sampler) addWindow(className string) *classWindow {
	window := newClassWindow(s.defaultClass)
	s.windows[className] = window
	return window
}

// Reserve reserves size bytes for the trace of a new request and evicts candidates if necessary.
// If Reserve returns false, the caller must not trace the request and must call RecordUntraced
// when the request ends.
func (s *Sampler) Reserve(size int) bool {
	for s.reservedBytes+s.candidateBytes+size > s.maxBytes {
		if !s.evictCandidate() {
			s.Counts.Untraced++
			return false
		}
	}
	s.reservedBytes += size
	return true
}

// evictCandidate drops the candidate with the highest order of all classes. It reports false if
// there is no candidate.
func (s *Sampler) evictCandidate() bool {
	var highest *classWindow // the window whose top candidate has the highest order
	for _, window := range s.windows {
		if len(window.candidates) == 0 {
			continue
		}
		if highest == nil || window.candidates[0].order > highest.candidates[0].order {
			highest = window
		}
	}
	if highest == nil {
		return false
	}
	s.candidateBytes -= highest.dropHighest()
	s.Counts.Evicted++
	return true
}

// RecordUntraced handles the end of a request for which Reserve returned false. If the request's
// trace would have been retained, it is counted as lost. RecordUntraced reads only the class, the
// times, the size allowance, the outcome and the numbers of attempts and retries of t.
func (s *Sampler) RecordUntraced(t *trace.Trace) {
	if retentionReasons(&s.window(t.Class).Class, t) != 0 {
		s.unreportedLost++
		s.Counts.Lost++
	}
}

// retentionReasons returns the reasons why a trace must be retained, apart from
// ReasonClientSampled. It returns 0 if there are none.
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

// Finish handles the end of a request for whose trace Reserve reserved size bytes, and releases
// these bytes. If the trace is retained at once, Finish sets its reasons and weight and returns
// it. If the trace is ordinary, Finish returns nil; if the trace is sampled, Tick or Close returns
// it when its window is closed. Before Finish, the caller must have called Tick with the time of
// the request's end or a later time in the same window.
func (s *Sampler) Finish(t *trace.Trace, size int) *trace.Trace {
	s.reservedBytes -= size
	window := s.windows[t.Class] // does not call s.window, to save each trace a function call
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

// addCandidate adds an ordinary trace with an order below the threshold to the candidates of its
// window. It then drops candidates that exceed the maximum number of candidates or the memory
// budget.
//
// Known fault: if new settings change the rate of a class to 0 while its window has candidates,
// the threshold becomes 0 and these candidates are sampled with an infinite weight.
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
	for s.reservedBytes+s.candidateBytes > s.maxBytes {
		if !s.evictCandidate() {
			return
		}
	}
}

// RecordLost records that the caller dropped a trace that Finish, Tick or Close returned. The
// trace is counted as lost unless it was only sampled. The next retained trace reports the number
// of lost traces that the dropped trace carried.
func (s *Sampler) RecordLost(t *trace.Trace) {
	s.unreportedLost += t.LostBefore
	if t.Reasons&^trace.ReasonSampled != 0 {
		s.unreportedLost++
		s.Counts.Lost++
	}
}

// attachLost sets the number of lost traces that a retained trace reports, and returns the trace.
func (s *Sampler) attachLost(t *trace.Trace) *trace.Trace {
	t.LostBefore = s.unreportedLost
	s.unreportedLost = 0
	return t
}

// Tick closes the windows that have ended at now, in Unix ms, begins their successors and returns
// the traces that were sampled in the closed windows.
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

// Close closes all windows and returns the traces that were sampled in them. It is called at the
// end of the program.
func (s *Sampler) Close() []*trace.Trace {
	var sampled []*trace.Trace
	for _, window := range s.windows {
		sampled = s.closeWindow(window, sampled)
	}
	return sampled
}

// closeWindow sets the reasons and weights of a window's candidates, appends the candidates to
// sampled, resets the window and returns the extended slice.
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

// Bytes returns the number of bytes that are reserved for requests in flight or held by
// candidates.
func (s *Sampler) Bytes() int { return s.reservedBytes + s.candidateBytes }
