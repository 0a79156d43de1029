package httpfront

import "time"

// Limits on the size of a request.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 48_000

	// maxChunkedBytes limits the encoded size of a chunked body. It is much larger than
	// maxBodyBytes because chunks may be small and each one has a size line.
	maxChunkedBytes = 8*maxBodyBytes + maxHeaderBytes

	// maxReadAheadBytes limits how many bytes are kept that a client sends while its request
	// is open. Further bytes are read and discarded.
	maxReadAheadBytes = maxHeaderBytes + maxBodyBytes

	// maxLingerBytes limits how many bytes are read and discarded after the last response on
	// a connection.
	maxLingerBytes = 128 << 20

	maxObjectSizeKB = 1e9 // requests with a larger X-Working-Set-Kb are rejected
)

// Limits on the time that a client waits for its response, in milliseconds.
const (
	maxClientTimeoutMs = 600_000  // requests with a larger X-Ttl-Ms are rejected
	clientTimeoutCapMs = 60_000.0 // a larger X-Ttl-Ms is reduced to this

	// The deadline of a request is responseMarginMs before the client gives up, so that the
	// response can reach the client in time. If the client waits for a short time only, the
	// margin is that time divided by responseMarginDivisor.
	responseMarginMs      = 20.0
	responseMarginDivisor = 10
)

// Timeouts of a client's connection, in milliseconds.
const (
	// idleTimeoutMs is how long a connection may be idle. Clients close idle connections after
	// 4 s, so the client normally closes first.
	idleTimeoutMs = 6_000.0

	// firstRequestTimeoutMs is the time from accepting a connection to the first byte of its
	// first request. The rest of that request may take, from its first byte on, as long as
	// remained of this time when the server began to wait for the request.
	firstRequestTimeoutMs = 2_500.0

	// requestTimeoutMs is the time from the first byte of a later request to its last byte.
	requestTimeoutMs = 2_500.0

	// minWriteTimeoutMs is the shortest timeout for writing a response.
	minWriteTimeoutMs = 2_000.0

	// lingerTimeoutMs is how long after accepting a connection the server still discards a
	// client's bytes, if it rejected the request before it had read it completely.
	lingerTimeoutMs = 2_800.0

	// largeBodyLingerTimeoutMs replaces lingerTimeoutMs if the client announced or sent a
	// body of more than maxBodyBytes.
	largeBodyLingerTimeoutMs = 5_500.0

	// finalLingerTimeoutMs is how long the server still discards a client's bytes after the
	// last response on the connection.
	finalLingerTimeoutMs = 500.0

	// newConnGraceMs is how long a new connection is safe from eviction while the server
	// waits for its first request.
	newConnGraceMs = 250.0

	// evictedReadTimeoutMs is the time that an evicted connection has to complete a request
	// whose first byte has arrived.
	evictedReadTimeoutMs = 50.0

	// shutdownFirstRequestTimeoutMs is the time that a new connection has to begin its first
	// request once the server shuts down.
	shutdownFirstRequestTimeoutMs = 100.0
)

// Intervals of the accept loop.
const (
	acceptRetryInterval = 5 * time.Millisecond   // after a failed accept
	evictionInterval    = 20 * time.Millisecond  // between evictions while too many connections are open
	backlogWait         = 20 * time.Millisecond  // for another connection in the backlog, at shutdown
	maxBacklogWait      = 400 * time.Millisecond // for all connections in the backlog, at shutdown
)
