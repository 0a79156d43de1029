// Package propagation decides which trace a request belongs to. It does no I/O and has no
// clock.
//
// The first rule that applies to a request selects its trace:
//
//  1. The client's traceparent header names the trace.
//  2. For classes with idempotency keys, the trace ID is derived from the key. All routers
//     derive the same trace ID, so that a retry at another router joins the trace.
//  3. The router failed to serve an earlier request of the same client for the same chunk, and
//     the retry window after the end of that request is not over. The new request is treated as
//     a retry and joins the trace of the earlier request.
//  4. Otherwise the request begins a new trace.
//
// Rule 3 is a heuristic. It is wrong if two clients share an address, the first client's request
// is rejected and the second client then requests the same chunk. The rule misses retries that arrive
// at another router. BenchmarkRetryGuess reports the rates of both errors.
package propagation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"garnetline/internal/trace"
)

// Request holds the properties of a request that select its trace.
type Request struct {
	TraceParent    string // the traceparent header as received, not validated
	IdempotencyKey string // empty unless the class has idempotency keys
	ClientAddress  string // without the port; empty if unknown
	Class          string
	Object         uint64
	Chunk          int
}

// Correlation is the trace that a request belongs to.
type Correlation struct {
	ID            trace.ID
	ClientSpan    trace.SpanID // span ID that the client sent; 0 if the client sent none
	ClientSampled bool         // whether the client samples the trace
	Retry         uint8        // number of earlier requests of the trace that are known to this router
	unservedKey   uint64       // key in the table of unserved requests; 0 if the request has no key
}

// Correlator assigns requests to traces. It is not safe for concurrent use.
type Correlator struct {
	secret      []byte
	retryWindow float64 // ms
	seed        uint64
	objectSeed  uint64
	newTraces   uint64 // number of new traces; the trace IDs are derived from it
	unserved    unservedTable
}

// New returns a Correlator. Routers with the same secret derive the same trace ID from an
// idempotency key. retryWindow is in ms, see SetRetryWindow. The IDs of new traces are derived
// from the seed, so the seed must differ between routers and between restarts of a router.
func New(secret string, retryWindow float64, seed uint64) *Correlator {
	return &Correlator{
		secret:      []byte(secret),
		retryWindow: retryWindow,
		seed:        seed,
		objectSeed:  xxhash.Sum64String("object " + secret),
		unserved:    newUnservedTable(),
	}
}

// SetRetryWindow sets the retry window, in ms. The window begins when a request ends without being
// served. Within the window, the Correlator treats a request as a retry of the unserved request if
// it has the same idempotency key or, without a key, the same object, chunk, class and client
// address.
func (c *Correlator) SetRetryWindow(retryWindow float64) { c.retryWindow = retryWindow }

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

// RequestEnded records that a request ended at the time now, in Unix ms. The argument
// correlation is the result of Correlate for the request. The argument served reports whether
// the client received a usable response. A client with a usable response does not retry.
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

// HashObject returns the hash that identifies an object in stored traces. The hash is the same at
// all routers with the same secret, and does not disclose the object to readers without the secret.
func (c *Correlator) HashObject(object uint64) uint64 { return hashUint64(c.objectSeed, object) }

// newTraceID returns the ID of the next new trace.
func (c *Correlator) newTraceID() trace.ID {
	c.newTraces++
	var id trace.ID
	binary.BigEndian.PutUint64(id[:8], hashUint64(c.seed, c.newTraces))
	binary.BigEndian.PutUint64(id[8:], hashUint64(c.newTraces, c.seed))
	return id
}

// idempotentTraceID derives a trace ID from an idempotency key. The key cannot be recovered from
// the ID.
func (c *Correlator) idempotentTraceID(key string) trace.ID {
	mac := hmac.New(sha256.New, c.secret)
	mac.Write([]byte(key))
	var id trace.ID
	copy(id[:], mac.Sum(nil))
	return id
}

// unservedKey returns the key of a request in the table of unserved requests. The key is a hash
// of the idempotency key, if the request has one. Otherwise the key is a hash of the object,
// chunk, class and client address. Because of the hashes, the table stores no client data in
// plain text. The key is 0 if the request has neither an idempotency key nor a client address.
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

// hashUint64 returns a seeded hash of a number. The hash is never 0.
func hashUint64(seed, number uint64) uint64 {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], number)
	digest := xxhash.NewWithSeed(seed)
	hashBytes(digest, encoded[:])
	return nonZeroSum(digest)
}

// hashBytes adds bytes to a digest. Writing to a digest never fails.
func hashBytes(digest *xxhash.Digest, added []byte) { _, _ = digest.Write(added) }

// hashString adds a string to a digest. Writing to a digest never fails.
func hashString(digest *xxhash.Digest, added string) { _, _ = digest.WriteString(added) }

// nonZeroSum returns the hash of a digest, or 1 if the hash is 0. The value 0 means that there
// is no hash.
func nonZeroSum(digest *xxhash.Digest) uint64 { return max(digest.Sum64(), 1) }
