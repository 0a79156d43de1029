// Package propagation decides which trace a request belongs to. It does no I/O and has no
// clock.
//
// In this order: the trace that the client's traceparent names; in keyed classes the
// one that follows from the idempotency key, at whatever router the try arrives; else,
// where the same client asked this router for the same part within the retry time and
// was not served, the trace of that try; else a new one. The last rule is a guess. It
// errs where two clients share an address and one is refused while the other asks, and
// misses a try that comes to another router. BenchmarkRetryGuess measures how often.
package propagation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"garnetline/internal/trace"
)

// Ask is a request as far as its trace depends on it.
type Request struct {
	TraceParent    string // the traceparent header, as it came
	IdempotencyKey string // idempotency key, of a keyed class
	ClientAddress  string // the client's address without its port; "": not known
	Class          string
	Object         uint64
	Chunk          int
}

// Tie is where a request belongs.
type Correlation struct {
	ID            trace.ID
	ClientSpan    trace.SpanID // the client's own span
	ClientSampled bool         // the client samples it
	Retry         uint8        // 0: the first, as far as is known
	unservedKey   uint64       // its place in the table of unserved tries; 0: none
}

// halfMost is how many unserved tries one half of the table holds.
const generationCapacity = 1 << 14

// Linker ties requests to traces. It is not safe for concurrent use.
type Correlator struct {
	secret            []byte
	retryWindow       float64
	seed, objectSeed  uint64
	newTraces         uint64
	current, previous map[uint64]unservedRequest
}

// unserved is a try whose client may come again.
type unservedRequest struct {
	traceID trace.ID
	endedAt float64
	retry   uint8
}

// New returns a Linker. Routers with the same secret agree on the trace of a key; the
// seed differs from router to router, and from start to start.
func New(secret string, within float64, seed uint64) *Correlator {
	return &Correlator{secret: []byte(secret), retryWindow: within, seed: seed, current: map[uint64]unservedRequest{},
		objectSeed: xxhash.Sum64String("object " + secret)}
}

// Within sets for how long, in ms, a try that was not served waits for the next.
func (l *Correlator) SetRetryWindow(ms float64) { l.retryWindow = ms }

// Tie returns where a request belongs that came at now, in Unix ms.
func (l *Correlator) Correlate(now float64, a Request) Correlation {
	t := Correlation{unservedKey: l.unservedKey(a)}
	u, again := l.lookup(t.unservedKey)
	again = again && now-u.endedAt <= l.retryWindow
	if again {
		t.Retry = min(u.retry+1, 255)
	}
	if p, ok := trace.ParseTraceparent(a.TraceParent); ok {
		t.ID, t.ClientSpan, t.ClientSampled = p.Trace, p.Span, p.Sampled
		if again && u.traceID != p.Trace {
			t.Retry = 0
		}
		return t
	}
	switch {
	case a.IdempotencyKey != "":
		t.ID = l.idempotentTraceID(a.IdempotencyKey)
		if u.traceID != t.ID {
			t.Retry = 0
		}
	case again:
		t.ID = u.traceID
	default:
		l.newTraces++
		binary.BigEndian.PutUint64(t.ID[:8], hashUint64(l.seed, l.newTraces))
		binary.BigEndian.PutUint64(t.ID[8:], hashUint64(l.newTraces, l.seed))
	}
	return t
}

// Ended takes the end of a request that Tie was asked for.
func (l *Correlator) RequestEnded(now float64, t Correlation, served bool) {
	if t.unservedKey == 0 {
		return
	}
	if served {
		delete(l.current, t.unservedKey)
		delete(l.previous, t.unservedKey)
		return
	}
	if len(l.current) >= generationCapacity {
		l.current, l.previous = map[uint64]unservedRequest{}, l.current
	}
	l.current[t.unservedKey] = unservedRequest{t.ID, now, t.Retry}
}

func (l *Correlator) lookup(place uint64) (unservedRequest, bool) {
	if place == 0 {
		return unservedRequest{}, false
	}
	u, ok := l.current[place]
	if !ok {
		u, ok = l.previous[place]
	}
	return u, ok
}

// Hide returns a number that stands for an object: alike at all routers with the same
// secret, and without that it does not tell the object.
func (l *Correlator) HashObject(object uint64) uint64 { return hashUint64(l.objectSeed, object) }

// keyed is the trace of an idempotency key, from which the key can't be had.
func (l *Correlator) idempotentTraceID(key string) (id trace.ID) {
	m := hmac.New(sha256.New, l.secret)
	m.Write([]byte(key))
	copy(id[:], m.Sum(nil))
	return id
}

// place is the place of a client's request in the table: of its key or, without one,
// of what it asks for. Nothing that names a client is kept as it came.
func (l *Correlator) unservedKey(a Request) uint64 {
	if a.ClientAddress == "" && a.IdempotencyKey == "" {
		return 0
	}
	d := xxhash.NewWithSeed(l.seed)
	if a.IdempotencyKey != "" {
		d.WriteString(a.IdempotencyKey)
	} else {
		var b [16]byte
		binary.BigEndian.PutUint64(b[:8], a.Object)
		binary.BigEndian.PutUint64(b[8:], uint64(a.Chunk))
		d.Write(b[:])
		d.WriteString(a.Class)
		d.WriteString("\x00")
		d.WriteString(a.ClientAddress)
	}
	return max(d.Sum64(), 1)
}

func hashUint64(seed, n uint64) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	d := xxhash.NewWithSeed(seed)
	d.Write(b[:])
	return max(d.Sum64(), 1)
}
