package routing

import "time"

// This file holds every tuned value of the package. The name or the comment of a value gives its
// unit; a value without a unit is a ratio.

// Popularity of objects.
const (
	// popularityTimeConstant is the time constant with which the request count of an object decays.
	// A cache is likely to evict a copy that has not been used for about this long.
	popularityTimeConstant = 12 * time.Second

	// popularThreshold is the decayed number of requests from which an object is popular. It lets a
	// second request that follows soon after the first join the fill of the first.
	popularThreshold = 1.5
)

// Outlier detection and ejection.
const (
	// consecutiveFailureLimit is the number of consecutive failures that ejects a server. It is low
	// because one router sees only a few of a server's requests.
	consecutiveFailureLimit = 8

	// errorRateGain is the largest weight of the newest success or error in a server's error rate.
	// The weight is the number of seconds since the previous one, up to this value: with a fixed
	// weight, three or four errors among hundreds of outcomes a second ejected a busy cache.
	errorRateGain = 0.06

	// A server is an outlier when its error rate exceeds outlierErrorMargin plus outlierErrorRatio
	// times the error rate of its best peer. A difference this large is not due to chance.
	outlierErrorMargin = 0.12
	outlierErrorRatio  = 2

	// errorRateCap bounds a server's error rate, so that the rate falls soon after the server has
	// recovered.
	errorRateCap = 0.4

	// firstEjectionTime is the duration of the first ejection. Each consecutive ejection lasts twice
	// as long as the one before, for at most maxEjectionDoublings doublings and never longer than
	// maxEjectionTime, so that a server that has recovered soon gets work again.
	firstEjectionTime    = 500 * time.Millisecond
	maxEjectionTime      = 4 * time.Second
	maxEjectionDoublings = 8

	// maxEjectionExtension bounds the end of an ejection that ExtendEjection prolongs, counted from
	// the time of the event.
	maxEjectionExtension = 5 * time.Second

	// recentSuccessWindow is the time after a response during which RequireProbe does not apply to
	// the server.
	recentSuccessWindow = 500 * time.Millisecond

	// recentResponseWindow is the time after a response during which a cache with an overdue attempt
	// counts as slow, not as unresponsive. It equals maxEjectionTime, the longest that the detection
	// of a lost cache may take.
	recentResponseWindow = 4 * time.Second

	// overdueChecksToFault is the number of checks that must find an attempt overdue, while all its
	// servers respond, before one of the servers can be at fault. A lower number degraded service
	// during an overload.
	overdueChecksToFault = 3

	// minCheckInterval is the shortest time between two checks of an attempt.
	minCheckInterval = 100 * time.Millisecond

	// checkObjectiveDivisor: an attempt is overdue after its transfer time plus the latency objective
	// of its class divided by this value.
	checkObjectiveDivisor = 2
)

// Slowdown of a cache: its response time divided by the time that the bytes of the response need.
const (
	// slowdownGain is the weight of the newest response in a cache's slowdown.
	slowdownGain = 0.15

	// slowdownTimeConstant is the time constant with which a slowdown returns to 1 while no response
	// is observed.
	slowdownTimeConstant = 5 * time.Second

	// slowdownCap bounds the slowdown that is recorded for one response.
	slowdownCap = 10.0

	// saturatedSlowdown is the slowdown from which a cache is considered to send all that its link
	// can carry. Below it, a router that is the only active one in its zone may use whole links.
	saturatedSlowdown = 1.2

	// responseTimeAllowance is the time in seconds that a response may take in addition to its
	// transfer.
	responseTimeAllowance = 0.03

	// toleratedSlowdown is the multiple of the best peer's slowdown beyond which a cache is home of
	// fewer keys. It is well above 1 because a single slow fill already shows a slowdown of 1.5.
	toleratedSlowdown = 3.0

	// minKeyFraction is the smallest fraction of its keys that a slow cache keeps: without requests
	// its recovery would not be seen. It is not reached with the present slowdownCap and
	// toleratedSlowdown, which leave a cache a fraction of 0.09.
	minKeyFraction = 0.05
)

// Slow start.
const (
	// slowStartMargin is the fraction of a warming server's budget that is used, because load is
	// uneven and the capacity is only estimated.
	slowStartMargin = 0.8

	// minCapacityFraction is the smallest fraction of its capacity that a warming server is assumed
	// to have.
	minCapacityFraction = 0.01

	// minWeight is the smallest weight of a server, in concurrent transfers, where weights are
	// capacities. It keeps divisions finite.
	minWeight = 0.01

	// minSlowStartSeconds is the shortest duration of a slow start, in seconds. It keeps a division
	// finite.
	minSlowStartSeconds = 1e-3

	// weightConfidence is the fraction of the throughput implied by its weight that a server is
	// assumed to carry.
	weightConfidence = 0.7

	// throughputTimeConstant is the time constant of the throughput of a role. It is long because a
	// router sees few requests.
	throughputTimeConstant = 15 * time.Second
)

// Endpoint list and watch stream.
const (
	// serverRetention is how long the state of a removed server is kept. A server that returns later
	// is treated as a new one.
	serverRetention = time.Minute

	// subscribeRetryInterval is the wait between a failed subscription and the next one.
	subscribeRetryInterval = 500 * time.Millisecond

	// watchStaleAfter is the time without an event after which the watch stream counts as cut off.
	// The stream sends something every second.
	watchStaleAfter = 1500 * time.Millisecond
)

// Observations of limiters. A utilization of 1 is the load that a bottleneck should have.
const (
	// hitPaceTarget is the response time of hits divided by their transfer time at utilization 1.
	hitPaceTarget = 1.6

	// linkUtilizationTarget is the reported utilization of a zone's link that counts as utilization
	// 1. Fills still run at a client's pace there.
	linkUtilizationTarget = 1.8

	// fillPaceTarget is the pace of a source's fills divided by the pace of hits at utilization 1.
	fillPaceTarget = 3.0

	// fillPaceCapFactor bounds the pace of one fill to this multiple of fillPaceTarget in the
	// smoothed pace of fills.
	fillPaceCapFactor = 2

	// fillGainDivisor is the factor by which the smoothed latency and pace of fills change more
	// slowly than a utilization.
	fillGainDivisor = 2

	// rejectionUtilization is the utilization that is recorded when a server rejects.
	rejectionUtilization = 2.0

	// unknownStatusUtilization is the utilization that is recorded when a cache serves and outcomes
	// report no cache status. Without it, a limiter that rejections had activated never ended.
	unknownStatusUtilization = 0.2

	// writeHeadroom divides the origin's utilization for writes, so that reads are limited before
	// writes.
	writeHeadroom = 1.5

	// maxUtilization bounds the utilization of one observation.
	maxUtilization = 4.0

	// minPaceSeconds is the smallest transfer time, in seconds, from which a pace is computed.
	minPaceSeconds = 0.02

	// peerReportMaxAge is the age from which a load report of another router is ignored.
	peerReportMaxAge = time.Second

	// meanTransferTimeGain is the weight of the newest transfer time in the mean of its class. It is
	// small because sizes vary widely.
	meanTransferTimeGain = 0.02
)

// Reaction of limiters.
const (
	// limiterActivation is the smoothed utilization above which a limiter becomes active.
	limiterActivation = 0.7

	// limiterEndDivisor: a limiter ends when its utilization is below limiterActivation divided by
	// this value and less than its limit divided by this value is in use.
	limiterEndDivisor = 2

	// limiterGain is the weight of the newest observation in a utilization. It is small so that
	// several observations must agree.
	limiterGain = 0.2

	// limitUpdateInterval is the shortest time between two changes of a limit: the time that a fill
	// needs to show its effect. The steps below are intervals of this length.
	limitUpdateInterval = 100 * time.Millisecond

	// maxLimitSteps is the largest number of intervals that one observation stands for.
	// maxObservationSteps bounds this number in the smoothed utilization, and maxDecreaseSteps where
	// a limit is lowered.
	maxLimitSteps       = 10.0
	maxObservationSteps = 2.0
	maxDecreaseSteps    = 2.5

	// limitGrowth is the fraction by which a fully used limit grows in each interval.
	limitGrowth = 0.05

	// minZoneLimit is the number of transfers that all routers of a zone together are always allowed:
	// without any transfer, no utilization would be observed.
	minZoneLimit = 2.0

	// initialZoneLimit is the number of transfers that all routers of a zone together are allowed when
	// a limiter becomes active.
	initialZoneLimit = 8.0
)

// Transfers in flight at a zone's caches.
const (
	// overcommitFactor is the number of transfers that may be in flight at a cache divided by the
	// number that it sends at full pace. It is above 1 because some of them wait for a fill.
	overcommitFactor = 1.5

	// minInflight is the number of attempts that a router may always have in flight at a cache:
	// without any attempt it would learn nothing of the cache.
	minInflight = 2.0

	// extraInflight is the number of attempts added to minInflight while no cache has rejected
	// recently. Without it, all routers with small quotas queue at the same time.
	extraInflight = 1.0

	// failoverHeadroom is the fraction of its quota up to which a cache is a failover target. It is
	// well below 1 because service degrades sharply when a failover target has less headroom.
	failoverHeadroom = 0.5

	// minAvailableParents is the fraction of the parents that must be available to take over the
	// objects of an unresponsive parent. With fewer, the origin takes over.
	minAvailableParents = 0.75
)

// The queue and the final answers.
const (
	// queuedPace is the expected response time, in transfer times, while requests queue.
	queuedPace = 2.5

	// minQueuedSeconds is the smallest transfer time, in seconds, from which the value per second of
	// a queued request is computed.
	minQueuedSeconds = 0.01

	// expectedWriteDivisor: the expected latency of a write is the latency objective of its class
	// divided by this value.
	expectedWriteDivisor = 2

	// minQueueDivisor: a read may queue for at least the latency objective of its class divided by
	// this value.
	minQueueDivisor = 2

	// retryAfterDivisor: the Retry-After of a rejection is the longest that clients honour divided by
	// this value.
	retryAfterDivisor = 2

	// maxReadAttemptsUnknownStatus is the largest number of attempts of a read where outcomes report
	// no cache status. More attempts would add to an overload.
	maxReadAttemptsUnknownStatus = 3
)

// Memory.
const (
	// maxRecentEntries is the number of entries in each half of a boundedTable. It limits a table to
	// a few MB.
	maxRecentEntries = 1 << 15
)
