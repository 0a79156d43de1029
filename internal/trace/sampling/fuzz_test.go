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

// samplerModel counts the traces that a sampler must retain and those that it returned.
type samplerModel struct {
	t            *testing.T
	sampler      *Sampler
	rng          *rand.Rand
	now          float64 // Unix ms
	inFlight     int     // requests in flight with reserved memory
	wantRetained int64   // traces that the sampler had to retain
	retained     int64   // traces among wantRetained that the sampler returned
	lost         int64   // traces that returned traces reported as lost
}

// FuzzSamplerAccounting checks with random steps that the sampler stays within its memory limit,
// that each trace that must be retained is either returned or reported as lost, and that no
// memory is held after the end of all requests and windows.
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
// often as it takes one of the other steps.
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

// begin reserves memory for a request. If there is no memory, begin records the end of the request
// as untraced.
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

// check counts the traces that the sampler returned, ignoring nil, and checks the weights of the
// sampled ones.
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
