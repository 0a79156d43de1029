package routing

import "time"

// Popularity of objects.
const (
	// A copy unused for about so long is likely to be evicted.
	popularityTimeConstant = 12 * time.Second
	// A second request soon after a first: more may meet its fill.
	popularThreshold = 1.5
)

// Outlier detection and ejection.
const (
	consecutiveFailureLimit = 8    // failures in a row before an ejection: a router sees few requests
	errorRateGain           = 0.06 // weight of the newest success or error
	outlierErrorMargin      = 0.12 // error rate over twice the best peer's that is no chance
	errorRateCap            = 0.4  // a server that has recovered soon shows it
	firstEjectionTime       = 500 * time.Millisecond
	maxEjectionTime         = 4 * time.Second // a recovered server must not wait much longer for work
	maxEjectionDoublings    = 8
	maxEjectionExtension    = 5 * time.Second        // what one ExtendEjection adds at the most
	recentSuccessWindow     = 500 * time.Millisecond // a response within it speaks for its server
	recentResponseWindow    = 4 * time.Second        // a cache that responded within it is just slow
	overdueChecksToFault    = 3                      // overdue checks of an attempt before a server is at fault
	minCheckInterval        = 100 * time.Millisecond
	subscribeRetryInterval  = 500 * time.Millisecond
)

// Slowdown of a cache: its response time over what the bytes of the response need.
const (
	slowdownGain          = 0.15            // weight of the newest response
	slowdownTimeConstant  = 5 * time.Second // a slowdown that is not observed any more is forgotten
	slowdownCap           = 10.0            // of one response
	saturatedSlowdown     = 1.2             // from it on a cache sends all that it can
	responseTimeAllowance = 0.03            // seconds that a response may take on top
	toleratedSlowdown     = 3.0             // over the best peer's; beyond it a cache gets fewer keys
	minKeyFraction        = 0.05            // of its keys that it keeps, or its recovery would not be seen
)

// Slow start and endpoint list.
const (
	slowStartMargin        = 0.8              // part of a budget used: load is uneven and capacity a guess
	minCapacityFraction    = 0.01             // of a server that has just started
	minWeight              = 0.01             // of a server whose weight is its capacity
	weightConfidence       = 0.7              // part of what a weight promises that a server is taken to carry
	throughputTimeConstant = 15 * time.Second // a router sees few requests
	serverRetention        = time.Minute      // a server removed for so long is a new one when it returns
)

// Limiters: utilization 1 is as busy as a bottleneck should be.
const (
	hitPaceTarget            = 1.6 // pace of hits, over their transfer time, at utilization 1
	linkUtilizationTarget    = 1.8 // use of the link at which fills still run at a client's pace
	fillPaceTarget           = 3.0 // pace of a source's fills, over that of hits, at utilization 1
	rejectionUtilization     = 2.0 // that a server shows by rejecting
	unknownStatusUtilization = 0.2 // and by serving, where no outcome tells its cache status
	writeHeadroom            = 1.5 // writes are limited at so many times the origin load of reads
	maxUtilization           = 4.0 // of one observation
	minPaceSeconds           = 0.02
	limiterActivation        = 0.7                    // utilization from which a limiter limits
	limiterGain              = 0.2                    // weight of the newest observation: several must agree
	limitUpdateInterval      = 100 * time.Millisecond // what a fill needs to show its effect
	maxLimitSteps            = 10.0                   // intervals that one observation stands for
	maxObservationSteps      = 2.0                    // of them in the smoothed utilization
	maxDecreaseSteps         = 2.5                    // of them in a lowered limit
	limitGrowth              = 0.05                   // an interval, where all of a limit is used
	minZoneLimit             = 2.0                    // always allowed to a zone, or nothing would be learned
	initialZoneLimit         = 8.0                    // allowed to a zone when a limiter starts
	meanTransferTimeGain     = 0.02                   // weight of the newest transfer time: sizes differ much
	peerReportMaxAge         = time.Second
)

// Inflight transfers at a zone's caches, and the queue.
const (
	overcommitFactor    = 1.5  // transfers over those that fit at full pace; some wait for a fill
	minInflight         = 2.0  // at one cache, or nothing would be learned of it
	extraInflight       = 1.0  // more where no cache rejected, or routers with small quotas queue at once
	failoverHeadroom    = 0.5  // a failover target takes requests up to this part of its quota
	queuedPace          = 2.5  // transfer times that a response takes where requests queue
	minQueuedSeconds    = 0.01 // least transfer time in a queued request's value
	minAvailableParents = 0.75 // part of the parents that can take over from an unresponsive one
	// Attempts of a read where outcomes tell no cache status: more feed a jam.
	maxReadAttemptsUnknownStatus = 3
)

// Purges and the watch stream.
const (
	// A stream sends something each second; after this it counts as cut off.
	watchStaleAfter = 1500 * time.Millisecond
)
