package routing

// Every decision and tuned value is in this file; types are in api.go, tables in table.go.
//
// The ordinary path: a request goes to the home cache of its object, found by
// rendezvous hashing over the zone's caches, and a miss is filled from the home
// parent, found over all parents. A request for a hot object joins a fill that
// is under way. The rest is for when that path breaks.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Tuned values, each with its reason.
const (
	popularityTimeConstant       = 12 * time.Second       // a copy unused for about so long is likely to be dropped
	popularThreshold             = 1.5                    // a second request soon after a first: more may meet its fill
	serverRetention              = time.Minute            // a server gone for so long is a new one when it comes back
	consecutiveFailureLimit      = 8                      // failures in a row before a rest: a router hears little
	errorRateGain                = 0.06                   // weight of the newest success or error in a server's share of errors
	outlierErrorMargin           = 0.12                   // share of errors, over twice its best peer's, that is no chance
	errorRateCap                 = 0.4                    // where the share is cut: a server that is well again soon shows it
	slowdownGain                 = 0.15                   // weight of the newest answer in a cache's lag
	saturatedSlowdown            = 1.2                    // lag from which on a cache sends all that it can
	slowdownTimeConstant         = 5 * time.Second        // after which a lag that is not felt any more is mostly forgotten
	slowdownCap                  = 10.0                   // what one answer can tell at the most
	responseTimeAllowance        = 0.03                   // seconds that an answer may take on top
	toleratedSlowdown            = 3.0                    // lag over that of the best peer from which on a cache gets less
	minKeyFraction               = 0.05                   // part of its keys that it keeps, or it would not be seen to be well
	firstEjectionTime            = 500 * time.Millisecond // first rest of a sick server; doubles while it stays sick
	maxEjectionTime              = 4 * time.Second        // a server that is back must not wait much longer for work
	slowStartMargin              = 0.8                    // part of a cold budget used: load is uneven and capacity a guess
	weightConfidence             = 0.7                    // part of what a weight tells that a server is taken to carry
	throughputTimeConstant       = 15 * time.Second       // over which carried work is averaged: a router sees few pieces
	hitPaceTarget                = 1.6                    // pace of hits, over their sending time, at which a cache is full
	linkUtilizationTarget        = 1.8                    // fill of the link at which fills still run at a client's pace
	fillPaceTarget               = 3.0                    // pace of a source's fills, over that of hits, at which it is full
	maxReadAttemptsUnknownStatus = 3                      // attempts of a read where outcomes tell nothing: more feed a jam
	limiterActivation            = 0.7                    // fullness, as a share of the target, from which a gate rations
	limiterGain                  = 0.2                    // weight of the newest observation: several must agree
	minZoneLimit                 = 2.0                    // a location is always allowed, or nothing would be learned
	meanTransferTimeGain         = 0.02                   // weight of the newest sending time: sizes differ much
	limitUpdateInterval          = 100 * time.Millisecond // between moves of a ration: what a fill needs to show
	initialZoneLimit             = 8.0                    // a location is allowed when a ration starts and none is known yet
	rejectionUtilization         = 2.0                    // fullness that a server shows by refusing
	overcommitFactor             = 1.5                    // transfers out over those that fit at full pace; some wait for a fill
	minInflight                  = 2.0                    // at one cache, or nothing would be learned of it
	extraInflight                = 1.0                    // more where no cache refused: thin routers that hold, hold at once
	failoverHeadroom             = 0.5                    // a cache stands in for others up to so much of that
	queuedPace                   = 2.5                    // times its sending time that an answer takes where requests wait
	unknownStatusUtilization     = 0.2                    // and by serving, where no outcome tells more
	minAvailableParents          = 0.75                   // part of the parents that take over from a lost one
)

// failedWithSharedFill tells whether a look failed together with the fill for another request.
func (a *attempt) failedWithSharedFill(n CacheStatus) bool {
	return a.cacheOnly && n >= SourceRejected && n != FillRejected
}

// Router makes the decisions of one router. It is not safe for concurrent use.
type Router struct {
	settings          Settings
	seed              uint64
	servers           []*server            // by id
	readyByRole       [roleCount][]*server // ready ones by role
	requests          map[RequestID]*request
	queue             []*request                // held until a cache has room, oldest first
	meanTransferTimes []float64                 // sending time by class, seconds
	popularity        boundedTable[decayingSum] // decayed counts by object
	transferTimes     boundedTable[float64]     // least sending time seen by part, seconds
	originLimiter     limiter                   // rations what parents must fetch from the origin
	linkLimiter       limiter                   // rations the fills that come in through the location's link
	purgeLog          Guard                     // only its purges are used
	slowStarts        [roleCount]SlowStart      // how servers gain capacity after a start
	totalWeight       [roleCount]float64        // weights of the ready ones by role
	throughput        [roleCount]decayingSum    // work a second that they served for this router
	peakThroughput    [roleCount]float64        // the most of that seen, per weight
	initialized       bool                      // it has had its first list
	cacheStatusKnown  bool                      // outcomes come with notes, of failures too
	fillLatency       float64                   // time that a fill takes to begin, smoothed, seconds
	fillPace          float64                   // time that it takes then over its sending time, smoothed
	longestObjective  time.Duration             // the longest of all classes: an origin that takes it is full
	zoneFraction      float64                   // of the requests of its location, as far as the settings tell
	ranking           []*server                 // what ranked returned last
	now               time.Duration
	actions           []Action
}

// New returns a Router that has just started. It fails where a setting
// cannot be used, and names it.
func New(s Settings, seed uint64) (*Router, error) {
	r := &Router{seed: seed, requests: map[RequestID]*request{}}
	return r, r.UpdateSettings(s)
}

// UpdateSettings goes over to other settings: what is known of servers and objects stays.
func (r *Router) UpdateSettings(s Settings) error {
	if err := s.validate(); err != nil {
		return fmt.Errorf("decide: %w", err)
	}
	r.settings, r.zoneFraction, r.longestObjective, r.slowStarts = s, 1, 0, [roleCount]SlowStart{s.CacheSlowStart, s.ParentSlowStart, {InitialCapacity: 1}}
	if len(s.RoutersByZone) > 0 {
		r.zoneFraction = 1 / float64(max(s.RoutersByZone[s.Zone], 1))
	}
	for i, c := range s.Classes {
		r.longestObjective = max(r.longestObjective, c.LatencyObjective, time.Millisecond)
		if i == len(r.meanTransferTimes) {
			r.meanTransferTimes = append(r.meanTransferTimes, c.LatencyObjective.Seconds()) // until more is known: not too short
		}
	}
	return nil
}

// handleEndpointUpdate takes a change of the list. Who leaves or drains is not chosen from now on.
func (r *Router) handleEndpointUpdate(m EndpointUpdate) {
	first := !r.initialized
	r.initialized = true
	if first && r.settings.MustSubscribe {
		r.emit(Subscribe{})
	}
	for _, s := range r.servers {
		s.ready = s.ready && !m.Snapshot
	}
	for _, e := range m.Servers {
		r.applyEndpoint(e, first)
	}
	was := r.totalWeight
	r.readyByRole, r.totalWeight = [roleCount][]*server{}, [roleCount]float64{}
	for _, s := range r.servers {
		if s.ready {
			r.readyByRole[s.role] = append(r.readyByRole[s.role], s)
			r.totalWeight[s.role] += r.weight(s)
		}
	}
	r.servers = slices.DeleteFunc(r.servers, r.expired)
	for role, n := range r.totalWeight { // who left no longer carries its part
		r.throughput[role].value *= n / max(n, was[role], 0.01)
	}
	r.dispatchQueue()
}

// applyEndpoint takes one entry; caches of other zones are not kept. A new server is cold
// from its start or, where that is not told, from now, unless on the first list.
func (r *Router) applyEndpoint(e Server, first bool) {
	role := cache
	switch {
	case e.Kind == r.settings.OriginKind:
		role = origin
	case e.Kind == r.settings.ParentKind:
		role = parent
	case e.Zone != r.settings.Zone:
		return
	}
	i := slices.IndexFunc(r.servers, func(s *server) bool { return s.ID == e.ID })
	if i < 0 {
		i = len(r.servers)
		r.servers = append(r.servers, &server{warmingSince: r.now, lastResponseAt: longAgo})
	}
	s := r.servers[i]
	if first {
		s.warmingSince = longAgo
	}
	if e.StartedAt != 0 && e.StartedAt != s.StartedAt {
		s.warmingSince = e.StartedAt
		s.consecutiveFailures, s.ejections, s.ejectedUntil = 0, 0, 0
	}
	s.Server, s.role, s.ready = e, role, e.Phase == Ready
}

// expired tells whether s left so long ago that no late listed start concerns it.
func (r *Router) expired(s *server) bool {
	n := len(s.recentWork)
	return !s.ready && (n == 0 || s.recentWork[n-1].updatedAt < r.now-serverRetention)
}

// rankServers returns the servers of a role that can take q in the rendezvous order
// of key, best first, valid until it is called again. A cold or slow server draws
// keys as it can carry them. If all parents look sick, their looks tell nothing.
func (r *Router) rankServers(role role, key uint64, q *request) []*server {
	allSick := role == parent && !slices.ContainsFunc(r.readyByRole[role], r.available)
	out := r.ranking[:0]
	for _, s := range r.readyByRole[role] {
		room := r.weight(s) * r.capacityFraction(s, r.now) * r.keyFraction(s)
		s.score = -math.Log(uniform(key^mix64(uint64(s.ID)))) / room
		if (allSick || r.available(s)) && !slices.Contains(q.excluded, s) && q.inKeyScope(s) && r.withinSlowStartBudget(s, *q.meanTransferTime) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ID, b.ID))
	})
	r.ranking = out
	return out
}

// keyFraction is the part of its keys that a far slower s keeps. Symptom guarded against: a cache that
// did a tenth of its work was waited for as a crowded home, and a third of all was refused.
func (r *Router) keyFraction(s *server) float64 {
	lag := s.slowdown.value(r.now, slowdownTimeConstant)
	least := lag
	for _, x := range r.readyByRole[s.role] {
		least = min(least, x.slowdown.value(r.now, slowdownTimeConstant))
	}
	part := min(1, toleratedSlowdown*least/lag)
	return max(part*part, minKeyFraction)
}

// weight is a server's size against its peers.
func (r *Router) weight(s *server) float64 {
	if r.settings.WeightIsCapacity {
		return max(s.Weight, 0.01)
	}
	return 1
}

// capacityFraction is the least share of its capacity that s has at a time.
func (r *Router) capacityFraction(s *server, at time.Duration) float64 {
	part := max(0, (at-s.warmingSince).Seconds()/max(r.slowStarts[s.role].Duration.Seconds(), 1e-3))
	return min(1, max(0.01, r.slowStarts[s.role].InitialCapacity+(1-r.slowStarts[s.role].InitialCapacity)*part))
}

// withinSlowStartBudget tells whether a cold server can take more work from this router, by what its
// peers carried. Where that is less than one piece of work, one goes in as many spans as it
// pays for, drawn from the seed: the sum holds. Symptom guarded against: many routers that
// each send little find an empty server at once, and the least of each pushes it over.
func (r *Router) withinSlowStartBudget(s *server, work float64) bool {
	if r.capacityFraction(s, r.now) >= 1 {
		return true
	}
	sent, ramp := 0.0, r.slowStarts[s.role]
	for _, c := range s.recentWork {
		if c.updatedAt > r.now-ramp.OverloadWindow {
			sent += c.value
		}
	}
	budget := slowStartMargin * ramp.OverloadFactor * r.capacityFraction(s, r.now-ramp.OverloadWindow) * r.expectedThroughput(s.role) * r.weight(s) *
		ramp.OverloadWindow.Seconds()
	lot := r.seed ^ mix64(uint64(s.ID)^mix64(uint64(r.now/max(ramp.OverloadWindow, 1))))
	return sent+work < budget || sent == 0 && uniform(lot) < budget/work
}

// expectedThroughput is the work a second, per weight, that this router may count on: the most it
// saw, or its share of what weights tell where they count transfers. Symptom guarded
// against: a router that restarted, or whose location came back cold, refused all.
func (r *Router) expectedThroughput(role role) float64 {
	told := 0.0
	if r.settings.WeightIsCapacity && r.settings.TransferKBPerSecond > 0 {
		if told = weightConfidence * r.zoneFraction; role == parent {
			told = weightConfidence / float64(max(r.settings.Routers, 1))
		}
	}
	return max(r.peakThroughput[role], told)
}

// recordSentWork books work sent to a server; what one that restarted gets unlisted counts.
func (r *Router) recordSentWork(s *server, work float64) {
	s.recentWork = slices.DeleteFunc(s.recentWork, func(c decayingSum) bool { return c.updatedAt <= r.now-r.slowStarts[s.role].OverloadWindow })
	s.recentWork = append(s.recentWork, decayingSum{r.now, work})
}

// recordThroughput books work that s served; what it ends after it left says nothing of the rest.
func (r *Router) recordThroughput(s *server, work float64) {
	if s.ready {
		sum := r.throughput[s.role].add(r.now, throughputTimeConstant, work/throughputTimeConstant.Seconds())
		r.peakThroughput[s.role] = max(r.peakThroughput[s.role], sum/r.totalWeight[s.role])
	}
}

// available tells whether s may be chosen: not resting and, when its rest is over
// but it has not answered since, with nothing else out.
func (r *Router) available(s *server) bool {
	return s.ready && r.now >= s.ejectedUntil && (s.ejections == 0 || s.inflight == 0)
}

// recordFailure books a failure of s. Set aside it rests, twice as long each time.
func (r *Router) recordFailure(s *server) {
	s.consecutiveFailures++
	if (s.consecutiveFailures >= consecutiveFailureLimit || s.ejections > 0 || r.isOutlier(s)) && r.now >= s.ejectedUntil {
		s.ejectedUntil = r.now + min(firstEjectionTime<<min(s.ejections, 8), maxEjectionTime)
		s.ejections++
	}
}

// isOutlier tells whether s fails far more than its best peer. Symptom guarded against: a
// parent that failed its fills looked well, by hits that name it; its errors went to caches.
func (r *Router) isOutlier(s *server) bool {
	least := s.errorRate
	for _, x := range r.readyByRole[s.role] {
		least = min(least, x.errorRate)
	}
	return s.errorRate > outlierErrorMargin+2*least
}

// recordErrorRates books with both that had a part in an attempt whether it failed.
func (r *Router) recordErrorRates(a *attempt, failed bool) {
	for _, s := range []*server{a.target, a.source} {
		gain := min(errorRateGain, (r.now - s.errorRateUpdatedAt).Seconds()) // what fails at once has one cause
		if s.errorRate, s.errorRateUpdatedAt = s.errorRate*(1-gain), r.now; failed && !r.cacheStatusKnown {
			s.errorRate = min(errorRateCap, s.errorRate+gain)
		}
	}
}

// moreErrorProne is the one of cache and source that fails more of what it has a part in.
func (a *attempt) moreErrorProne() *server {
	return choose(a.source.errorRate > a.target.errorRate, a.source, a.target)
}

// recordSuccess books a success of s. Symptom guarded against: a server that was silent and
// answers again has most likely restarted, cold, before the list tells. It might hurt
// one that was cut off.
func (r *Router) recordSuccess(s *server) {
	if s.unresponsive && s.ejections > 1 && s.warmingSince < r.now-maxEjectionTime {
		s.warmingSince = r.now
	}
	s.consecutiveFailures, s.unresponsive, s.lastResponseAt = 0, false, r.now
	if !r.isOutlier(s) {
		s.ejections, s.ejectedUntil = 0, 0
	}
}

// Timer tokens: a request and, in the low bits, what to do.
const (
	timerSubscribe    = iota // subscribe to the server list again
	timerCheckAttempt        // see how the newest attempt is doing
	timerQueueExpired        // a held request has waited long enough
	timerKindBits     = 2
)

func (r *Router) handleRequest(q Request) {
	if q.Class < 0 || q.Class >= len(r.settings.Classes) {
		r.emit(Reject{ID: q.ID}) // never announced; nothing was sent, so a retry is harmless
		return
	}
	c := &r.settings.Classes[q.Class]
	req := &request{Request: q, class: c, meanTransferTime: &r.meanTransferTimes[q.Class], deadline: r.now + q.Timeout}
	req.objectiveAt = r.now + min(q.Timeout, c.LatencyObjective+time.Duration(c.ObjectiveTransferFactor*float64(r.transferTime(req))))
	if r.hasSize(req) { // refused ones count too: the larger are refused more often
		*req.meanTransferTime += (q.SizeKB/r.settings.TransferKBPerSecond - *req.meanTransferTime) * meanTransferTimeGain
	}
	if !c.Write {
		req.popularity = r.recordRequestFor(q.Object)
	}
	r.requests[q.ID] = req
	r.dispatch(req)
}

// hasSize tells whether a request came with its size.
func (r *Router) hasSize(q *request) bool { return q.SizeKB > 0 && r.settings.TransferKBPerSecond > 0 }

// transferTime is work as a duration.
func (r *Router) transferTime(q *request) time.Duration {
	w, _ := r.transferSeconds(q)
	return secondsToDuration(w)
}

// transferSeconds is the sending time of a request in seconds: from its size, or else the
// least that its part ever took, or the mean of its class.
func (r *Router) transferSeconds(q *request) (seconds float64, known bool) {
	if r.hasSize(q) {
		return q.SizeKB / r.settings.TransferKBPerSecond, true
	}
	if x, ok := r.transferTimes.get(q.chunkKey()); ok {
		return x, true
	}
	return *q.meanTransferTime, false
}

// expectedLatency is how long serving q is likely to take where it must wait: by its sending time.
func (r *Router) expectedLatency(q *request) time.Duration {
	switch {
	case q.class.Write:
		return q.class.LatencyObjective / 2
	case !q.cacheMissed: // the largest are never in time at that pace, and may wait a little too
		s, most := r.transferTime(q), q.objectiveAt-q.deadline+q.Timeout-q.class.LatencyObjective/2
		return max(s, min(secondsToDuration(queuedPace*s.Seconds()), most))
	}
	return secondsToDuration(r.fillLatency + max(queuedPace, r.fillPace)*r.transferTime(q).Seconds())
}

// dispatch gives a request its next attempt, holds it, or ends it.
func (r *Router) dispatch(q *request) {
	to, source, room := r.selectRoute(q)
	switch {
	case to == nil || !r.mayAttempt(q):
		r.rejectOrFail(q)
	case room:
		r.sendAttempt(q, to, source)
	default:
		r.enqueue(q)
	}
}

// firstMaybeExecuted is the first attempt that may have run, or nil.
func (q *request) firstMaybeExecuted() *attempt {
	for _, a := range q.attempts {
		if !a.notExecuted {
			return a
		}
	}
	return nil
}

// mayAttempt tells whether one more attempt of q is allowed: by the try limit, the
// time and what it may do twice.
func (r *Router) mayAttempt(q *request) bool {
	most := r.settings.MaxAttempts
	if !r.cacheStatusKnown && !q.class.Write {
		most = min(most, maxReadAttemptsUnknownStatus)
	}
	if len(q.attempts) >= most || r.now >= q.deadline {
		return false
	}
	a := q.firstMaybeExecuted()
	return a == nil || q.class.Idempotency == Idempotent || q.class.Idempotency == IdempotentWithKey && r.now < a.sentAt+q.class.KeyWindow
}

// inKeyScope tells whether s discards repeats of what q may have run already.
func (q *request) inKeyScope(s *server) bool {
	a := q.firstMaybeExecuted()
	if a == nil || q.class.Idempotency != IdempotentWithKey {
		return true
	}
	return q.class.KeyScope == KeyScopeAll || q.class.KeyScope == KeyScopeZone && s.Zone == a.target.Zone ||
		q.class.KeyScope == KeyScopeCell && s.Zone == a.target.Zone && s.Cell == a.target.Cell
}

// selectRoute picks where the next attempt goes, a crowded home's to the next cache with
// ample room, and who fills a miss. room: it need not wait.
func (r *Router) selectRoute(q *request) (to, source *server, room bool) {
	source, open := r.selectSource(q)
	if q.class.Write && (r.settings.AllowBypass || source == nil) {
		return source, source, open
	}
	full, home := false, (*server)(nil)
	look := !q.cacheMissed && !q.class.Write && (r.linkLimiter.active || r.originLimiter.active || source != nil && source.limiter.active)
	for _, s := range r.rankServers(cache, q.chunkKey(), q) {
		switch {
		case q.cacheMissed && (!open || !r.linkLimiter.admits(r.now)) || q.sourceMissed && !r.originLimiter.admits(r.now):
			return s, source, false
		case !q.class.Write && r.zoneSaturated():
			return s, source, false
		case !q.class.Write && home == nil && r.saturated(s, 1):
			home = s
		case home != nil && (r.zoneFraction*overcommitFactor*home.Weight < minInflight || r.saturated(s, failoverHeadroom)):
		case !s.limiter.admits(r.now):
			if full = true; q.popularity < popularThreshold {
				return s, source, false
			}
		case source == nil || look:
			return s, s, true
		default:
			return s, source, true
		}
	}
	if home != nil {
		return home, source, false
	}
	// No cache can take it: straight to the source, which must be let ask the origin.
	if to = source; source == nil || full || !r.settings.AllowBypass {
		return to, source, false
	}
	if len(r.readyByRole[origin]) > 0 {
		source = r.readyByRole[origin][0]
	}
	return to, source, open && r.linkLimiter.admits(r.now) && r.originLimiter.admits(r.now)
}

// saturated tells whether a cache has as much out from this router as its link sends at full
// pace, or a part of that. Symptom guarded against: without notes only late answers tell that.
func (r *Router) saturated(s *server, part float64) bool {
	return r.countsInflight() && float64(s.inflight) >= max(inflightFloor(s.limiter.active), r.inflightQuota(s))*part
}

// zoneSaturated tells whether all caches together have as much out from this router as they
// send. Symptom guarded against: eight routers, each allowed two at a cache that sends
// six, jammed the link of their location, and what they refused kept it jammed.
func (r *Router) zoneSaturated() bool {
	most, out, full := 0.0, 0, false
	for _, s := range r.readyByRole[cache] {
		most, out, full = most+r.inflightQuota(s), out+s.inflight, full || s.limiter.active
	}
	return r.countsInflight() && float64(out) >= max(inflightFloor(full), most)
}

// inflightFloor is what a router keeps out however thin its part: one more where no cache is
// known to be full. Symptom guarded against: a flush made all answers long, eighty
// routers held at two at once, and a quarter was refused while the caches had room.
func inflightFloor(full bool) float64 { return choose(full, minInflight, minInflight+extraInflight) }

// countsInflight tells whether what is out counts against weights.
func (r *Router) countsInflight() bool {
	return r.settings.WeightIsCapacity && r.settings.TransferKBPerSecond > 0 && !r.cacheStatusKnown
}

// inflightQuota is what this router may have out at a cache, all of its location alike.
func (r *Router) inflightQuota(s *server) float64 {
	most := overcommitFactor * r.zoneFraction
	if r.settings.BodyBytesPerSecond > 0 && s.slowdown.value(r.now, slowdownTimeConstant) < saturatedSlowdown {
		most = max(most, 1) // others have little out there
	}
	return most * s.Weight * r.keyFraction(s)
}

// selectSource returns the home parent of an object, or its stand-in where that is lost or cold; the origin
// for a write, and where no or too few parents are left. open: it may be sent one more. Symptom guarded
// against: with one of two parents silent the other's link was full, and answers came late.
func (r *Router) selectSource(q *request) (source *server, open bool) {
	l := r.rankServers(parent, mix64(uint64(q.Object)), q)
	few := float64(len(l)) < minAvailableParents*float64(len(r.readyByRole[parent])) &&
		!r.settings.OriginStopsOnOverload && len(r.readyByRole[origin]) > 0
	lost := func(s *server) bool { return s.unresponsive && !r.available(s) && s.score < l[0].score }
	if len(l) == 0 || q.class.Write || few && slices.ContainsFunc(r.readyByRole[parent], lost) {
		l = r.readyByRole[origin]
	}
	if len(l) == 0 || !q.inKeyScope(l[0]) {
		return nil, false
	}
	return l[0], l[0].limiter.admits(r.now)
}

// sendAttempt sends one attempt.
func (r *Router) sendAttempt(q *request, to, source *server) {
	a := &attempt{request: q, index: len(q.attempts), target: to, source: source, sentAt: r.now}
	q.attempts = append(q.attempts, a)
	a.cacheOnly = source == to && to.role == cache
	a.fill = !q.class.Write && source.role != cache && (q.cacheMissed || to.role != cache)
	a.fromOrigin = q.sourceMissed || a.fill && source.role == origin
	r.track(a, 1)
	r.recordSentWork(to, *q.meanTransferTime)
	if source != to {
		r.recordSentWork(source, *q.meanTransferTime)
	}
	g := SendAttempt{ID: q.ID, Server: to.ID, FillSource: source.ID, Deadline: q.deadline, MaxAge: r.maxCopyAge(q)}
	g.JoinFill = r.settings.CanJoinFill && q.popularity >= popularThreshold // a write is never hot
	g.OnlyIfCached = a.fill && !a.fromOrigin && r.originLimiter.active
	a.onlyIfCached = g.OnlyIfCached
	if !q.class.Write && to.role == cache {
		g.Revalidate = g.JoinFill && q.class.FreshnessLifetime > 0
		if g.CopyRank = 1; q.popularity >= popularThreshold {
			g.CopyRank = 2
		}
	}
	r.emit(g)
	r.emit(SetTimer{r.checkInterval(q), uint64(q.ID)<<timerKindBits | timerCheckAttempt})
}

// checkInterval is how long an attempt may take before one asks why.
func (r *Router) checkInterval(q *request) time.Duration {
	return max(100*time.Millisecond, q.class.LatencyObjective/2+r.transferTime(q))
}

// enqueue keeps a request back while it can be in time. Its first wake-up stands: if
// its need falls later on, it still must not wait for a second one that never comes.
func (r *Router) enqueue(q *request) {
	if q.valuePerSecond == 0 {
		q.queueUntil = q.objectiveAt - r.expectedLatency(q)
		q.valuePerSecond = q.class.PriorityWeight * min(q.popularity, popularThreshold) / max(r.transferTime(q).Seconds(), 0.01)
		r.emit(SetTimer{max(0, q.queueUntil-r.now), uint64(q.ID)<<timerKindBits | timerQueueExpired})
	}
	if min(q.queueUntil, q.objectiveAt-r.expectedLatency(q)) <= r.now {
		r.rejectOrFail(q)
		return
	}
	q.queued = true
	r.queue = append(r.queue, q)
}

// dispatchQueue tries the held requests again, the most worth a second first.
func (r *Router) dispatchQueue() {
	held := r.queue
	r.queue = nil
	slices.SortStableFunc(held, func(a, b *request) int { return cmp.Compare(b.valuePerSecond, a.valuePerSecond) })
	for _, q := range held {
		if q.queued {
			q.queued = false
			r.dispatch(q)
		}
	}
}

// handleTimer takes a wake-up.
func (r *Router) handleTimer(tok uint64) {
	if tok == timerSubscribe {
		r.emit(Subscribe{})
		return
	}
	q := r.requests[RequestID(tok>>timerKindBits)]
	switch what := tok & (1<<timerKindBits - 1); {
	case q == nil:
	case what == timerCheckAttempt && q.inflight > 0 && !q.attempts[len(q.attempts)-1].ended:
		r.checkOverdue(q.attempts[len(q.attempts)-1])
	case what == timerQueueExpired && q.queued:
		r.rejectOrFail(q)
	}
}

// checkOverdue judges an attempt that takes longer than it should. Symptom guarded against: a
// server that went silent, which neither answers nor refuses. A cache that has not been
// heard since the attempt was sent is blamed itself; if it has answered others,
// the source is, unless it is heard too, as it is by hits that name it: then what
// fails more than its peers. It might hurt where little is sent.
func (r *Router) checkOverdue(a *attempt) {
	q := a.request
	if r.now > a.sentAt+r.longestObjective && a.suggestsOriginOverload() {
		r.recordOriginLoad(a, (r.now-a.sentAt).Seconds()/r.longestObjective.Seconds())
	}
	if r.settings.BodyBytesPerSecond > 0 && !q.class.Write { // overdue, it tells before it ends
		lag := (r.now - a.sentAt).Seconds() / (r.transferTime(q).Seconds() + responseTimeAllowance)
		a.target.slowdown.observe(r.now, slowdownTimeConstant, slowdownGain, min(max(lag, a.target.slowdown.value(r.now, slowdownTimeConstant)), slowdownCap))
	}
	bad := a.target
	if a.target.lastResponseAt > a.sentAt {
		bad = a.source
	}
	// A cache heard of lately is alive: a thin router hears little of each, and took the
	// slowness of a flush for silence; eighty of them cancelled and filled elsewhere again.
	alive := bad.lastResponseAt > a.sentAt || bad.role == cache && bad.lastResponseAt > r.now-maxEjectionTime
	if !alive {
		bad.unresponsive = true
		r.recordFailure(bad)
	} else if a.overdueChecks++; a.overdueChecks == 3 {
		r.recordErrorRates(a, true)
		if bad = a.moreErrorProne(); r.isOutlier(bad) {
			r.recordFailure(bad)
			alive = false
		}
	}
	switch {
	case r.now+r.checkInterval(q) > q.deadline: // too late for anything else
	case alive || r.available(bad):
		r.emit(SetTimer{r.checkInterval(q), uint64(q.ID)<<timerKindBits | timerCheckAttempt})
	case !r.mayAttempt(q):
	case r.settings.CanCancel && q.class.Idempotency == Idempotent:
		q.excluded = append(q.excluded, bad)
		r.emit(CancelAttempt{q.ID, a.index})
	}
}

// suggestsOriginOverload tells whether an attempt that takes long speaks for a full origin. Symptom
// guarded against: one lost answer to a write, while others took their usual
// time, had all misses wait for the origin's ration.
func (a *attempt) suggestsOriginOverload() bool {
	return (a.fromOrigin || a.request.class.Write) && a.source.lastResponseAt <= a.sentAt
}

// rejectOrFail gives the final answer to a request that will not be served.
func (r *Router) rejectOrFail(q *request) {
	if q.inflight > 0 {
		return // an attempt is out; its outcome decides
	}
	if q.firstMaybeExecuted() != nil && q.class.Idempotency != Idempotent {
		r.emit(Fail{q.ID})
	} else {
		r.emit(Reject{q.ID, r.settings.MaxRetryAfter / 2})
	}
	r.finish(q)
}

// finish forgets a request and cancels what is out for it.
func (r *Router) finish(q *request) {
	delete(r.requests, q.ID)
	q.queued = false
	for _, a := range q.attempts {
		if a.ended {
			continue
		}
		r.track(a, -1)
		if r.settings.CanCancel {
			r.emit(CancelAttempt{q.ID, a.index})
		}
	}
}

// track books an attempt as out, or no longer, with all that rations it.
func (r *Router) track(a *attempt, n int) {
	a.ended = n < 0
	a.request.inflight += n
	a.target.inflight += n
	a.source.inflight += choose(a.source == a.target, 0, n)
	if a.target.role == cache {
		a.target.limiter.track(r.now, n)
	}
	if a.request.class.Write {
		a.source.limiter.track(r.now, n)
	}
	if a.fromOrigin {
		r.originLimiter.track(r.now, n)
	}
	if a.fill {
		r.linkLimiter.track(r.now, n)
		a.source.limiter.track(r.now, n)
	}
}

func (r *Router) handlePeerLoadReport(v PeerLoadReport) {
	if v.Age < time.Second && v.Load.LinkUtilization >= 0 && containsServer(r.readyByRole[cache], v.Server) {
		r.linkLimiter.observe(r.now, v.Load.LinkUtilization/linkUtilizationTarget, r.zoneFraction)
	}
}

func (r *Router) handleOutcome(o Outcome) {
	q := r.requests[o.ID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || q.attempts[o.Attempt].ended {
		return
	}
	a := q.attempts[o.Attempt]
	a.notExecuted = o.Result.NotExecuted()
	r.track(a, -1)
	if a.target.role == cache && o.Load.LinkUtilization >= 0 {
		r.linkLimiter.observe(r.now, o.Load.LinkUtilization/linkUtilizationTarget, r.zoneFraction)
	}
	r.recordOutcome(a, o)
	if o.Result == Served || o.RequestDone {
		r.finish(q)
	} else if q.inflight == 0 {
		r.retry(q, a, o)
	}
	r.dispatchQueue()
}

// retry decides what follows a failed attempt.
func (r *Router) retry(q *request, a *attempt, o Outcome) {
	untold := !r.cacheStatusKnown && o.Result == Rejected && !q.class.Write // by the cache, or by its source
	switch {
	case a.cacheOnly && o.Result == NotCached || a.failedWithSharedFill(o.CacheStatus):
		q.cacheMissed = true
	case q.cacheMissed && (o.CacheStatus == SourceMiss || a.onlyIfCached && o.Result == NotCached) && !q.sourceMissed:
		q.sourceMissed = true
	case o.CacheStatus >= SourceRejected && o.CacheStatus != FillRejected || untold && a.index == 0:
		q.excluded = append(q.excluded, a.source)
	default:
		q.excluded = append(q.excluded, a.moreErrorProne())
	}
	r.dispatch(q)
}

// recordOutcome books an outcome with the servers that had a part in it.
func (r *Router) recordOutcome(a *attempt, o Outcome) {
	slow := o.Result == TimedOut && a.suggestsOriginOverload() || (a.fromOrigin || a.request.class.Write) && o.CacheStatus == SourceUnreachable
	if slow {
		r.recordOriginLoad(a, max(rejectionUtilization, o.Duration.Seconds()/r.longestObjective.Seconds()))
	}
	if o.Result == Canceled || o.Result == NotSent || o.Result == TimedOut {
		return // no fault of a server: one that is silent is found by look
	}
	a.target.lastResponseAt = r.now
	r.cacheStatusKnown = r.cacheStatusKnown || o.CacheStatus != CacheStatusUnknown && !r.settings.HitStatusOnly
	if o.Result == Served || o.Result == ServerError {
		r.recordErrorRates(a, o.Result != Served)
	}
	switch {
	case o.Result == Served:
		r.recordServed(a, o)
	case slow || a.failedWithSharedFill(o.CacheStatus): // the origin's fault, or of a source that nobody knows
	case o.CacheStatus == SourceRejected || o.CacheStatus == SourceUnreachable:
		a.source.limiter.observe(r.now, rejectionUtilization, r.zoneFraction)
		r.recordFailure(a.source)
	case o.CacheStatus == OriginFailed || a.target.role == origin:
		r.recordOriginLoad(a, rejectionUtilization)
	case o.Result == Rejected && a.moreErrorProne() != a.target && r.isOutlier(a.source):
		r.recordFailure(a.source)
	case o.Result == Rejected || o.CacheStatus == FillRejected:
		a.target.limiter.observe(r.now, rejectionUtilization, r.zoneFraction)
	case o.Result == NotCached:
		r.recordSuccess(a.target)
	case o.Result == ServerError:
		r.recordFailure(a.moreErrorProne())
	case o.Result == ConnectFailed || a.sentAt >= a.target.connectionLostAt: // all on one connection break at once
		a.target.connectionLostAt = r.now
		r.recordFailure(a.target)
	}
}

// recordServed books a success: what the servers carried and, where the
// sending time is known, how crowded they are.
func (r *Router) recordServed(a *attempt, o Outcome) {
	q := a.request
	work, known := r.transferSeconds(q)
	told := o.BodyBytes > 0 && r.settings.BodyBytesPerSecond > 0 && !q.class.Write
	if told {
		work, known = float64(o.BodyBytes)/r.settings.BodyBytesPerSecond, true
		a.target.slowdown.observe(r.now, slowdownTimeConstant, slowdownGain, min(o.Duration.Seconds()/(work+responseTimeAllowance), slowdownCap))
	}
	r.recordSuccess(a.target)
	r.recordThroughput(a.target, work)
	filled := o.CacheStatus == Filled || o.CacheStatus == FilledByOrigin
	// Symptom guarded against: without notes a source was never heard of and was
	// blamed for every slow attempt, until all parents rested.
	if a.source != a.target && (filled || o.CacheStatus == JoinedFill || o.CacheStatus == CacheStatusUnknown) {
		r.recordSuccess(a.source)
		r.recordThroughput(a.source, work)
	}
	if o.CacheStatus == FilledByOrigin {
		r.recordOriginLoad(a, o.SourceWait.Seconds()/r.longestObjective.Seconds())
	} else if q.class.Write {
		r.recordOriginLoad(a, o.Duration.Seconds()/r.longestObjective.Seconds())
	}
	pace := (o.Duration - o.SourceWait).Seconds() / max(work, 0.02)
	switch {
	case !known || filled && r.settings.HitStatusOnly: // its wait is not told
	case filled:
		r.fillLatency += (o.SourceWait.Seconds() - r.fillLatency) * limiterGain / 2
		r.fillPace += (min(pace, 2*fillPaceTarget) - r.fillPace) * limiterGain / 2
		a.source.limiter.observe(r.now, pace/max(a.target.limiter.utilization*hitPaceTarget, 1)/fillPaceTarget, r.zoneFraction)
	case o.CacheStatus == CacheStatusUnknown:
	case o.CacheStatus == Hit || o.CacheStatus == StaleHit:
		a.target.limiter.observe(r.now, pace/hitPaceTarget, r.zoneFraction)
	}
	if o.CacheStatus == CacheStatusUnknown { // else refusals alone would be felt, and a gate never open again
		a.target.limiter.observe(r.now, unknownStatusUtilization, r.zoneFraction)
	}
	if r.hasSize(q) {
		return
	}
	if took := o.Duration.Seconds(); !told && (!known || took < work) {
		work = took
	}
	r.transferTimes.put(q.chunkKey(), work)
	if told || !known || o.CacheStatus == Hit {
		*q.meanTransferTime += (work - *q.meanTransferTime) * meanTransferTimeGain
	}
}

// recordOriginLoad books how full the origin is: for reads at half of what it is for
// writes, which then still come through.
func (r *Router) recordOriginLoad(a *attempt, x float64) {
	r.originLimiter.observe(r.now, x, r.zoneFraction)
	if a.request.class.Write {
		a.source.limiter.observe(r.now, x/1.5, r.zoneFraction)
	}
}

// limiter rations what shares a bottleneck: a link, a source's known fills, fetches from the
// origin, writes, or all that is sent to one cache. Symptom guarded against: a full link, or
// a server that slows; more work made all slower until none was in time. So while it is
// full a request first looks for a copy; only known misses wait, for a few fills.
type limiter struct {
	utilization                float64       // how full the bottleneck is, smoothed; 1: as full as it should be
	active                     bool          // it rations
	inflight                   int           // what this router has under way there
	limit                      float64       // how much that may be
	updatedAt                  time.Duration // when limit was last moved
	lastStartedAt, pausedUntil time.Duration // when the newest was sent; until then no further one is
}

// admits tells whether there is room for one more. A limit below one is kept by
// pauses between one and the next.
func (g *limiter) admits(now time.Duration) bool {
	return !g.active || float64(g.inflight) < max(g.limit, 1) && now >= g.pausedUntil
}

// track books n more as out.
func (g *limiter) track(now time.Duration, n int) {
	if g.inflight += n; n > 0 {
		g.lastStartedAt = now
	} else if g.limit < 1 && g.active {
		g.pausedUntil = now + time.Duration(float64(now-g.lastStartedAt)*(1/g.limit-1))
	}
}

// observe takes one observation of how full the bottleneck is. The ration starts from
// what is out and is lifted only when it was not needed for a while, or all that
// waits would fill the link again. part is this router's of its location's requests.
func (g *limiter) observe(now time.Duration, x, part float64) {
	steps := min(float64((now-g.updatedAt)/limitUpdateInterval), 10)
	g.utilization += (min(x, 4) - g.utilization) * limiterGain * min(max(steps, 1), 2)
	if !g.active && g.utilization > limiterActivation {
		g.active, g.limit = true, max(initialZoneLimit*part, float64(g.inflight))
	}
	if steps < 1 {
		return
	}
	g.updatedAt = now
	out := min(float64(g.inflight)+1, g.limit)
	switch {
	case g.utilization < limiterActivation/2 && out < max(g.limit, 2)/2:
		g.active = false
	case g.utilization > 1:
		g.limit = max(minZoneLimit*part, g.limit+(out/g.utilization-g.limit)*limiterGain*min(steps, 2.5))
	case out >= g.limit-1:
		g.limit *= 1 + 0.05*steps
	}
}

// recordRequestFor counts one more request for an object and returns the decayed count.
func (r *Router) recordRequestFor(o ObjectID) float64 {
	e, _ := r.popularity.get(uint64(o))
	count := e.add(r.now, time.Duration(float64(popularityTimeConstant)/r.zoneFraction), 1)
	r.popularity.put(uint64(o), e)
	return count
}

// handlePurge books a purge and forgets those whose older copies are gone.
func (r *Router) handlePurge(p Purge) {
	r.purgeLog.PurgeRetention = r.settings.PurgeRetention
	l := slices.DeleteFunc(r.purgeLog.Purges, func(x PurgeRecord) bool { return x.At+r.settings.PurgeRetention < r.now })
	r.purgeLog.Purges = append(l, PurgeRecord{p.Object, p.Group, r.now - p.Age})
}

// maxCopyAge returns the oldest copy that will do for q: fresh, and younger than the
// latest purge of its object or group. 0 means that any will do.
func (r *Router) maxCopyAge(q *request) time.Duration {
	return r.purgeLog.MaxAge(r.now, q.class.FreshnessLifetime, q.Object, q.PurgeGroup)
}
