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

// bufferModel applies random operations to a buffer, and tracks the traces that the buffer received
// and returned.
type bufferModel struct {
	t        *testing.T
	buffer   *Buffer
	rng      *rand.Rand
	now      float64 // ms
	nextSpan trace.SpanID
	fills    []trace.Link // links to the fills of added traces
	returned map[*trace.Trace]bool
	failed   []*trace.Trace // added traces that failed
}

// FuzzBufferAccounting applies random operations to a buffer. It checks that the buffer stays
// within the memory limit and returns no trace twice. It also checks that, after all timeouts,
// the buffer has returned each failed trace and is empty.
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
				t.Fatalf("buffer holds %d bytes, want at most %d", got, fuzzMaxBytes)
			}
		}
		model.finish()
	})
}

// step applies one operation: it adds a trace, retains a trace or advances the time. It adds
// traces twice as often as it applies either of the other operations.
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

// add adds a partial trace with one of 16 trace IDs. The argument determines the kind of partial
// trace: one in three begins a fill, one in five joins a fill, and one in seven failed.
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

// check records the traces that the buffer returned. It fails the test if the buffer has
// returned one of them before.
func (m *bufferModel) check(returned []*trace.Trace) {
	m.t.Helper()
	for _, t := range returned {
		if m.returned[t] {
			m.t.Fatalf("trace %v with span %v was returned twice, want once", t.ID, t.Spans[0].ID)
		}
		m.returned[t] = true
	}
}

// finish advances the time beyond all timeouts, and checks that the buffer has returned all failed
// traces and is empty.
func (m *bufferModel) finish() {
	m.t.Helper()
	m.check(m.buffer.Tick(m.now + fuzzTimeout + 1))
	for _, failed := range m.failed {
		if !m.returned[failed] {
			m.t.Errorf("failed trace %v with span %v was not returned, want once", failed.ID, failed.Spans[0].ID)
		}
	}
	if got := m.buffer.Bytes(); got != 0 {
		m.t.Errorf("buffer holds %d bytes after all timeouts, want 0", got)
	}
	if traces, fills := len(m.buffer.byTrace), len(m.buffer.byFill); traces != 0 || fills != 0 {
		m.t.Errorf("buffer holds %d traces and %d fills after all timeouts, want 0 and 0", traces, fills)
	}
}
