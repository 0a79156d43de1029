package httpfront

import "time"

// Bounds on what one request may bring.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 48_000

	// maxChunkedBytes bounds a chunked body as it is on the wire: chunks may be small, and
	// each has a line of its own.
	maxChunkedBytes = 8*maxBodyBytes + maxHeaderBytes

	// maxReadAheadBytes bounds what is kept of a client that sends on while its request is
	// open. More is read and discarded.
	maxReadAheadBytes = maxHeaderBytes + maxBodyBytes

	// maxLingerBytes bounds what is read and discarded after the last response.
	maxLingerBytes = 128 << 20

	maxObjectSizeKB = 1e9 // a larger X-Working-Set-Kb is rejected
)

// The time that a client waits for its response, in milliseconds.
const (
	maxClientTimeoutMs = 600_000  // a longer X-Ttl-Ms is rejected
	clientTimeoutCapMs = 60_000.0 // a longer X-Ttl-Ms counts as this

	// A response is due this long before the client gives up, or a tenth of the client's
	// time before if that is less.
	responseMarginMs      = 20.0
	responseMarginDivisor = 10
)

// Timeouts of a client's connection, in milliseconds.
const (
	// idleTimeoutMs is how long a connection may be idle. Clients close theirs after 4 s.
	idleTimeoutMs = 6_000.0

	// firstRequestTimeoutMs counts from the acceptance of a connection to the first byte of
	// its first request. What was left of it when that request was first waited for bounds
	// the rest of the request, from its first byte on.
	firstRequestTimeoutMs = 2_500.0

	// requestTimeoutMs counts from the first byte of a later request to its last.
	requestTimeoutMs = 2_500.0

	// minWriteTimeoutMs is the least time that a response may take to be written.
	minWriteTimeoutMs = 2_000.0

	// lingerTimeoutMs counts from the acceptance of a connection. Until then a client whose
	// request was rejected before it was read completely is still read from.
	lingerTimeoutMs = 2_800.0

	// largeBodyLingerTimeoutMs is lingerTimeoutMs for a client that announced, or sent, a
	// longer body than is accepted.
	largeBodyLingerTimeoutMs = 5_500.0

	// finalLingerTimeoutMs is how long a client is still read from after the last response
	// on its connection.
	finalLingerTimeoutMs = 500.0

	// newConnGraceMs is how long a new connection may not be evicted before it has sent its
	// first request.
	newConnGraceMs = 250.0

	// evictedReadTimeoutMs is what an evicted connection has for a request whose first byte
	// has been read.
	evictedReadTimeoutMs = 50.0

	// shutdownFirstRequestTimeoutMs is what a new connection has for its first request once
	// the server shuts down.
	shutdownFirstRequestTimeoutMs = 100.0
)

// Intervals of the accept loop.
const (
	acceptRetryInterval = 5 * time.Millisecond  // after a failed accept
	evictionInterval    = 20 * time.Millisecond // between evictions while there is no capacity
	backlogWait         = 20 * time.Millisecond // for one more connection, at shutdown
	maxBacklogWait      = 400 * time.Millisecond
)
