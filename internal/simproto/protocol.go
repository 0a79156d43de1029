package simproto

import "math"

// The names of messages in a batch.
const (
	messageBatchStart         = "TURN"
	messageBatchEnd           = "END"
	messageSelectInstance     = "SELECT"
	messageServerList         = "CATALOG"
	messageServer             = "ITEM"
	messageInstanceStart      = "BEGIN"
	messageInstanceStop       = "TEARDOWN"
	messageEndpointUpdate     = "DIRECTORY_UPDATE"
	messageRequest            = "INGRESS"
	messageOutcome            = "VERDICT"
	messageTimerFired         = "WAKEUP"
	messagePurge              = "OUTDATED"
	messageClientDisconnected = "LEFT"
	messageFirstByte          = "FIRST_BYTE"
	messageProbeResult        = "PROBED"
	messageFromPeer           = "MEMO"
)

// The names of lines in a reply.
const (
	replyInstance      = "BY"
	replyEnd           = "NEXT"
	replySendAttempt   = "SERVE_OR_FILL"
	replyReject        = "REFUSE"
	replyFail          = "ABORT"
	replyCancelAttempt = "REVOKE"
	replySetTimer      = "SCHEDULE"
	replySubscribe     = "FOLLOW"
)

// subscriptionOn is the value of replySubscribe that starts a subscription, or renews it.
const subscriptionOn = 1

// absentValue is how the protocol writes a value that is absent.
const absentValue = "-"

// The largest values that the protocol allows.
const (
	maxRequestID    = 1<<52 - 1
	maxServerID     = 1<<32 - 1
	maxTimerToken   = 1 << 63
	maxServerList   = 15                   // number of a server list
	maxIndex        = 1 << 31              // places in lists, numbers of instances, counts and sums of bits
	maxMicroseconds = math.MaxInt64 / 1000 // microseconds that fit a time.Duration
)

// updateForm is the form of an endpoint update on the wire.
type updateForm uint64

// The forms of an endpoint update.
const (
	formSnapshot       updateForm = iota
	formDelta                     // only the entries that changed
	formCachedSnapshot            // the whole list as the instance had it last
	formFailed                    // a subscription failed; there is no list
)

// requestOptionClientRetry is the bit of a request's options that marks a client's retry.
const requestOptionClientRetry = 2

// The bits of an attempt's switches. Bit 4, which leaves no copy at the parent, is never set.
const (
	switchJoinFill     = 1
	switchOnlyIfCached = 2
	switchRevalidate   = 8
)

// The values of a load report that are used; those of other names are skipped.
const (
	loadInflight        = "active"
	loadCPUUtilization  = "cpu"
	loadHitRatio        = "x0"
	loadLinkUtilization = "x1"
)
