// Package analysis finds what failed attempts have in common: which server, fill source, pair
// of both, or router took part in more of them than chance explains.
package analysis

import (
	"cmp"
	"fmt"
	"slices"

	"garnetline/internal/trace"
	"garnetline/routing"
)

// SuspectKind is what a Suspect is, as it is printed.
type SuspectKind string

// The kinds of suspects.
const (
	KindServer     SuspectKind = "server"
	KindFillSource SuspectKind = "source"
	KindPair       SuspectKind = "pair" // a server together with the source of its fill
	KindRouter     SuspectKind = "router"
)

// Suspect is one thing that failed attempts have in common. Numbers of attempts are weighted: an
// attempt counts as often as its trace stands for.
type Suspect struct {
	Kind           SuspectKind
	Name           string
	Failed         float64 // failed attempts that it took part in
	Total          float64 // attempts that it took part in
	FailedWithout  float64 // failed attempts that it took no part in
	TotalWithout   float64 // attempts that it took no part in
	Rate           float64 // Failed / Total
	RateWithout    float64 // FailedWithout / TotalWithout
	ConfidenceLow  float64 // of Rate - RateWithout, the lower bound at 95% confidence
	ConfidenceHigh float64 // and the upper bound
}

// Line returns the suspect as a line of a table, without a newline.
func (s Suspect) Line() string {
	return fmt.Sprintf("%-6s  %-28s %6.1f%% of %-8.0f %6.1f%% of %-8.0f %+6.1f to %+.1f points",
		s.Kind, s.Name, 100*s.Rate, s.Total, 100*s.RateWithout, s.TotalWithout, 100*s.ConfidenceLow, 100*s.ConfidenceHigh)
}

// attemptStatus is what an attempt says about those who took part in it.
type attemptStatus uint8

const (
	statusUnknown attemptStatus = iota // canceled or not sent: it says nothing
	statusSucceeded
	statusFailed
)

// statusOf returns the status of an attempt with a result. A rejection is no failure: a server
// that sheds load works as it should.
func statusOf(result routing.Result) attemptStatus {
	switch result {
	case routing.Served, routing.NotCached, routing.Rejected:
		return statusSucceeded
	case routing.Canceled, routing.NotSent:
		return statusUnknown
	}
	return statusFailed
}

// suspectKey identifies a suspect.
type suspectKey struct {
	kind SuspectKind
	name string
}

// attemptCounts counts attempts, weighted and as observed: an attempt of weight 100 is one
// observation.
type attemptCounts struct {
	weightedFailed float64
	weightedTotal  float64
	observedFailed float64
	observed       float64
}

func (c *attemptCounts) record(weight float64, status attemptStatus) {
	c.weightedTotal += weight
	c.observed++
	if status == statusFailed {
		c.weightedFailed += weight
		c.observedFailed++
	}
}

// without returns the counts of the attempts that are in c and not in part.
func (c *attemptCounts) without(part *attemptCounts) attemptCounts {
	return attemptCounts{
		weightedFailed: c.weightedFailed - part.weightedFailed,
		weightedTotal:  c.weightedTotal - part.weightedTotal,
		observedFailed: c.observedFailed - part.observedFailed,
		observed:       c.observed - part.observed,
	}
}

// Finder counts the attempts of traces by who took part in them, and finds suspects. It is not
// safe for concurrent use.
type Finder struct {
	counts map[suspectKey]*attemptCounts
	total  attemptCounts
}

// New returns an empty Finder.
func New() *Finder { return &Finder{counts: map[suspectKey]*attemptCounts{}} }

// Add counts the attempts of a trace, each with the trace's weight. Attempts that were canceled
// or not sent are passed over.
func (f *Finder) Add(t *trace.Trace) {
	for _, span := range t.Spans {
		if span.Kind != trace.Attempt {
			continue
		}
		if status := statusOf(routing.Result(span.Result)); status != statusUnknown {
			f.addAttempt(t, span, status)
		}
	}
}

func (f *Finder) addAttempt(t *trace.Trace, attempt trace.Span, status attemptStatus) {
	server := attempt.Server.String()
	f.total.record(t.Weight, status)
	f.countsOf(KindServer, server).record(t.Weight, status)
	f.countsOf(KindRouter, t.Router).record(t.Weight, status)
	if attempt.FillSource != attempt.Server {
		source := attempt.FillSource.String()
		f.countsOf(KindFillSource, source).record(t.Weight, status)
		f.countsOf(KindPair, server+" from "+source).record(t.Weight, status)
	}
}

// countsOf returns the counts of a suspect, which are made when it is first met.
func (f *Finder) countsOf(kind SuspectKind, name string) *attemptCounts {
	key := suspectKey{kind, name}
	counts := f.counts[key]
	if counts == nil {
		counts = &attemptCounts{}
		f.counts[key] = counts
	}
	return counts
}

// Suspects returns all that took part in failed attempts, except what took part in every
// attempt. The one that most surely raises the failure rate, that is with the highest
// ConfidenceLow, comes first.
func (f *Finder) Suspects() []Suspect {
	var suspects []Suspect
	for key, counts := range f.counts {
		without := f.total.without(counts)
		if counts.observedFailed == 0 || without.observed <= 0 {
			continue
		}
		suspects = append(suspects, newSuspect(key, counts, &without))
	}
	slices.SortFunc(suspects, func(a, b Suspect) int {
		return cmp.Or(
			cmp.Compare(b.ConfidenceLow, a.ConfidenceLow),
			cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return suspects
}

func newSuspect(key suspectKey, with, without *attemptCounts) Suspect {
	// A difference of sums of weights may be just below zero.
	failedWithout := max(without.weightedFailed, 0)
	suspect := Suspect{
		Kind:          key.kind,
		Name:          key.name,
		Failed:        with.weightedFailed,
		Total:         with.weightedTotal,
		FailedWithout: failedWithout,
		TotalWithout:  without.weightedTotal,
		Rate:          with.weightedFailed / with.weightedTotal,
		RateWithout:   failedWithout / without.weightedTotal,
	}
	suspect.ConfidenceLow, suspect.ConfidenceHigh = differenceInterval(
		suspect.Rate, with.observed, suspect.RateWithout, without.observed)
	return suspect
}
