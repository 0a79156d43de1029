package serverspans

import (
	"math/rand/v2"
	"testing"

	"garnetline/internal/fuzzutil"
	"garnetline/internal/trace"
)

const (
	fuzzMaxBytes = 5000
	fuzzMaxSteps = 1000
	fuzzTimeout  = 100.0 // ms
)

// bufferModel knows what a buffer was given and has returned.
type bufferModel struct {
	t        *testing.T
	buffer   *Buffer
	rng      *rand.Rand
	now      float64 // ms
	nextSpan trace.SpanID
	fills    []trace.Link
	returned map[*trace.Trace]bool
	failed   []*trace.Trace
}

// FuzzBufferAccounting checks by random steps that the memory limit holds, that no trace is
// returned twice, that every failed one is returned in the end, and that nothing is held then.
func FuzzBufferAccounting(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 16, 500)
	f.Fuzz(func(t *testing.T, steps []byte) {
		model := &bufferModel{
			t:        t,
			buffer:   New(fuzzTimeout, fuzzMaxBytes),
			rng:      rand.New(rand.NewPCG(uint64(len(steps)), 1)),
			nextSpan: 1,
			returned: map[*trace.Trace]bool{},
		}
		for i := 0; i+1 < len(steps) && i < 2*fuzzMaxSteps; i += 2 {
			model.step(steps[i], steps[i+1])
			if got := model.buffer.Bytes(); got > fuzzMaxBytes {
				t.Fatalf("%d bytes are held, want at most %d", got, fuzzMaxBytes)
			}
		}
		model.finish()
	})
}

// step adds a trace twice as often as it decides on one or lets time pass.
func (m *bufferModel) step(operation, argument byte) {
	switch operation % 4 {
	case 0, 1:
		m.add(argument)
	case 2:
		m.check(m.buffer.Retain(trace.ID{argument % 16}))
	case 3:
		m.now += float64(argument)
		m.check(m.buffer.Tick(m.now))
	}
}

// add adds one of 16 traces: a third of them fill, a fifth join a fill, a seventh failed.
func (m *bufferModel) add(argument byte) {
	fill := noFill
	if argument%3 == 0 {
		fill = m.nextSpan + 1
	}
	added := serverTrace(argument%16, m.nextSpan, fill)
	if argument%5 == 0 && len(m.fills) > 0 {
		added.Links = append(added.Links, m.fills[m.rng.IntN(len(m.fills))])
	}
	if fill != noFill {
		m.fills = append(m.fills, trace.Link{Trace: added.ID, To: fill})
	}
	m.nextSpan += 2
	failed := argument%7 == 0
	if failed {
		m.failed = append(m.failed, added)
	}
	m.check(m.buffer.Add(m.now, added, failed))
}

// check notes what the buffer returned.
func (m *bufferModel) check(returned []*trace.Trace) {
	m.t.Helper()
	for _, t := range returned {
		if m.returned[t] {
			m.t.Fatalf("trace %v of span %v is returned twice", t.ID, t.Spans[0].ID)
		}
		m.returned[t] = true
	}
}

// finish lets all timeouts pass.
func (m *bufferModel) finish() {
	m.t.Helper()
	m.check(m.buffer.Tick(m.now + fuzzTimeout + 1))
	for _, failed := range m.failed {
		if !m.returned[failed] {
			m.t.Errorf("trace %v of span %v failed and is not returned", failed.ID, failed.Spans[0].ID)
		}
	}
	if got := m.buffer.Bytes(); got != 0 {
		m.t.Errorf("%d bytes are held in the end", got)
	}
	if traces, fills := len(m.buffer.byTrace), len(m.buffer.byFill); traces != 0 || fills != 0 {
		m.t.Errorf("%d traces and %d fills are held in the end", traces, fills)
	}
}
