// Package propagation decides which trace a request belongs to. It does no I/O and has no
// clock.
//
// The first rule that applies decides: the trace named by the client's traceparent header; for
// classes with idempotency keys the trace derived from the key, at whatever router the retry
// arrives; the trace of an earlier request of the same client for the same chunk that this
// router did not serve within the retry window; else a new trace.
//
// The third rule is a guess. It errs where two clients share an address and one is rejected
// while the other sends a request, and misses a retry that arrives at another router.
// BenchmarkRetryGuess measures how often.
package propagation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"garnetline/internal/trace"
)

// Request is what decides the trace of a request.
type Request struct {
	TraceParent    string // the traceparent header as received, not validated
	IdempotencyKey string // empty unless the class has idempotency keys
	ClientAddress  string // without the port; empty: not known
	Class          string
	Object         uint64
	Chunk          int
}

// Correlation is the trace that a request belongs to.
type Correlation struct {
	ID            trace.ID
	ClientSpan    trace.SpanID // the client's own span; 0: none
	ClientSampled bool         // the client samples the trace
	Retry         uint8        // 0: the first request of its trace, as far as this router knows
	unservedKey   uint64       // in the table of unserved requests; 0: not in it
}

// Correlator assigns requests to traces. It is not safe for concurrent use.
type Correlator struct {
	secret      []byte
	retryWindow float64 // ms
	seed        uint64
	objectSeed  uint64
	newTraces   uint64 // number of traces begun, from which their ids are derived
	unserved    unservedTable
}

// New returns a Correlator. Routers with the same secret derive the same trace from an
// idempotency key. retryWindow is in ms, see SetRetryWindow. The seed must differ between
// routers and between starts of a router.
func New(secret string, retryWindow float64, seed uint64) *Correlator {
	return &Correlator{
		secret:      []byte(secret),
		retryWindow: retryWindow,
		seed:        seed,
		objectSeed:  xxhash.Sum64String("object " + secret),
		unserved:    newUnservedTable(),
	}
}

// SetRetryWindow sets for how long, in ms, a request after one that was not served is taken for
// its retry.
func (c *Correlator) SetRetryWindow(ms float64) { c.retryWindow = ms }

// Correlate returns the trace of a request that arrived at now, in Unix ms.
func (c *Correlator) Correlate(now float64, request Request) Correlation {
	correlation := Correlation{unservedKey: c.unservedKey(request)}
	earlier, found := c.unserved.lookup(correlation.unservedKey)
	isRetry := found && now-earlier.endedAt <= c.retryWindow
	parent, hasParent := trace.ParseTraceparent(request.TraceParent)
	switch {
	case hasParent:
		correlation.ID = parent.Trace
		correlation.ClientSpan = parent.Span
		correlation.ClientSampled = parent.Sampled
	case request.IdempotencyKey != "":
		correlation.ID = c.idempotentTraceID(request.IdempotencyKey)
	case isRetry:
		correlation.ID = earlier.traceID
	default:
		correlation.ID = c.newTraceID()
	}
	if isRetry && earlier.traceID == correlation.ID {
		correlation.Retry = earlier.retry + 1
	}
	return correlation
}

// RequestEnded handles the end, at now in Unix ms, of a request that Correlate was called for.
// served reports whether the client got a usable response and so will not retry.
func (c *Correlator) RequestEnded(now float64, correlation Correlation, served bool) {
	if correlation.unservedKey == 0 {
		return
	}
	if served {
		c.unserved.remove(correlation.unservedKey)
		return
	}
	c.unserved.add(correlation.unservedKey, unservedRequest{
		traceID: correlation.ID,
		endedAt: now,
		retry:   correlation.Retry,
	})
}

// HashObject returns a number that stands for an object in stored traces. It is the same at all
// routers with the same secret, and without the secret it does not disclose the object.
func (c *Correlator) HashObject(object uint64) uint64 { return hashUint64(c.objectSeed, object) }

// newTraceID derives the id of the next new trace.
func (c *Correlator) newTraceID() trace.ID {
	c.newTraces++
	var id trace.ID
	binary.BigEndian.PutUint64(id[:8], hashUint64(c.seed, c.newTraces))
	binary.BigEndian.PutUint64(id[8:], hashUint64(c.newTraces, c.seed))
	return id
}

// idempotentTraceID derives the trace of an idempotency key, which cannot be got back from it.
func (c *Correlator) idempotentTraceID(key string) trace.ID {
	mac := hmac.New(sha256.New, c.secret)
	mac.Write([]byte(key))
	var id trace.ID
	copy(id[:], mac.Sum(nil))
	return id
}

// unservedKey returns the key of a request in the table of unserved requests: a hash of its
// idempotency key or else of the client and what it asks for, so that nothing that identifies
// a client is retained in clear. It is 0 where neither is known.
func (c *Correlator) unservedKey(request Request) uint64 {
	if request.ClientAddress == "" && request.IdempotencyKey == "" {
		return 0
	}
	digest := xxhash.NewWithSeed(c.seed)
	if request.IdempotencyKey != "" {
		hashString(digest, request.IdempotencyKey)
		return nonZeroSum(digest)
	}
	var resource [16]byte
	binary.BigEndian.PutUint64(resource[:8], request.Object)
	binary.BigEndian.PutUint64(resource[8:], uint64(request.Chunk))
	hashBytes(digest, resource[:])
	hashString(digest, request.Class)
	hashString(digest, "\x00")
	hashString(digest, request.ClientAddress)
	return nonZeroSum(digest)
}

// hashUint64 returns a seeded hash that is never 0.
func hashUint64(seed, number uint64) uint64 {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], number)
	digest := xxhash.NewWithSeed(seed)
	hashBytes(digest, encoded[:])
	return nonZeroSum(digest)
}

// hashBytes adds bytes to a digest, which never fails.
func hashBytes(digest *xxhash.Digest, added []byte) { _, _ = digest.Write(added) }

// hashString adds a string to a digest, which never fails.
func hashString(digest *xxhash.Digest, added string) { _, _ = digest.WriteString(added) }

// nonZeroSum returns the hash of a digest, with 1 for 0, which stands for none.
func nonZeroSum(digest *xxhash.Digest) uint64 { return max(digest.Sum64(), 1) }
