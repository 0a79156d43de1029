package httpfront

import (
	"time"
)

const (
	maxHeaderBytes                = 16 << 10
	maxBodyBytes                  = 48_000
	clientTimeoutCapMs            = 60_000.0  // ms; a longer X-Ttl-Ms is cut to it
	maxClientTimeoutMs            = 600_000   // ms; a longer X-Ttl-Ms is no time that a client waits
	maxObjectSizeKB               = 1e9       // a larger X-Working-Set-Kb is no size of a part
	idleTimeoutMs                 = 6_000.0   // ms that a connection may be idle; clients close after 4 s
	firstRequestTimeoutMs         = 2_500.0   // ms from the connection's start to the last byte of its first request
	requestTimeoutMs              = 2_500.0   // ms from a later request's first byte to its last
	minWriteTimeoutMs             = 2_000.0   // ms that an answer may take to be written
	lingerTimeoutMs               = 2_800.0   // ms from the connection's start for which a refused client is still read
	largeBodyLingerTimeoutMs      = 5_500.0   // and for one that announced, or sent, more than a body may be
	maxLingerBytes                = 128 << 20 // bytes read and dropped meanwhile
	responseMarginMs              = 20.0      // ms before the client gives up by which an answer is wanted
	finalLingerTimeoutMs          = 500.0     // ms for which a client is still read after the last answer on its connection
	newConnGraceMs                = 250.0     // ms that a connection has for its first request before it may have to make room
	evictedReadTimeoutMs          = 50.0      // ms that is left to a request that is coming on a connection that is to make room
	shutdownFirstRequestTimeoutMs = 100.0     // ms that a new connection has for its first request when all end
	maxReadAheadBytes             = maxHeaderBytes + maxBodyBytes
	backlogWait                   = 20 * time.Millisecond  // without a new connection, until the socket is closed at the end
	maxBacklogWait                = 400 * time.Millisecond // by which it is closed all the same
	evictionInterval              = 20 * time.Millisecond
)
