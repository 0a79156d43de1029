// Package sampling decides whether the trace of a request is retained. It makes the decision when
// the request has ended (tail sampling). It does no I/O and reads no clock: callers pass times in
// Unix milliseconds.
//
// A trace is retained immediately in each of these cases: the request failed, was rejected, was
// retried or was slower than the latency objective of its class; the client disconnected or samples
// the trace; the class retains all traces. All other traces are called ordinary. Each class has a
// rate at which ordinary traces are sampled.
//
// The ordinary traces of one class and one time window are sampled together, by bottom-k sampling.
// The method trace.ID.Order distributes IDs uniformly over (0, 1]. The traces with the lowest orders
// are kept as candidates. The threshold is the lowest order of a dropped trace, so every trace with
// an order below the threshold is a candidate. Because orders are distributed uniformly, the share
// of these traces among all traces is about equal to the threshold. Therefore each sampled trace
// represents 1/threshold traces, independent of the sequence in which traces end. Routers that
// record the same trace make the same choice without communication.
//
// The traces of requests in flight and the candidates share one memory budget. If the budget is
// exceeded, the sampler evicts the candidate whose order is the highest among the candidates of all
// classes. The eviction lowers the threshold of the candidate's class, so that the weights stay
// correct. If no candidate is left, new requests are not traced. If an untraced request's trace
// would have been retained, the trace is counted as lost. The field LostBefore of the next retained
// trace contains the number of traces lost before it.
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
	// RetainAll retains every trace of the class. It is meant for classes with idempotency keys.
	// Requests with the same key belong to one trace, and all partial traces of a retained trace
	// are needed. A router cannot know whether another router has handled a request with the
	// same key, so it retains every trace of the class.
	RetainAll bool
}

// Counts holds the numbers of traces that a Sampler has handled since New returned it. An ordinary
// trace is a trace that is not retained immediately, but only if it is sampled. A candidate is an
// ordinary trace that is held until the end of its sampling window.
type Counts struct {
	Retained int64 // retained immediately, independent of the sampling rate
	Ordinary int64 // ordinary traces of finished requests
	Sampled  int64 // ordinary traces that were retained at the end of their sampling window
	Evicted  int64 // candidates that were dropped because the memory budget was exceeded
	Untraced int64 // requests that were not traced because the memory budget was exceeded
	Lost     int64 // traces that had a reason to be retained, but were not traced or were passed to RecordLost
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

// UpdateSettings replaces the settings that were passed to New. The current candidates stay. A
// smaller memory budget applies from the next call that reserves memory or adds a candidate.
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

// window returns the window of a class. It creates the window if the class has none.
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

// Reserve reserves size bytes for the trace of a new request. If necessary, it evicts candidates,
// that is, ordinary traces that are held until the end of their sampling window. If Reserve
// returns false, the caller must not trace the request and must call RecordUntraced when the
// request ends.
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

// evictCandidate drops the candidate whose order is the highest among the candidates of all
// classes. A candidate is an ordinary trace that is held until the end of its sampling window.
// evictCandidate reports false if there is no candidate.
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
// trace would have been retained, it is counted as lost. Of t, RecordUntraced reads only the
// class, the times, the size allowance, the outcome, the number of attempts and the number of
// retries.
func (s *Sampler) RecordUntraced(t *trace.Trace) {
	if retentionReasons(&s.window(t.Class).Class, t) != 0 {
		s.unreportedLost++
		s.Counts.Lost++
	}
}

// retentionReasons returns the reasons why a trace must be retained, except ReasonClientSampled.
// It returns 0 if there is no such reason.
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

// Finish handles the end of a request. It releases the memory that Reserve reserved for the
// trace; size is the reserved size in bytes. If the trace is retained immediately, Finish sets
// the reasons and the weight of the trace and returns it. If the trace is ordinary, Finish
// returns nil. If an ordinary trace is sampled, Tick or Close returns it when its window is
// closed. The caller must call Tick before Finish, with the time of the request's end or a later
// time in the same window.
func (s *Sampler) Finish(t *trace.Trace, size int) *trace.Trace {
	s.reservedBytes -= size
	window := s.windows[t.Class] // not s.window, which would cost a further function call for each trace
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
// window. It then drops candidates until the window has at most maxCandidates candidates and the
// memory in use is within the memory budget.
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

// RecordLost records that the caller dropped a trace that Finish, Tick or Close returned. The trace
// is counted as lost unless sampling was the only reason to retain it. If the dropped trace itself
// reported lost traces, the next retained trace reports them.
func (s *Sampler) RecordLost(t *trace.Trace) {
	s.unreportedLost += t.LostBefore
	if t.Reasons&^trace.ReasonSampled != 0 {
		s.unreportedLost++
		s.Counts.Lost++
	}
}

// attachLost moves the number of unreported lost traces to a retained trace, which reports them.
// It returns the trace.
func (s *Sampler) attachLost(t *trace.Trace) *trace.Trace {
	t.LostBefore = s.unreportedLost
	s.unreportedLost = 0
	return t
}

// Tick closes the windows that have ended by the time now, in Unix ms, and begins the next
// windows. It returns the traces that were sampled in the closed windows.
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

// Close closes all windows and returns the traces that were sampled in them. The caller must
// call Close at the end of the program.
func (s *Sampler) Close() []*trace.Trace {
	var sampled []*trace.Trace
	for _, window := range s.windows {
		sampled = s.closeWindow(window, sampled)
	}
	return sampled
}

// closeWindow samples all candidates of a window. It sets their reasons and weights and appends
// them to the slice sampled. It then resets the window and returns the extended slice.
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
