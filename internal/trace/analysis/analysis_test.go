package analysis

import (
	"math"
	"math/rand/v2"
	"testing"

	"garnetline/internal/trace"
	"garnetline/routing"
)

// failureModel decides whether an attempt at a server, with a fill source, fails.
type failureModel func(server, source routing.ServerID, rng *rand.Rand) bool

// simulateFailures returns a finder that was given the traces of so many attempts at eight
// servers, from three fill sources and through two routers. All failed ones are retained, and
// one in ten of the others.
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

// A faulty server, or a pair with it, ranks first, with an interval that holds the true
// difference and lies well above zero; nothing without a part in its failures stands out.
func TestFaultyServerRanksFirst(t *testing.T) {
	const (
		faultyServer = 3
		faultyName   = "s-00000003"
		// All attempts fail at 2%, those at the faulty server at 60% before that.
		trueDifference = 0.6 + 0.4*0.02 - 0.02
	)
	faulty := func(server, _ routing.ServerID, rng *rand.Rand) bool {
		return server == faultyServer && rng.IntN(10) < 6 || rng.IntN(100) < 2
	}
	suspects := simulateFailures(1, 20_000, faulty).Suspects()
	if first := suspects[0]; first.Kind != KindServer && first.Kind != KindPair || first.ConfidenceLow < 0.3 {
		t.Errorf("first is %+v, want the server or a pair, at least 0.3 above the others", first)
	}
	found := false
	for _, suspect := range suspects {
		if suspect.Kind == KindServer && suspect.Name == faultyName {
			found = true
			if trueDifference < suspect.ConfidenceLow || trueDifference > suspect.ConfidenceHigh {
				t.Errorf("%+v: want %.3f within its interval", suspect, trueDifference)
			}
		} else if suspect.Kind != KindPair && suspect.ConfidenceLow > 0.02 {
			t.Errorf("%+v stands out, and is not faulty", suspect)
		}
	}
	if !found {
		t.Errorf("%s is not among %d suspects", faultyName, len(suspects))
	}
}

// A faulty fill source ranks among the first, beside its pairs with the eight servers.
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
	t.Errorf("%s is not among the first suspects: %+v", faultyName, first)
}

// Where all servers fail alike, few of them stand out: 2.5% by the interval's confidence, with
// some more allowed since its weights are estimates.
func TestEqualServersRarelyStandOut(t *testing.T) {
	const (
		days    = 40
		servers = 8
		most    = 32
	)
	alike := func(_, _ routing.ServerID, rng *rand.Rand) bool { return rng.IntN(20) == 0 }
	standOut := 0
	for day := range uint64(days) {
		for _, suspect := range simulateFailures(10+day, 4000, alike).Suspects() {
			if suspect.Kind == KindServer && suspect.ConfidenceLow > 0 {
				standOut++
			}
		}
	}
	if standOut > most {
		t.Errorf("%d of %d equal servers stand out, want at most %d", standOut, days*servers, most)
	}
}

// A rejection is no failure, and canceled or unsent attempts say nothing.
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
			t.Errorf("result %v has status %v, want %v", result, got, want)
		}
	}
}

// The score interval has its textbook values.
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
			t.Errorf("rate %v of %v: %.4f to %.4f, want %.4f to %.4f", test.rate, test.observations, low, high, test.wantLow, test.wantHigh)
		}
	}
}
