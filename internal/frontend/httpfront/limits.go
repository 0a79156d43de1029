package httpfront

import "time"

// Limits on the size of a request.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 48_000

	// maxChunkedBytes limits the encoded size of a chunked body. It is much larger than
	// maxBodyBytes because chunks may be small and each chunk has a size line.
	maxChunkedBytes = 8*maxBodyBytes + maxHeaderBytes

	// maxReadAheadBytes limits how many bytes the server keeps if a client sends more while its
	// request is open. Further bytes stay in the socket.
	maxReadAheadBytes = maxHeaderBytes + maxBodyBytes

	// receiveBufferBytes is the size of a connection's receive buffer in the system, which holds the bytes
	// that stay in the socket. The end of a connection is seen only behind bytes that have arrived there.
	receiveBufferBytes = 256 << 10

	// maxLingerBytes limits how many bytes are read and discarded after the last response on
	// a connection.
	maxLingerBytes = 128 << 20

	// maxEvictions is the number of connections without a whole first request that are evicted at a time
	// while MaxConnections are open.
	maxEvictions = 4

	// readersPerProcessor is the number of connections for each processor whose received bytes are
	// processed at a time.
	readersPerProcessor = 4

	maxObjectSizeKB = 1e9 // the server rejects a request with a larger X-Working-Set-Kb
)

// Limits on the timeout that a client sets for its response in X-Ttl-Ms, in milliseconds.
const (
	maxClientTimeoutMs = 600_000  // the server rejects a request with a larger X-Ttl-Ms
	clientTimeoutCapMs = 60_000.0 // the server reduces a larger X-Ttl-Ms to this value

	// The deadline of a request is earlier than the end of the client's timeout, so that the
	// response can reach the client in time. The margin between them is responseMarginMs, but at
	// most the client's timeout divided by responseMarginDivisor.
	responseMarginMs      = 20.0
	responseMarginDivisor = 10
)

// Timeouts of a client's connection, in milliseconds.
const (
	// idleTimeoutMs is how long a connection may be idle. Clients close idle connections after
	// 4 s, so the client normally closes first.
	idleTimeoutMs = 6_000.0

	// firstRequestTimeoutMs limits the time from accepting a connection to the first byte of its
	// first request. When that byte arrives, another timeout starts for the rest of the request.
	// That timeout equals the part of firstRequestTimeoutMs that was left when the server began to
	// wait for the request.
	firstRequestTimeoutMs = 2_500.0

	// requestTimeoutMs limits the time from the first to the last byte of each later request.
	requestTimeoutMs = 2_500.0

	// minWriteTimeoutMs is the shortest timeout for writing a response.
	minWriteTimeoutMs = 2_000.0

	// lingerTimeoutMs applies if the server rejects a request before it has read the whole request.
	// The server then discards the client's bytes until lingerTimeoutMs after it accepted the
	// connection.
	lingerTimeoutMs = 2_800.0

	// largeBodyLingerTimeoutMs replaces lingerTimeoutMs if the client announced or sent a
	// body of more than maxBodyBytes.
	largeBodyLingerTimeoutMs = 5_500.0

	// finalLingerTimeoutMs is how long the server discards a client's bytes after the last response
	// on a connection.
	finalLingerTimeoutMs = 500.0

	// newConnGraceMs is how long a new connection is protected from eviction while the server waits
	// for its first request.
	newConnGraceMs = 250.0

	// evictedReadTimeoutMs limits the time to read the rest of a request on an evicted connection.
	// It applies if the first byte of the request has arrived.
	evictedReadTimeoutMs = 50.0

	// shutdownFirstRequestTimeoutMs limits how long the server, once it shuts down, waits for the
	// first byte of the first request on a connection.
	shutdownFirstRequestTimeoutMs = 100.0
)

// Intervals of the accept loop.
const (
	acceptRetryInterval = 5 * time.Millisecond   // delay after a failed accept
	evictionInterval    = 20 * time.Millisecond  // delay between evictions while MaxConnections are open
	backlogWait         = 20 * time.Millisecond  // at shutdown, longest wait for the next connection in the backlog
	maxBacklogWait      = 400 * time.Millisecond // at shutdown, longest wait for all connections in the backlog
	maxCloseWait        = 100 * time.Millisecond // longest wait for the close of the listener
	maxServeWait        = 1 * time.Second        // at shutdown, longest wait for the end of Serve
)
