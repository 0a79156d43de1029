package analysis

import (
	"math"
	"math/rand/v2"
	"testing"

	"garnetline/internal/trace"
	"garnetline/routing"
)

// failureModel decides whether an attempt fails, from its server and its fill source.
type failureModel func(server, source routing.ServerID, rng *rand.Rand) bool

// simulateFailures simulates attempts at eight servers with three fill sources and two routers.
// It returns a Finder with the retained traces. All failed attempts are retained, each with a
// weight of 1. One in ten of the other attempts is retained, with a weight of 10.
func simulateFailures(seed uint64, attempts int, fails failureModel) *Finder {
	rng := rand.New(rand.NewPCG(seed, 1))
	finder := New()
	for range attempts {
		t := &trace.Trace{Router: []string{"n1", "n2"}[rng.IntN(2)], Weight: 1}
		attempt := trace.Span{
			Kind:       trace.Attempt,
			Server:     routing.ServerID(1 + rng.IntN(8)),
			FillSource: routing.ServerID(100 + rng.IntN(3)),
		}
		switch {
		case fails(attempt.Server, attempt.FillSource, rng):
			attempt.Result = uint8(routing.ServerError)
		case rng.IntN(10) > 0:
			continue
		default:
			t.Weight = 10
		}
		t.Spans = append(t.Spans, attempt)
		finder.Add(t)
	}
	return finder
}

// TestFaultyServerRanksFirst checks that the first suspect is the faulty server, or a pair of this
// server and a fill source. The confidence interval of the faulty server must contain the true
// difference of the failure rates and lie well above zero. No other server, source or router may
// stand out.
func TestFaultyServerRanksFirst(t *testing.T) {
	const (
		faultyServer = 3
		faultyName   = "s-00000003"
		// The faulty server fails 60% of its attempts and, like every other server, 2% of the
		// rest: 60% + 40% * 2% = 60.8%. The other servers fail 2% of their attempts.
		trueDifference = 0.6 + 0.4*0.02 - 0.02
	)
	faulty := func(server, _ routing.ServerID, rng *rand.Rand) bool {
		return server == faultyServer && rng.IntN(10) < 6 || rng.IntN(100) < 2
	}
	suspects := simulateFailures(1, 20_000, faulty).Suspects()
	if first := suspects[0]; first.Kind != KindServer && first.Kind != KindPair || first.ConfidenceLow < 0.3 {
		t.Errorf("first suspect: got %+v, want a server or a pair with ConfidenceLow of at least 0.3", first)
	}
	found := false
	for _, suspect := range suspects {
		if suspect.Kind == KindServer && suspect.Name == faultyName {
			found = true
			if trueDifference < suspect.ConfidenceLow || trueDifference > suspect.ConfidenceHigh {
				t.Errorf("suspect %+v: want the true difference %.3f in its confidence interval", suspect, trueDifference)
			}
		} else if suspect.Kind != KindPair && suspect.ConfidenceLow > 0.02 {
			t.Errorf("suspect %+v is not faulty, want ConfidenceLow of at most 0.02", suspect)
		}
	}
	if !found {
		t.Errorf("faulty server %s is not among the %d suspects", faultyName, len(suspects))
	}
}

// TestFaultyFillSourceRanksAmongFirst checks that a faulty fill source is among the first nine
// suspects. The other eight are expected to be the pairs of this source with the eight servers.
func TestFaultyFillSourceRanksAmongFirst(t *testing.T) {
	const (
		faultySource = 101
		faultyName   = "s-00000065"
	)
	faulty := func(_, source routing.ServerID, rng *rand.Rand) bool {
		return source == faultySource && rng.IntN(10) < 3
	}
	first := simulateFailures(2, 20_000, faulty).Suspects()[:9]
	for _, suspect := range first {
		if suspect.Kind == KindFillSource && suspect.Name == faultyName && suspect.ConfidenceLow > 0.2 {
			return
		}
	}
	t.Errorf("faulty source %s is not among the first suspects with ConfidenceLow above 0.2: %+v", faultyName, first)
}

// TestEqualServersRarelyStandOut simulates servers that all fail at the same rate. Some of them
// stand out by chance: the lower bound of a 95% interval is above zero for about 2.5% of the
// servers. The test allows more than 2.5%, because the weighted rates are estimates.
func TestEqualServersRarelyStandOut(t *testing.T) {
	const (
		simulations  = 40
		servers      = 8
		maxStandOuts = 32
	)
	equalFailures := func(_, _ routing.ServerID, rng *rand.Rand) bool { return rng.IntN(20) == 0 }
	standOuts := 0
	for simulation := range uint64(simulations) {
		for _, suspect := range simulateFailures(10+simulation, 4000, equalFailures).Suspects() {
			if suspect.Kind == KindServer && suspect.ConfidenceLow > 0 {
				standOuts++
			}
		}
	}
	if standOuts > maxStandOuts {
		t.Errorf("%d of %d equal servers stand out, want at most %d", standOuts, simulations*servers, maxStandOuts)
	}
}

// A rejection counts as a success. Attempts that were canceled or not sent do not count.
func TestStatusOfResults(t *testing.T) {
	tests := map[routing.Result]attemptStatus{
		routing.Served:         statusSucceeded,
		routing.NotCached:      statusSucceeded,
		routing.Rejected:       statusSucceeded,
		routing.Canceled:       statusUnknown,
		routing.NotSent:        statusUnknown,
		routing.ServerError:    statusFailed,
		routing.TimedOut:       statusFailed,
		routing.ConnectFailed:  statusFailed,
		routing.ConnectionLost: statusFailed,
	}
	for result, want := range tests {
		if got := statusOf(result); got != want {
			t.Errorf("status of result %v: got %v, want %v", result, got, want)
		}
	}
}

// The expected Wilson intervals are textbook values.
func TestWilsonInterval(t *testing.T) {
	const tolerance = 1e-3
	tests := []struct{ rate, observations, wantLow, wantHigh float64 }{
		{0.5, 10, 0.2366, 0.7634},
		{0, 20, 0, 0.1611},
		{0.1, 100, 0.0552, 0.1744},
	}
	for _, test := range tests {
		low, high := wilsonInterval(test.rate, test.observations)
		if math.Abs(low-test.wantLow) > tolerance || math.Abs(high-test.wantHigh) > tolerance {
			t.Errorf("interval of rate %v in %v observations: got %.4f to %.4f, want %.4f to %.4f", test.rate, test.observations, low, high, test.wantLow, test.wantHigh)
		}
	}
}
