package sampling

import (
	"math/rand/v2"
	"testing"

	"garnetline/internal/fuzzutil"
	"garnetline/internal/trace"
)

const (
	fuzzMaxBytes        = 4000
	fuzzMaxSteps        = 1000
	fuzzObjective       = 50.0 // ms, latency objective of fuzzDefaultClass
	fuzzStrictObjective = 10.0 // ms, latency objective of fuzzStrictClass
	fuzzStrictClass     = "b"
	fuzzDefaultClass    = "a"
)

// samplerModel applies operations to a sampler. It counts the traces that the sampler must
// retain and the traces that the sampler returned or reported as lost.
type samplerModel struct {
	t            *testing.T
	sampler      *Sampler
	rng          *rand.Rand
	now          float64 // Unix ms
	inFlight     int     // requests in flight with reserved memory
	wantRetained int64   // traces that the sampler had to retain
	retained     int64   // traces that the sampler had to retain and that it returned
	lost         int64   // sum of LostBefore of the returned traces
}

// FuzzSamplerAccounting applies random operations to a sampler. It checks that the sampler stays
// within its memory limit. Each trace that must be retained must be returned or reported as
// lost. After the end of all requests and windows, the sampler must hold no memory.
func FuzzSamplerAccounting(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 16, 600)
	f.Fuzz(func(t *testing.T, steps []byte) {
		strict := map[string]Class{fuzzStrictClass: {LatencyObjective: fuzzStrictObjective, OrdinaryPerSecond: 0.5}}
		model := &samplerModel{
			t:       t,
			sampler: New(fuzzMaxBytes, Class{LatencyObjective: fuzzObjective, OrdinaryPerSecond: 2}, strict),
			rng:     rand.New(rand.NewPCG(uint64(len(steps)), 9)),
			now:     startTime,
		}
		for i := 0; i+1 < len(steps) && i < 2*fuzzMaxSteps; i += 2 {
			model.step(steps[i], int(steps[i+1]))
			if got := model.sampler.Bytes(); got > fuzzMaxBytes {
				t.Fatalf("got %d bytes held, want at most %d", got, fuzzMaxBytes)
			}
		}
		model.finishAll()
	})
}

// step begins a request, finishes a request or advances the time. It begins requests twice as
// often as it applies either of the other operations.
func (m *samplerModel) step(operation byte, argument int) {
	class := fuzzDefaultClass
	if argument%2 == 1 {
		class = fuzzStrictClass
	}
	outcome := trace.Outcome(argument % 5)
	duration := float64(argument)
	switch operation % 4 {
	case 0, 1:
		m.begin(class, duration, outcome)
	case 2:
		if m.inFlight > 0 {
			m.finish(class, duration, outcome)
		}
	case 3:
		m.now += duration * 10
		m.check(m.sampler.Tick(m.now)...)
	}
}

// mustRetain reports whether a sampler must retain the trace of a request with the given class,
// duration in ms and outcome.
func mustRetain(class string, duration float64, outcome trace.Outcome) bool {
	slow := duration > fuzzObjective || class == fuzzStrictClass && duration > fuzzStrictObjective
	return slow || outcome != trace.Served && outcome != trace.NotModified
}

// begin reserves memory for a request. If there is no memory, begin passes the request to
// RecordUntraced.
func (m *samplerModel) begin(class string, duration float64, outcome trace.Outcome) {
	if m.sampler.Reserve(reservation) {
		m.inFlight++
		return
	}
	if mustRetain(class, duration, outcome) {
		m.wantRetained++
	}
	m.sampler.RecordUntraced(&trace.Trace{Class: class, End: duration, Outcome: outcome, Attempts: 1})
}

func (m *samplerModel) finish(class string, duration float64, outcome trace.Outcome) {
	m.inFlight--
	if mustRetain(class, duration, outcome) {
		m.wantRetained++
	}
	m.check(m.sampler.Finish(finishedTrace(m.rng, class, m.now, duration, outcome), reservation))
}

// check counts the traces that the sampler returned, and checks the weights of sampled traces.
// It ignores nil.
func (m *samplerModel) check(returned ...*trace.Trace) {
	m.t.Helper()
	for _, t := range returned {
		if t == nil {
			continue
		}
		m.lost += int64(t.LostBefore)
		if t.Reasons&^trace.ReasonSampled != 0 {
			m.retained++
		} else if t.Weight < 1 {
			m.t.Fatalf("got a weight of %v for a sampled trace, want at least 1", t.Weight)
		}
	}
}

// finishAll finishes the requests in flight, closes the windows and compares the counts.
func (m *samplerModel) finishAll() {
	m.t.Helper()
	for m.inFlight > 0 {
		m.finish(fuzzDefaultClass, 5, trace.Failed)
	}
	m.check(m.sampler.Close()...)
	if got := m.sampler.Bytes(); got != 0 {
		m.t.Errorf("got %d bytes held after closing the sampler, want 0", got)
	}
	m.lost += int64(m.sampler.unreportedLost)
	if m.retained+m.lost != m.wantRetained {
		m.t.Errorf("want %d traces retained or reported as lost, got %d retained and %d reported as lost", m.wantRetained, m.retained, m.lost)
	}
}
