// Package analysis finds what failed requests have in common: which server, source of a
// fill, pair of both, or router has a part in more failed attempts than chance gives.
package analysis

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"garnetline/internal/trace"
	"garnetline/routing"
)

// Suspect is one thing that attempts have in common.
type Suspect struct {
	Kind                          string  // "server", "source", "pair", "router"
	Name                          string  // of it
	Failed, Total                 float64 // attempts that it had a part in, by weight
	FailedWithout, TotalWithout   float64 // failed and all attempts without it
	Rate, RateWithout             float64
	ConfidenceLow, ConfidenceHigh float64 // of Rate - RateRest, with 95% confidence
}

// Failure tells whether an attempt counts as failed. One that was given up since its
// client left, or never left, says nothing: known is false.
func Failure(r routing.Result) (failed, known bool) {
	switch r {
	case routing.Served, routing.NotCached, routing.Rejected:
		return false, true
	case routing.Canceled, routing.NotSent:
		return false, false
	}
	return true, true
}

type attemptCounts struct{ weightedFailed, weightedTotal, observed, observedFailed float64 }

// Finder takes traces and tells the suspects.
type Finder struct {
	counts map[[2]string]*attemptCounts
	total  attemptCounts
}

// New returns an empty Finder.
func New() *Finder { return &Finder{counts: map[[2]string]*attemptCounts{}} }

// Add takes the attempts of a trace, each as often as the trace stands for.
func (f *Finder) Add(t *trace.Trace) {
	for _, s := range t.Spans {
		if s.Kind != trace.Attempt {
			continue
		}
		failed, known := Failure(routing.Result(s.Result))
		if !known {
			continue
		}
		f.record(&f.total, t.Weight, failed)
		f.record(f.countsOf("server", s.Server.String()), t.Weight, failed)
		f.record(f.countsOf("router", t.Router), t.Weight, failed)
		if s.FillSource != s.Server {
			f.record(f.countsOf("source", s.FillSource.String()), t.Weight, failed)
			f.record(f.countsOf("pair", s.Server.String()+" from "+s.FillSource.String()), t.Weight, failed)
		}
	}
}

func (f *Finder) countsOf(what, name string) *attemptCounts {
	k := [2]string{what, name}
	if f.counts[k] == nil {
		f.counts[k] = &attemptCounts{}
	}
	return f.counts[k]
}

// count books by weight, and by number: a weight of a hundred is one observation.
func (f *Finder) record(t *attemptCounts, weight float64, failed bool) {
	t.weightedTotal += weight
	t.observed++
	if failed {
		t.weightedFailed += weight
		t.observedFailed++
	}
}

// z is the 97.5% quantile of the normal distribution.
const normalQuantile = 1.959964

// Suspects returns all that have a part in failed attempts, the one that most surely
// raises the rate first. The interval is Newcombe's, of two Wilson scores, on as many
// observations as the weights are worth.
func (f *Finder) Suspects() []Suspect {
	var out []Suspect
	for k, t := range f.counts {
		rest := attemptCounts{f.total.weightedFailed - t.weightedFailed, f.total.weightedTotal - t.weightedTotal, f.total.observed - t.observed, f.total.observedFailed - t.observedFailed}
		if t.observedFailed == 0 || rest.observed <= 0 {
			continue
		}
		s := Suspect{Kind: k[0], Name: k[1], Failed: t.weightedFailed, Total: t.weightedTotal, FailedWithout: max(rest.weightedFailed, 0), TotalWithout: rest.weightedTotal}
		s.Rate, s.RateWithout = t.weightedFailed/t.weightedTotal, max(rest.weightedFailed, 0)/rest.weightedTotal
		l1, u1 := wilsonInterval(s.Rate, t.observed)
		l2, u2 := wilsonInterval(s.RateWithout, rest.observed)
		d := s.Rate - s.RateWithout
		s.ConfidenceLow = d - math.Sqrt((s.Rate-l1)*(s.Rate-l1)+(u2-s.RateWithout)*(u2-s.RateWithout))
		s.ConfidenceHigh = d + math.Sqrt((u1-s.Rate)*(u1-s.Rate)+(s.RateWithout-l2)*(s.RateWithout-l2))
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.ConfidenceLow, a.ConfidenceLow), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// wilson is the score interval of a rate p in n observations.
func wilsonInterval(p, n float64) (low, high float64) {
	mid, half := p+normalQuantile*normalQuantile/(2*n), normalQuantile*math.Sqrt(p*(1-p)/n+normalQuantile*normalQuantile/(4*n*n))
	return max(0, (mid-half)/(1+normalQuantile*normalQuantile/n)), min(1, (mid+half)/(1+normalQuantile*normalQuantile/n))
}

// Line is a suspect as a line of a table.
func (s Suspect) Line() string {
	return fmt.Sprintf("%-6s  %-28s %6.1f%% of %-8.0f %6.1f%% of %-8.0f %+6.1f to %+.1f points",
		s.Kind, s.Name, 100*s.Rate, s.Total, 100*s.RateWithout, s.TotalWithout, 100*s.ConfidenceLow, 100*s.ConfidenceHigh)
}
