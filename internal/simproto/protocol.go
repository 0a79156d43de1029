package simproto

import "math"

// Names of the messages in a batch.
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

// Names of the lines in a reply.
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

// subscriptionOn is the value of a replySubscribe line that starts or renews a subscription.
const subscriptionOn = 1

// absentValue marks an absent value in the protocol.
const absentValue = "-"

// Largest values that the protocol allows.
const (
	maxRequestID    = 1<<52 - 1
	maxServerID     = 1<<32 - 1
	maxTimerToken   = 1 << 63
	maxServerList   = 15                   // largest number that identifies a server list
	maxIndex        = 1 << 31              // list indexes, instance numbers, counts and bit sets
	maxMicroseconds = math.MaxInt64 / 1000 // largest number of microseconds in a time.Duration
)

// updateForm is the protocol's code for the kind of an endpoint update.
type updateForm uint64

// Kinds of endpoint updates.
const (
	formSnapshot       updateForm = iota
	formDelta                     // only the entries that changed
	formCachedSnapshot            // the whole list as the instance received it last
	formFailed                    // the subscription failed; the update has no list
)

// requestOptionClientRetry is the bit in a request's options that marks a retry by the client.
const requestOptionClientRetry = 2

// Bits of an attempt's flags. The protocol also defines a bit with the value 4, which tells the
// parent not to keep a copy. This package never sets that bit.
const (
	flagJoinFill     = 1
	flagOnlyIfCached = 2
	flagRevalidate   = 8
)

// Names of the load report values that are used. Values with other names are ignored.
const (
	loadInflight        = "active"
	loadCPUUtilization  = "cpu"
	loadHitRatio        = "x0"
	loadLinkUtilization = "x1"
)
