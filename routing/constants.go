package routing

import "time"

// Tuned values, each with its reason.
const (
	// A copy unused for about so long is likely to be dropped.
	popularityTimeConstant = 12 * time.Second
	// A second request soon after a first: more may meet its fill.
	popularThreshold = 1.5
	// A server gone for so long is a new one when it comes back.
	serverRetention = time.Minute
	// Failures in a row before a rest: a router hears little.
	consecutiveFailureLimit = 8
	// Weight of the newest success or error in a server's share of errors.
	errorRateGain = 0.06
	// Share of errors, over twice its best peer's, that is no chance.
	outlierErrorMargin = 0.12
	// Where the share is cut: a server that is well again soon shows it.
	errorRateCap = 0.4
	// Weight of the newest answer in a cache's lag.
	slowdownGain = 0.15
	// Lag from which on a cache sends all that it can.
	saturatedSlowdown = 1.2
	// After which a lag that is not felt any more is mostly forgotten.
	slowdownTimeConstant = 5 * time.Second
	// What one answer can tell at the most.
	slowdownCap = 10.0
	// Seconds that an answer may take on top.
	responseTimeAllowance = 0.03
	// Lag over that of the best peer from which on a cache gets less.
	toleratedSlowdown = 3.0
	// Part of its keys that it keeps, or it would not be seen to be well.
	minKeyFraction = 0.05
	// First rest of a sick server; doubles while it stays sick.
	firstEjectionTime = 500 * time.Millisecond
	// A server that is back must not wait much longer for work.
	maxEjectionTime = 4 * time.Second
	// Part of a cold budget used: load is uneven and capacity a guess.
	slowStartMargin = 0.8
	// Part of what a weight tells that a server is taken to carry.
	weightConfidence = 0.7
	// Over which carried work is averaged: a router sees few pieces.
	throughputTimeConstant = 15 * time.Second
	// Pace of hits, over their sending time, at which a cache is full.
	hitPaceTarget = 1.6
	// Fill of the link at which fills still run at a client's pace.
	linkUtilizationTarget = 1.8
	// Pace of a source's fills, over that of hits, at which it is full.
	fillPaceTarget = 3.0
	// Attempts of a read where outcomes tell nothing: more feed a jam.
	maxReadAttemptsUnknownStatus = 3
	// Fullness, as a share of the target, from which a gate rations.
	limiterActivation = 0.7
	// Weight of the newest observation: several must agree.
	limiterGain = 0.2
	// A location is always allowed, or nothing would be learned.
	minZoneLimit = 2.0
	// Weight of the newest sending time: sizes differ much.
	meanTransferTimeGain = 0.02
	// Between moves of a ration: what a fill needs to show.
	limitUpdateInterval = 100 * time.Millisecond
	// A location is allowed when a ration starts and none is known yet.
	initialZoneLimit = 8.0
	// Fullness that a server shows by refusing.
	rejectionUtilization = 2.0
	// Transfers out over those that fit at full pace; some wait for a fill.
	overcommitFactor = 1.5
	// At one cache, or nothing would be learned of it.
	minInflight = 2.0
	// More where no cache refused: thin routers that hold, hold at once.
	extraInflight = 1.0
	// A cache stands in for others up to so much of that.
	failoverHeadroom = 0.5
	// Times its sending time that an answer takes where requests wait.
	queuedPace = 2.5
	// And by serving, where no outcome tells more.
	unknownStatusUtilization = 0.2
	// Part of the parents that take over from a lost one.
	minAvailableParents = 0.75
)
