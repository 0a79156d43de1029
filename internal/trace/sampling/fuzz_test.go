package sampling

import (
	"math/rand/v2"
	"testing"

	"garnetline/internal/fuzzutil"
	"garnetline/internal/trace"
)

const (
	fuzzMaxBytes     = 4000
	fuzzMaxSteps     = 1000
	fuzzSlow         = 50.0 // ms, the latency objective
	fuzzSlowStrict   = 10.0 // ms, that of class b
	fuzzStrictClass  = "b"
	fuzzDefaultClass = "a"
)

// samplerModel counts what a sampler must retain and what it returned.
type samplerModel struct {
	t        *testing.T
	sampler  *Sampler
	rng      *rand.Rand
	now      float64 // Unix ms
	inFlight int     // requests with a reservation
	due      int64   // traces that had to be retained
	retained int64   // of those, returned
	lost     int64   // reported as lost by returned traces
}

// FuzzSamplerAccounting checks by random steps that the memory limit holds, that every trace
// that must be retained is returned or reported as lost, and that nothing is held in the end.
func FuzzSamplerAccounting(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 16, 600)
	f.Fuzz(func(t *testing.T, steps []byte) {
		strict := map[string]Class{fuzzStrictClass: {LatencyObjective: fuzzSlowStrict, OrdinaryPerSecond: 0.5}}
		model := &samplerModel{
			t:       t,
			sampler: New(fuzzMaxBytes, Class{LatencyObjective: fuzzSlow, OrdinaryPerSecond: 2}, strict),
			rng:     rand.New(rand.NewPCG(uint64(len(steps)), 9)),
			now:     startTime,
		}
		for i := 0; i+1 < len(steps) && i < 2*fuzzMaxSteps; i += 2 {
			model.step(steps[i], int(steps[i+1]))
			if got := model.sampler.Bytes(); got > fuzzMaxBytes {
				t.Fatalf("%d bytes are held, want at most %d", got, fuzzMaxBytes)
			}
		}
		model.finishAll()
	})
}

// step reserves memory twice as often as it finishes a request or closes windows.
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

// mustRetain is the model's own rule.
func mustRetain(class string, duration float64, outcome trace.Outcome) bool {
	slow := duration > fuzzSlow || class == fuzzStrictClass && duration > fuzzSlowStrict
	return slow || outcome != trace.Served && outcome != trace.NotModified
}

// begin reserves memory for a request, which ends at once if there is none.
func (m *samplerModel) begin(class string, duration float64, outcome trace.Outcome) {
	if m.sampler.Reserve(reservation) {
		m.inFlight++
		return
	}
	if mustRetain(class, duration, outcome) {
		m.due++
	}
	m.sampler.RecordUntraced(&trace.Trace{Class: class, End: duration, Outcome: outcome, Attempts: 1})
}

func (m *samplerModel) finish(class string, duration float64, outcome trace.Outcome) {
	m.inFlight--
	if mustRetain(class, duration, outcome) {
		m.due++
	}
	m.check(m.sampler.Finish(finishedTrace(m.rng, class, m.now, duration, outcome), reservation))
}

// check counts what the sampler returned; nil traces are passed over.
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
			m.t.Fatalf("weight %v, want at least 1", t.Weight)
		}
	}
}

// finishAll ends the requests in flight and the windows, and compares the counts.
func (m *samplerModel) finishAll() {
	m.t.Helper()
	for m.inFlight > 0 {
		m.finish(fuzzDefaultClass, 5, trace.Failed)
	}
	m.check(m.sampler.Close()...)
	if got := m.sampler.Bytes(); got != 0 {
		m.t.Errorf("%d bytes are held in the end", got)
	}
	m.lost += int64(m.sampler.unreportedLost)
	if m.retained+m.lost != m.due {
		m.t.Errorf("%d had to be retained: %d were, %d were reported as lost", m.due, m.retained, m.lost)
	}
}
