package routing

import "time"

// Every tuned value of the package stands in this file, with its unit and what was measured for
// it. A value without a unit is a ratio. "Inherited" values came with the first version of the
// package (commit 4492091); no measurement of them is recorded and none was made since, unless
// their comment names one. A measurement names the commit whose message records it. Scores are
// those of the load test, 1 is the best; G is the figure of one of its days that the day's score is
// computed from, and "simulator quick" is the quick run of the simulator.

// Popularity of objects.
const (
	// popularityTimeConstant is the time constant of the request count of an object: a copy that is
	// unused for about so long is likely to be evicted. Inherited, not measured separately.
	popularityTimeConstant = 12 * time.Second

	// popularThreshold is the decayed number of requests from which an object is popular. It lets a
	// second request soon after the first join the first one's fill. Inherited, not measured
	// separately.
	popularThreshold = 1.5
)

// Outlier detection and ejection.
const (
	// consecutiveFailureLimit is the number of failures in a row that ejects a server. It is low
	// since one router sees few of a server's requests. Inherited, not measured separately.
	consecutiveFailureLimit = 8

	// errorRateGain is the greatest weight of the newest success or error in a server's error rate.
	// The weight is the number of seconds since the last one, up to this. Commit 804d738: with 0.06
	// whatever the time, caches with 37 to 76 attempts in flight were ejected for three or four
	// errors of some 200 outcomes a second; weighed by time the reload day went from 0.89 to 1.00.
	// Other weights were not measured.
	errorRateGain = 0.06

	// A server is an outlier when its error rate is over outlierErrorMargin plus outlierErrorRatio
	// times the rate of its best peer: so far apart is not chance. Commit 6633e15: the rule took the
	// reload day from G 0.807 to 0.868. The two values were not measured separately.
	outlierErrorMargin = 0.12
	outlierErrorRatio  = 2

	// errorRateCap bounds a server's error rate, so that one that has recovered soon shows it. Not
	// measured separately.
	errorRateCap = 0.4

	// firstEjectionTime is how long the first ejection lasts; each further one in a row lasts twice
	// as long, up to maxEjectionDoublings times and to maxEjectionTime: a server that has recovered
	// must not wait much longer for work. Inherited, not measured separately.
	firstEjectionTime    = 500 * time.Millisecond
	maxEjectionTime      = 4 * time.Second
	maxEjectionDoublings = 8

	// maxEjectionExtension is the time from now on that one ExtendEjection prolongs an ejection to
	// at the most. Commit 49f7e05 introduced it as a bound; it was not measured separately.
	maxEjectionExtension = 5 * time.Second

	// recentSuccessWindow is how long a response speaks for its server, so that RequireProbe leaves
	// it alone. From commit 49f7e05, not measured separately.
	recentSuccessWindow = 500 * time.Millisecond

	// recentResponseWindow is how long after a response an overdue cache counts as slow and not as
	// unresponsive. It equals maxEjectionTime, the longest that a cache that vanished may take to be
	// found. Commit 71e1566: join+vast-2, a day of the larger fleet, had G 0.37 to 0.44 before and
	// 0.549 with it. Other times were not measured.
	recentResponseWindow = 4 * time.Second

	// overdueChecksToFault is the number of overdue checks of an attempt, with all servers
	// responsive, after which one of them is at fault. Commit d6cd483: the day with a hanging parent
	// went from 0.69 and 0.79 to 1.00 with 3; 2 cost the simulator's overload day 0.05 to 0.08.
	overdueChecksToFault = 3

	// minCheckInterval is the least time between two checks of an attempt. Inherited, not measured
	// separately.
	minCheckInterval = 100 * time.Millisecond

	// checkObjectiveDivisor makes an attempt overdue after its transfer time and this part of its
	// class's latency objective, here a half. Inherited, not measured separately.
	checkObjectiveDivisor = 2
)

// Slowdown of a cache: its response time over what the bytes of the response need. Commit d0bdbb3
// introduced it: a day with one cache at a tenth of its pace went from G 0.761 to 0.822. Where
// nothing else is said the values were not measured separately.
const (
	// slowdownGain is the weight of the newest response in a cache's slowdown.
	slowdownGain = 0.15

	// slowdownTimeConstant is the time constant by which a slowdown that is not observed any more
	// returns to 1.
	slowdownTimeConstant = 5 * time.Second

	// slowdownCap bounds the slowdown that one response shows.
	slowdownCap = 10.0

	// saturatedSlowdown is the slowdown from which a cache sends all that its link can. Commit
	// a6fc05a: a router left alone in its zone may use whole links below it, G 0.840 to 0.861 on the
	// incident. Commit e2ed7dd: 2.0 instead of 1.2 gave 0.703 on join+vast against 0.695 to 0.705
	// for three plays with 1.2, no difference.
	saturatedSlowdown = 1.2

	// responseTimeAllowance is the time in seconds that a response may take on top of its transfer.
	// It was 0.1 until commit 866baa7, which records no measurement of the change by itself.
	responseTimeAllowance = 0.03

	// toleratedSlowdown is the multiple of the best peer's slowdown beyond which a cache is home of
	// fewer keys. It was 2 (commit d0bdbb3), then 1.5 (866baa7). Commit 2cbe703 raised it to 3, since
	// one slow fill showed 1.5, together with other changes that took a calm day with a burst from
	// 0.29 to 0.68; 3 by itself was not measured.
	toleratedSlowdown = 3.0

	// minKeyFraction is the part of its keys that a slow cache keeps at least, or its recovery would
	// not be seen. It is not reached with slowdownCap 10 and toleratedSlowdown 3, which leave a cache
	// 0.09 (commit ec37854).
	minKeyFraction = 0.05
)

// Slow start.
const (
	// slowStartMargin is the part of a warming server's budget that is used: load is uneven and
	// capacity a guess. Inherited; commit ddb8c03: eight routers with uneven traffic sent three
	// caches that warm up together at most 0.57 of what each can bear. Other values were not
	// measured.
	slowStartMargin = 0.8

	// minCapacityFraction is the least part of its capacity that a warming server is taken to have.
	// Inherited, not measured separately.
	minCapacityFraction = 0.01

	// minWeight is the least weight of a server, in concurrent transfers, where weights are
	// capacities; it keeps divisions finite. Inherited, not measured separately.
	minWeight = 0.01

	// minSlowStartSeconds is the least duration of a slow start in seconds; it keeps a division
	// finite. Not measured separately.
	minSlowStartSeconds = 1e-3

	// weightConfidence is the part of the throughput that a weight promises that a server is taken
	// to carry. Commit 37934bd: counting on weights took the simulator quick run from 0.400 to 0.423;
	// other parts were not measured.
	weightConfidence = 0.7

	// throughputTimeConstant is the time constant of the throughput of a role; it is long since a
	// router sees few requests. Inherited, not measured separately.
	throughputTimeConstant = 15 * time.Second
)

// Endpoint list and watch stream.
const (
	// serverRetention is how long a removed server is remembered; one that returns later is a new
	// one. Inherited, not measured separately.
	serverRetention = time.Minute

	// subscribeRetryInterval is the wait after a failed subscription before the next one. Not
	// measured separately.
	subscribeRetryInterval = 500 * time.Millisecond

	// watchStaleAfter is the time without an event after which the watch stream counts as cut off;
	// the stream sends something each second. Commit 3169f2e: the simulator quick run stayed at
	// 0.804, on a site that has no purges. Not measured separately.
	watchStaleAfter = 1500 * time.Millisecond
)

// Observations of limiters: utilization 1 is as busy as a bottleneck should be.
const (
	// hitPaceTarget is the pace of hits at utilization 1: their time over their transfer time.
	// Inherited, not measured separately.
	hitPaceTarget = 1.6

	// linkUtilizationTarget is the reported use of a zone's link at utilization 1, at which fills
	// still run at a client's pace. Inherited, not measured separately.
	linkUtilizationTarget = 1.8

	// fillPaceTarget is the pace of a source's fills, over that of hits, at utilization 1. Inherited,
	// not measured separately.
	fillPaceTarget = 3.0

	// fillPaceCapFactor bounds the pace of one fill to this multiple of fillPaceTarget in the
	// smoothed pace of fills. Inherited, not measured separately.
	fillPaceCapFactor = 2

	// fillGainDivisor makes the smoothed latency and pace of fills change more slowly than a
	// utilization, by this factor. Inherited, not measured separately.
	fillGainDivisor = 2

	// rejectionUtilization is the utilization that a server shows by rejecting. Inherited, not
	// measured separately.
	rejectionUtilization = 2.0

	// unknownStatusUtilization is the utilization that a cache shows by serving where no outcome
	// tells its cache status: without it a limiter that rejections started never ended. Commit
	// 435b6ac, with other changes: the simulator's quiet day went from 0.439 to 0.974. The value was
	// not measured separately.
	unknownStatusUtilization = 0.2

	// writeHeadroom divides the origin's utilization for writes, so that reads are limited first.
	// Inherited, not measured separately.
	writeHeadroom = 1.5

	// maxUtilization bounds the utilization of one observation. Inherited, not measured separately.
	maxUtilization = 4.0

	// minPaceSeconds is the least transfer time, in seconds, that a pace is computed with. Inherited,
	// not measured separately.
	minPaceSeconds = 0.02

	// peerReportMaxAge is the age from which a load report of another router is not used. Not
	// measured separately.
	peerReportMaxAge = time.Second

	// meanTransferTimeGain is the weight of the newest transfer time in the mean of its class; it is
	// small since sizes differ much. Inherited, not measured separately.
	meanTransferTimeGain = 0.02
)

// Reaction of limiters. All values are inherited and were not measured separately.
const (
	// limiterActivation is the smoothed utilization above which a limiter is active.
	limiterActivation = 0.7

	// limiterEndDivisor ends a limiter whose utilization is below this part of limiterActivation, here
	// a half, while less than the same part of its limit is used.
	limiterEndDivisor = 2

	// limiterGain is the weight of the newest observation in a utilization: several must agree.
	limiterGain = 0.2

	// limitUpdateInterval is the least time between two changes of a limit: what a fill needs to show
	// its effect. The steps below are intervals of this length.
	limitUpdateInterval = 100 * time.Millisecond

	// maxLimitSteps is the number of intervals that one observation stands for at the most;
	// maxObservationSteps bounds it in the smoothed utilization, maxDecreaseSteps in a lowered limit.
	maxLimitSteps       = 10.0
	maxObservationSteps = 2.0
	maxDecreaseSteps    = 2.5

	// limitGrowth is the part by which a limit that is all used grows in each interval.
	limitGrowth = 0.05

	// minZoneLimit is the number of transfers that all routers of a zone are always allowed together,
	// or nothing would be learned.
	minZoneLimit = 2.0

	// initialZoneLimit is the number of transfers that all routers of a zone are allowed together when
	// a limiter starts.
	initialZoneLimit = 8.0
)

// Transfers in flight at a zone's caches.
const (
	// overcommitFactor is the multiple of the transfers that fit at full pace that may be in flight at
	// a cache, since some wait for a fill. Commit 8e69344, simulator quick: 0.653 with 1.0, 0.796 with
	// 1.5, 0.713 with 2.2. For the sum over a zone's caches 1.2 gave 0.47 and 1.5 gave 0.57 on a calm
	// day with a burst (docs/STANDING.md). Commit 31be99e, on two days: 0.88 and 0.87 with 1.8
	// against 0.88 and 0.89 with 1.5.
	overcommitFactor = 1.5

	// minInflight is the number of attempts that a router may always have in flight at a cache, or
	// nothing would be learned of it. 2 since commit 8e69344. docs/design/fleet.md, on the larger fleet:
	// 1 where a cache rejected gave G 0.398 and 0.463 against 0.417 and 0.454; 3 everywhere gave 0.30
	// on zone+vast-2 against 0.51.
	minInflight = 2.0

	// extraInflight is the number of attempts added to minInflight while no cache rejected lately, or
	// routers with small quotas all queue at once. Commit 66465f6: larger fleet, quick, 0.676 without
	// and 0.698 with 1.
	extraInflight = 1.0

	// failoverHeadroom is the part of its quota up to which a cache is a failover target. Commit
	// 866baa7: G 0.822 to 0.840 on the incident. Commit 214d1b0: with 0.65 the simulator quick run
	// fell from 0.932 to 0.873. Commit 31be99e: 0.75 gave 0.88 and 0.90 on two days, near a cliff, and
	// 1 gave 0.71 and 0.83.
	failoverHeadroom = 0.5

	// minAvailableParents is the part of the parents that must be available to take over from an
	// unresponsive one, or the origin does. Commit d7e74c4, together with probing by single attempts:
	// doshin-forms from 0.915 to 0.947 in the simulator. Other parts were not measured.
	minAvailableParents = 0.75
)

// The queue and the final answers.
const (
	// queuedPace is the number of transfer times that a response takes where requests queue. On a
	// calm day with a burst 1.7 gave 0.64, 2.5 and 4 gave 0.65 (docs/STANDING.md, commit 2cbe703).
	queuedPace = 2.5

	// minQueuedSeconds is the least transfer time, in seconds, in a queued request's value a second.
	// Inherited, not measured separately.
	minQueuedSeconds = 0.01

	// expectedWriteDivisor makes the expected latency of a write this part of its class's latency
	// objective, here a half. Inherited, not measured separately.
	expectedWriteDivisor = 2

	// minQueueDivisor leaves a read at least this part of its class's latency objective, here a half,
	// to queue in. From commit 2cbe703, not measured separately.
	minQueueDivisor = 2

	// retryAfterDivisor makes the Retry-After of a rejection this part of the longest that clients
	// honour, here a half. Inherited, not measured separately.
	retryAfterDivisor = 2

	// maxReadAttemptsUnknownStatus is the number of attempts of a read where outcomes tell no cache
	// status: more feed a jam. From commit 435b6ac, not measured separately.
	maxReadAttemptsUnknownStatus = 3
)

// Memory.
const (
	// maxRecentEntries is the number of entries in each half of a boundedTable: some MB at the most.
	// Inherited, not measured separately.
	maxRecentEntries = 1 << 15
)
