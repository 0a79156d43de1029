package routing

import "time"

// This file holds every tuned value of the package. The name or the comment of a value gives its
// unit; a value without a unit is a ratio.

// Popularity of objects.
const (
	// popularityTimeConstant is the time constant with which the request count of an object decays.
	// A cache is likely to evict a copy that has not been used for about this long.
	popularityTimeConstant = 12 * time.Second

	// popularThreshold is the smallest decayed request count of a popular object. Only requests for popular
	// objects join fills in progress. After two requests, the count is slightly below 2, because the first
	// request has decayed. The threshold is lower still, so that the second request can join the fill of
	// the first.
	popularThreshold = 1.5
)

// Outlier detection and ejection.
const (
	// consecutiveFailureLimit is the number of consecutive failures that ejects a server. It is low
	// because one router sees only a few of a server's requests.
	consecutiveFailureLimit = 8

	// errorRateGain is the largest weight of the newest success or error in a server's error rate.
	// The weight equals the number of seconds since the previous success or error, up to this value.
	// With a fixed weight, three or four errors among hundreds of outcomes a second would eject a busy
	// cache.
	errorRateGain = 0.06

	// A server is an outlier when its error rate exceeds outlierErrorMargin plus outlierErrorRatio
	// times the lowest error rate among its peers. A difference this large is not due to chance.
	outlierErrorMargin = 0.12
	outlierErrorRatio  = 2

	// errorRateCap bounds a server's error rate, so that the rate falls soon after the server has
	// recovered.
	errorRateCap = 0.4

	// firstEjectionTime is the duration of the first ejection. Each consecutive ejection lasts twice
	// as long as the previous ejection, with at most maxEjectionDoublings doublings. No ejection lasts
	// longer than maxEjectionTime, so that a recovered server soon gets work again.
	firstEjectionTime    = 500 * time.Millisecond
	maxEjectionTime      = 4 * time.Second
	maxEjectionDoublings = 8

	// maxEjectionExtension is the longest time from an ExtendEjection event to the end of the ejection
	// that the event prolongs.
	maxEjectionExtension = 5 * time.Second

	// recentSuccessWindow is the time after a response of a server during which a RequireProbe event, which
	// demands a probe of the server, has no effect, unless the server has failed since.
	recentSuccessWindow = 500 * time.Millisecond

	// recentResponseWindow is the time after a response of a cache during which an overdue attempt shows
	// that the cache is slow, not that it is unresponsive. The router must detect a lost cache within
	// maxEjectionTime, so the window is as long as maxEjectionTime.
	recentResponseWindow = 4 * time.Second

	// overdueChecksToFault is the number of checks of an overdue attempt after which the target of the
	// attempt, or the source that fills its miss, can count as at fault although both servers respond. A
	// lower number would degrade service during an overload.
	overdueChecksToFault = 3

	// minCheckInterval is the shortest time between two checks of an attempt.
	minCheckInterval = 100 * time.Millisecond

	// checkObjectiveDivisor: the time after which an attempt is overdue is the sum of two terms. One is the
	// transfer time. The other is the latency objective of its class, divided by this value.
	checkObjectiveDivisor = 2
)

// Slowdown of a cache: its response time divided by the transfer time of the response at full pace.
const (
	// slowdownGain is the weight of the newest response in a cache's slowdown.
	slowdownGain = 0.15

	// slowdownTimeConstant is the time constant with which a slowdown returns to 1 while no response
	// is observed.
	slowdownTimeConstant = 5 * time.Second

	// slowdownCap bounds the slowdown that is recorded for one response.
	slowdownCap = 10.0

	// saturatedSlowdown is the slowdown at which the link of a cache is considered full. While the
	// slowdown of a cache is lower, one router may use the whole link of the cache, since the other
	// routers of the zone have few attempts in flight there.
	saturatedSlowdown = 1.2

	// responseTimeAllowance is the time in seconds that a response may take in addition to its
	// transfer time.
	responseTimeAllowance = 0.03

	// toleratedSlowdown is the largest ratio of a cache's slowdown to the lowest slowdown among its
	// peers at which the cache keeps all its keys. It is well above 1 because a single slow fill already
	// shows a slowdown of 1.5.
	toleratedSlowdown = 3.0

	// minKeyFraction is the smallest fraction of its keys that a slow cache keeps. Without requests, the
	// router would not notice that the cache has recovered. The fraction does not fall below the square of
	// toleratedSlowdown / slowdownCap, which is 0.3 squared, or 0.09. The bound is therefore not reached.
	minKeyFraction = 0.05
)

// Slow start.
const (
	// slowStartMargin is the load that routers may send to a warming server, as a fraction of the load that
	// overloads the server. It is below 1 because load is uneven and the capacity of the server is only
	// estimated.
	slowStartMargin = 0.8

	// minCapacityFraction is the lower bound of the capacity that a warming server is assumed to have, as
	// a fraction of its full capacity.
	minCapacityFraction = 0.01

	// minWeight is the smallest weight of a server, in concurrent transfers, if weights are capacities.
	// It prevents divisions by zero.
	minWeight = 0.01

	// minSlowStartSeconds is the shortest duration of a slow start, in seconds. It prevents a division
	// by zero.
	minSlowStartSeconds = 1e-3

	// weightConfidence is the throughput that a server is assumed to carry, as a fraction of the
	// throughput that its weight implies.
	weightConfidence = 0.7

	// throughputTimeConstant is the time constant with which the throughput of the caches, of the parents
	// or of the origin decays. It is long because a router sees few requests.
	throughputTimeConstant = 15 * time.Second
)

// Endpoint list and watch stream.
const (
	// serverRetention is the time for which the record of a removed or draining server is kept after the
	// router last sent work to the server. A server that returns after this time is treated as a new
	// server.
	serverRetention = time.Minute

	// subscribeRetryInterval is the time between a failed subscription and the next attempt to
	// subscribe.
	subscribeRetryInterval = 500 * time.Millisecond

	// watchStaleAfter is the time without a frame after which the watch stream counts as cut off.
	// The stream sends at least one frame every second.
	watchStaleAfter = 1500 * time.Millisecond
)

// Utilizations that limiters observe at their bottlenecks, and the values from which they are computed. At
// utilization 1, a bottleneck has its target load.
const (
	// hitPaceTarget is the pace of hits (response time divided by transfer time) at which a cache has
	// utilization 1.
	hitPaceTarget = 1.6

	// linkUtilizationTarget is the utilization of a zone's link, as caches report it, for which the limiter
	// of the link observes utilization 1. At this load, fills are still as fast as transfers to clients.
	linkUtilizationTarget = 1.8

	// fillPaceTarget is the ratio of the pace of a source's fills to the pace of hits at which the source
	// has utilization 1. A pace is a response time divided by the transfer time.
	fillPaceTarget = 3.0

	// fillPaceCapFactor is the upper bound of the pace (response time divided by transfer time) that one
	// fill contributes to the smoothed pace of fills, as a multiple of fillPaceTarget.
	fillPaceCapFactor = 2

	// fillGainDivisor is the divisor of limiterGain for the smoothed latency and pace of fills. These
	// values therefore change more slowly than a utilization.
	fillGainDivisor = 2

	// rejectionUtilization is the utilization that is recorded when a server rejects.
	rejectionUtilization = 2.0

	// unknownStatusUtilization is the utilization that is recorded when a cache serves an attempt and
	// outcomes report no cache status. Without this observation, a limiter that rejections have activated
	// would never become inactive.
	unknownStatusUtilization = 0.2

	// writeHeadroom is the value by which the origin's utilization is divided before the limiter of writes
	// observes it. The value is above 1, so that reads are limited before writes.
	writeHeadroom = 1.5

	// maxUtilization bounds the utilization of one observation.
	maxUtilization = 4.0

	// minPaceSeconds is the lower bound of the transfer time, in seconds, by which a response time is
	// divided to compute a pace.
	minPaceSeconds = 0.02

	// peerReportMaxAge is the age at which a load report from another router becomes too old to use.
	peerReportMaxAge = time.Second

	// meanTransferTimeGain is the weight of the newest transfer time in the mean of its class. It is
	// small because sizes vary widely.
	meanTransferTimeGain = 0.02
)

// Reaction of limiters.
const (
	// limiterActivation is the smoothed utilization above which a limiter becomes active.
	limiterActivation = 0.7

	// limiterEndDivisor: a limiter becomes inactive when two conditions hold. Its utilization is below
	// limiterActivation divided by this value, and its number of transfers in flight is below its
	// limit divided by this value.
	limiterEndDivisor = 2

	// limiterGain is the weight of the newest observation in a utilization. It is small so that
	// several observations must agree.
	limiterGain = 0.2

	// limitUpdateInterval is the shortest time between two changes of a limit. A fill needs about this
	// time to show its effect. One step in the constants below is one interval of this length.
	limitUpdateInterval = 100 * time.Millisecond

	// maxLimitSteps is the largest number of steps, each of limitUpdateInterval, that one observation
	// represents. maxObservationSteps is the bound of this number for an update of the smoothed
	// utilization, and maxDecreaseSteps is the bound for a decrease of the limit.
	maxLimitSteps       = 10.0
	maxObservationSteps = 2.0
	maxDecreaseSteps    = 2.5

	// limitGrowth is the fraction by which a fully used limit grows in each step of limitUpdateInterval.
	limitGrowth = 0.05

	// minZoneLimit is the number of transfers that the limiters of all routers of a zone together
	// always allow. Without any transfer, no utilization would be observed.
	minZoneLimit = 2.0

	// initialZoneLimit is the number of transfers that the limiters of all routers of a zone together
	// allow when they become active.
	initialZoneLimit = 8.0
)

// Transfers in flight at a zone's caches.
const (
	// overcommitFactor is the allowed number of transfers in flight at a cache, divided by the number of
	// transfers that the cache sends at full pace. It is above 1 because some transfers wait for a fill.
	overcommitFactor = 1.5

	// minInflight is the number of attempts that a router may always have in flight at a cache. Without
	// any attempt, the router would learn nothing about the cache.
	minInflight = 2.0

	// extraInflight is the number of attempts added to minInflight while no limiter of a cache is active.
	// Without these attempts, all routers that may have few attempts in flight would queue requests at the
	// same time.
	extraInflight = 1.0

	// failoverHeadroom: a cache can be a failover target while the number of attempts that the router has
	// in flight at the cache is below this fraction of the largest number that the router may have in
	// flight there. The fraction is well below 1 because service degrades sharply when a failover target
	// has little headroom.
	failoverHeadroom = 0.5

	// minAvailableParents is the fraction of the parents that must be available for them to take over
	// the objects of an unresponsive parent. If fewer parents are available, the origin takes over.
	minAvailableParents = 0.75
)

// The queue and the final answers.
const (
	// queuedPace is the expected response time of a request that had to queue, divided by the transfer
	// time of its response.
	queuedPace = 2.5

	// minQueuedSeconds is the lower bound of the transfer time, in seconds, by which queueValue divides.
	minQueuedSeconds = 0.01

	// expectedWriteDivisor: the expected latency of a write is the latency objective of its class
	// divided by this value.
	expectedWriteDivisor = 2

	// minQueueDivisor: a read may queue for at least the latency objective of its class divided by
	// this value.
	minQueueDivisor = 2

	// retryAfterDivisor: the Retry-After of a rejection is the longest Retry-After that clients obey,
	// divided by this value.
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
