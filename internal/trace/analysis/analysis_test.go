package analysis

import (
	"math"
	"math/rand/v2"
	"testing"

	"garnetline/internal/trace"
	"garnetline/routing"
)

// day is a day on which one server, or one source, fails a part of its attempts.
func simulateFailures(seed uint64, n int, fails func(server, source routing.ServerID, rng *rand.Rand) bool) *Finder {
	rng, f := rand.New(rand.NewPCG(seed, 1)), New()
	for range n {
		t := &trace.Trace{Router: []string{"n1", "n2"}[rng.IntN(2)], Weight: 1}
		s := trace.Span{Kind: trace.Attempt, Server: routing.ServerID(1 + rng.IntN(8)), FillSource: routing.ServerID(100 + rng.IntN(3))}
		if fails(s.Server, s.FillSource, rng) {
			s.Result = uint8(routing.ServerError)
		} else if rng.IntN(10) > 0 { // an ordinary one is kept one time in ten
			continue
		} else {
			t.Weight = 10
		}
		t.Spans = append(t.Spans, s)
		f.Add(t)
	}
	return f
}

// The guilty server or source stands first, with an interval above zero that holds the
// true difference; on a day without one, nobody stands out.
func TestFaultyServerOrSourceRanksFirst(t *testing.T) {
	server := func(s, _ routing.ServerID, rng *rand.Rand) bool {
		return s == 3 && rng.IntN(10) < 6 || rng.IntN(100) < 2
	}
	got := simulateFailures(1, 20_000, server).Suspects()
	if got[0].Kind != "server" && got[0].Kind != "pair" || got[0].ConfidenceLow < 0.3 {
		t.Errorf("%+v", got[0])
	}
	for _, s := range got {
		if s.Kind == "server" && s.Name == "s-00000003" {
			if want := 0.6 + 0.4*0.02 - 0.02; want < s.ConfidenceLow || want > s.ConfidenceHigh {
				t.Errorf("%+v: want %.3f within", s, want)
			}
		} else if s.Kind != "pair" && s.ConfidenceLow > 0.02 {
			t.Errorf("%+v: stands out without guilt", s)
		}
	}
	source := func(_, s routing.ServerID, rng *rand.Rand) bool { return s == 101 && rng.IntN(10) < 3 }
	found := false
	for _, s := range simulateFailures(2, 20_000, source).Suspects()[:9] {
		found = found || s.Kind == "source" && s.Name == "s-00000065" && s.ConfidenceLow > 0.2
	}
	if !found {
		t.Error("the guilty source is not among the first")
	}
	bold := 0
	for seed := range uint64(40) {
		for _, s := range simulateFailures(10+seed, 4000, func(_, _ routing.ServerID, rng *rand.Rand) bool { return rng.IntN(20) == 0 }).Suspects() {
			if s.Kind == "server" && s.ConfidenceLow > 0 {
				bold++
			}
		}
	}
	if bold > 32 { // of 320, at 2.5%, with weights that are not exact
		t.Errorf("%d of 320 innocent servers stand out", bold)
	}
}

// The score interval has its textbook values.
func TestWilsonInterval(t *testing.T) {
	for _, c := range [][4]float64{{0.5, 10, 0.2366, 0.7634}, {0, 20, 0, 0.1611}, {0.1, 100, 0.0552, 0.1744}} {
		if l, u := wilsonInterval(c[0], c[1]); math.Abs(l-c[2]) > 1e-3 || math.Abs(u-c[3]) > 1e-3 {
			t.Errorf("%v: %.4f to %.4f", c, l, u)
		}
	}
}
