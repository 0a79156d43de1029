// Package analysis finds the servers, fill sources, pairs of server and fill source, and routers
// whose attempts fail more often than chance explains. The package calls the server, fill
// source, pair and router of an attempt its participants.
package analysis

import (
	"cmp"
	"fmt"
	"slices"

	"garnetline/internal/trace"
	"garnetline/routing"
)

// SuspectKind is the kind of a Suspect. Its value is the printed name of the kind.
type SuspectKind string

// The kinds of suspects.
const (
	KindServer     SuspectKind = "server"
	KindFillSource SuspectKind = "source"
	KindPair       SuspectKind = "pair" // a server together with the source of its fill
	KindRouter     SuspectKind = "router"
)

// Suspect is a server, fill source, pair or router that took part in failed attempts. Numbers of
// attempts are weighted: each attempt adds the Weight of its trace, which is the number of traces
// that this trace represents after sampling.
type Suspect struct {
	Kind           SuspectKind
	Name           string
	Failed         float64 // failed attempts that the suspect took part in
	Total          float64 // attempts that the suspect took part in
	FailedWithout  float64 // failed attempts without the suspect
	TotalWithout   float64 // attempts without the suspect
	Rate           float64 // Failed / Total
	RateWithout    float64 // FailedWithout / TotalWithout
	ConfidenceLow  float64 // lower bound of Rate - RateWithout at 95% confidence
	ConfidenceHigh float64 // upper bound of Rate - RateWithout at 95% confidence
}

// Line returns the suspect as a line of a table, without a trailing newline.
func (s Suspect) Line() string {
	return fmt.Sprintf("%-6s  %-28s %6.1f%% of %-8.0f %6.1f%% of %-8.0f %+6.1f to %+.1f points",
		s.Kind, s.Name, 100*s.Rate, s.Total, 100*s.RateWithout, s.TotalWithout, 100*s.ConfidenceLow, 100*s.ConfidenceHigh)
}

// attemptStatus tells whether an attempt succeeded or failed. The status applies to all
// participants of the attempt.
type attemptStatus uint8

const (
	statusUnknown attemptStatus = iota // canceled or not sent; the attempt is not counted
	statusSucceeded
	statusFailed
)

// statusOf returns the status of an attempt with the given result. A rejection counts as a
// success, because a server that sheds load works as intended.
func statusOf(result routing.Result) attemptStatus {
	switch result {
	case routing.Served, routing.NotCached, routing.Rejected:
		return statusSucceeded
	case routing.Canceled, routing.NotSent:
		return statusUnknown
	}
	return statusFailed
}

// suspectKey identifies a suspect in Finder.counts.
type suspectKey struct {
	kind SuspectKind
	name string
}

// attemptCounts counts attempts, both weighted and unweighted. An attempt of weight 100 adds 100
// to the weighted counts and 1 to the observed counts.
type attemptCounts struct {
	weightedFailed float64
	weightedTotal  float64
	observedFailed float64
	observed       float64
}

// record counts one attempt.
func (c *attemptCounts) record(weight float64, status attemptStatus) {
	c.weightedTotal += weight
	c.observed++
	if status == statusFailed {
		c.weightedFailed += weight
		c.observedFailed++
	}
}

// minus returns the counts of the attempts that are counted in c but not in part. All attempts
// in part must also be counted in c.
func (c *attemptCounts) minus(part *attemptCounts) attemptCounts {
	return attemptCounts{
		weightedFailed: c.weightedFailed - part.weightedFailed,
		weightedTotal:  c.weightedTotal - part.weightedTotal,
		observedFailed: c.observedFailed - part.observedFailed,
		observed:       c.observed - part.observed,
	}
}

// Finder counts the attempts of traces by server, by fill source, by pair of server and fill
// source, and by router, and finds suspects among these participants. It is not safe for
// concurrent use.
type Finder struct {
	counts map[suspectKey]*attemptCounts
	total  attemptCounts
}

// New returns an empty Finder.
func New() *Finder { return &Finder{counts: map[suspectKey]*attemptCounts{}} }

// Add counts the attempts of a trace, each with the trace's weight. Attempts that were canceled
// or not sent are skipped.
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

// addAttempt counts an attempt for each of its participants. If the fill source equals the
// server, there was no fill. The attempt then counts only for its server and its router.
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

// countsOf returns the counts of a participant, and creates them on first use.
func (f *Finder) countsOf(kind SuspectKind, name string) *attemptCounts {
	key := suspectKey{kind, name}
	counts := f.counts[key]
	if counts == nil {
		counts = &attemptCounts{}
		f.counts[key] = counts
	}
	return counts
}

// Suspects returns the participants of failed attempts in descending order of ConfidenceLow. The
// first suspect therefore has the clearest effect on the failure rate. Suspects omits a participant
// that took part in every attempt, because there are no other attempts to compare with.
func (f *Finder) Suspects() []Suspect {
	var suspects []Suspect
	for key, counts := range f.counts {
		withoutSuspect := f.total.minus(counts)
		if counts.observedFailed == 0 || withoutSuspect.observed <= 0 {
			continue
		}
		suspects = append(suspects, newSuspect(key, counts, &withoutSuspect))
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

// newSuspect returns the suspect with the given key. The argument withSuspect counts the
// attempts that the suspect took part in, and withoutSuspect counts all other attempts.
func newSuspect(key suspectKey, withSuspect, withoutSuspect *attemptCounts) Suspect {
	// Rounding can make the difference of two sums of weights slightly negative.
	failedWithout := max(withoutSuspect.weightedFailed, 0)
	suspect := Suspect{
		Kind:          key.kind,
		Name:          key.name,
		Failed:        withSuspect.weightedFailed,
		Total:         withSuspect.weightedTotal,
		FailedWithout: failedWithout,
		TotalWithout:  withoutSuspect.weightedTotal,
		Rate:          withSuspect.weightedFailed / withSuspect.weightedTotal,
		RateWithout:   failedWithout / withoutSuspect.weightedTotal,
	}
	suspect.ConfidenceLow, suspect.ConfidenceHigh = differenceInterval(
		suspect.Rate, withSuspect.observed, suspect.RateWithout, withoutSuspect.observed)
	return suspect
}
