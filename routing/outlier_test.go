package routing

import (
	"slices"
	"testing"
)

// sendMany sends a request for each of several objects, all at the same time, and returns their attempts.
func (h *harness) sendMany(objects int) []SendAttempt {
	var attempts []SendAttempt
	for i := range objects {
		actions := h.request(Request{Object: ObjectID(1 + i)})
		attempts = append(attempts, sendActions(actions)...)
	}
	return attempts
}

// TestSourceFailuresDoNotEjectHomeCache checks that failures of a fill source do not count as failures of
// the cache.
func TestSourceFailuresDoNotEjectHomeCache(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	request := Request{Object: 5, SizeKB: 1}
	first := harness.requestOne(request)
	harness.finish(first, 0, ServerError, SourceUnreachable)
	for range 3 {
		harness.finish(harness.requestOne(request), 0, ServerError, SourceUnreachable)
	}
	if after := harness.requestOne(request); after.Server != first.Server {
		t.Errorf("got an attempt at cache %d, want the home cache %d", after.Server, first.Server)
	}
}

// TestFailingCacheIsEjectedAndProbed checks that a cache with consecutive failures is ejected, and that the
// cache is probed after the ejection.
func TestFailingCacheIsEjectedAndProbed(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	request := Request{Object: 5, SizeKB: 1}
	first := harness.requestOne(request)
	home := first.Server
	harness.finish(first, 0, ServerError, CacheStatusUnknown)
	for range consecutiveFailureLimit - 1 {
		sent := harness.requestOne(request)
		if sent.Server != home {
			t.Errorf("got an attempt at cache %d before the ejection, want the home cache %d", sent.Server, home)
		}
		harness.finish(sent, 0, ServerError, CacheStatusUnknown)
	}
	if sent := harness.requestOne(request); sent.Server == home {
		t.Errorf("got an attempt at a cache with %d consecutive failures, want the cache ejected", consecutiveFailureLimit)
	}
	harness.now += maxEjectionTime
	if sent := harness.requestOne(request); sent.Server != home {
		t.Errorf("got attempt %v after the ejection, want a probe of cache %d", sent, home)
	}
}

// TestNewProcessOfServerIsNotEjected checks that nothing that is known about the health of a server counts
// for the process that has its ID next: one that was started later, or one that is listed after a removal.
func TestNewProcessOfServerIsNotEjected(t *testing.T) {
	for name, relist := range map[string]func(h *harness, failed Server){
		"new start time": func(h *harness, failed Server) {
			failed.StartedAt = h.now - maxEjectionTime
			h.handle(EndpointUpdate{Servers: []Server{failed}})
		},
		"removed and listed again": func(h *harness, failed Server) {
			removed := failed
			removed.Phase = Removed
			h.handle(EndpointUpdate{Servers: []Server{removed}})
			h.handle(EndpointUpdate{Servers: []Server{failed}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, settings(), fleet())
			home := harness.requestOne(Request{Object: 5, SizeKB: 1}).Server
			index := slices.IndexFunc(harness.router.servers, func(server *server) bool { return server.ID == home })
			record := harness.router.servers[index]
			record.unresponsive = true
			record.consecutiveFailures = consecutiveFailureLimit
			record.ejections = 2
			record.ejectedUntil = harness.now + maxEjectionTime
			record.errorRate = 0.9
			relist(harness, record.Server)
			if record.unresponsive || record.consecutiveFailures != 0 || record.ejections != 0 || record.ejectedUntil != 0 || record.errorRate != 0 {
				t.Errorf("got %+v for a new process, want no failures", *record)
			}
		})
	}
}

// TestUnresponsiveCacheIsDetected checks that the router detects an unresponsive cache by overdue attempts,
// and sends the requests of these attempts to other caches.
func TestUnresponsiveCacheIsDetected(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	var overdue []SendAttempt
	for range consecutiveFailureLimit {
		overdue = append(overdue, harness.requestOne(Request{Object: 5, SizeKB: 1}))
	}
	unresponsive := overdue[0].Server
	harness.now += 700 * millisecond
	moved := 0
	for _, sent := range overdue {
		actions := harness.checkNewest(sent.ID)
		canceled := len(actions) == 1 && actions[0] == CancelAttempt{ID: sent.ID}
		if canceled {
			actions = harness.handle(Outcome{ID: sent.ID, Server: sent.Server, Result: Canceled})
		}
		for _, retried := range sendActions(actions) {
			moved++
			if retried.Server == unresponsive {
				t.Errorf("got attempt %v at the unresponsive cache, want another cache", retried)
			}
		}
	}
	if moved == 0 {
		t.Error("got no overdue request sent to another cache, want at least 1")
	}
}

// TestSharedFillFailureIsNotAttributedToCache checks the outcome of a lookup, an attempt that must not
// cause a fill itself. If the lookup joins the fill of another request and this fill fails, the lookup
// counts as a miss, not as a failure of the cache. Otherwise, a slow origin would cause ejections of
// caches.
func TestSharedFillFailureIsNotAttributedToCache(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	for range 10 {
		harness.router.originLimiter.observe(harness.now, 3, 1)
	}
	for i := range 2 * consecutiveFailureLimit {
		lookup := harness.requestOne(Request{Object: 5, SizeKB: 1})
		fill := harness.singleAttempt(harness.finish(lookup, 0, ServerError, SourceUnreachable))
		if fill.Server != lookup.Server || fill.FillSource == fill.Server {
			t.Fatalf("after lookup %d got attempt %v, want a fill by the same cache", i, fill)
		}
		harness.handle(ClientDisconnected{ID: fill.ID})
	}
}

// TestSlowFetchIsAttributedToTheOrigin checks that a fetch from the origin that times out at a parent
// counts as a failure of the origin, not of the parent.
func TestSlowFetchIsAttributedToTheOrigin(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	router := harness.router
	source := harness.parents()[0]
	fetch := &attempt{
		request: &request{
			class:            &router.settings.Classes[bigClass],
			meanTransferTime: &router.meanTransferTimes[bigClass],
		},
		target:     harness.caches()[0],
		source:     source,
		fill:       true,
		fromOrigin: true,
	}
	for range 10 {
		harness.now += second
		router.now = harness.now
		failed := *fetch
		router.recordOutcome(&failed, Outcome{
			Result: ServerError, CacheStatus: SourceUnreachable, Duration: 2 * second,
		})
	}
	if !router.originLimiter.active {
		t.Error("got an inactive origin limiter, want an active one")
	}
	if source.consecutiveFailures > 0 || source.limiter.active {
		t.Errorf("got a parent with %d failures and limiter active %v, want 0 and false",
			source.consecutiveFailures, source.limiter.active)
	}
}

// TestSlowCacheThatRespondedRecentlyIsNotUnresponsive checks that an attempt at a slow cache is not
// canceled if the cache responded a second ago. After a purge of everything, all responses are slow. A
// router with few requests may then receive no response from the cache while its attempt is in flight. If
// the router canceled the attempt, another cache would have to fill the object again.
func TestSlowCacheThatRespondedRecentlyIsNotUnresponsive(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	request := Request{Object: 5, SizeKB: 1}
	first := harness.requestOne(request)
	harness.now += 50 * millisecond
	harness.finish(first, 0, Served, CacheStatusUnknown)
	harness.now += second
	slow := harness.requestOne(request)
	if slow.Server != first.Server {
		t.Fatalf("got the second attempt at cache %v, want its home cache %v", slow.Server, first.Server)
	}
	harness.now += 700 * millisecond
	if actions := harness.checkNewest(slow.ID); containsAction[CancelAttempt](actions) {
		t.Errorf("got actions %v, want no cancellation: the cache responded 1.7 s ago", actions)
	}
	if harness.router.readyServer(first.Server).unresponsive {
		t.Errorf("got cache %d unresponsive, want responsive", first.Server)
	}
}

// TestSlowFillsWithoutStatusDoNotEjectParents checks that slow attempts do not cause ejections of parents
// if outcomes report no cache status. Otherwise, both parents would be ejected, and the origin would have
// to fill all misses.
func TestSlowFillsWithoutStatusDoNotEjectParents(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	for i := range 100 {
		harness.now += 20 * millisecond
		slow := harness.requestOne(Request{Object: ObjectID(1 + i)})
		for j := range 6 { // requests that are served while the slow attempt is in flight
			harness.now += millisecond
			other := harness.requestOne(Request{Object: ObjectID(1000 + 10*i + j)})
			harness.finishWithoutStatus(other, 0, Served, millisecond)
		}
		harness.now += 2 * second
		harness.checkNewest(slow.ID)
		harness.finishWithoutStatus(slow, 0, Served, 2*second)
		for _, parent := range harness.parents() {
			if parent.ejections > 0 {
				t.Fatalf("got parent %d ejected after %d slow attempts, want no ejection", parent.ID, i+1)
			}
		}
	}
}

// failureRule reports whether an attempt fails. hit tells whether the cache has a copy of the object.
type failureRule func(sent SendAttempt, hit bool) bool

func nothingFails(SendAttempt, bool) bool { return false }

// runWithFailures sends 600 requests. The given rule decides which attempts fail. No outcome reports a
// cache status. runWithFailures returns the number of failed attempts and the number of rejected requests.
func (h *harness) runWithFailures(rule failureRule) (failures, rejections int) {
	for i := range 600 {
		h.now += 20 * millisecond
		hit := i%3 > 0
		actions := h.request(Request{Object: ObjectID(1 + i)})
		for index := 0; len(sendActions(actions)) > 0; index++ {
			sent := sendActions(actions)[0]
			h.now += 10 * millisecond
			result := Served
			if rule(sent, hit) {
				result = ServerError
				failures++
			}
			actions = h.finishWithoutStatus(sent, index, result, 10*millisecond)
		}
		if isRejected(actions) {
			rejections++
		}
	}
	return failures, rejections
}

// wantFewFailures calls runWithFailures with the given rule. It fails the test if more than 40 attempts
// fail or more than two requests are rejected.
func (h *harness) wantFewFailures(cause string, rule failureRule) {
	h.Helper()
	failures, rejections := h.runWithFailures(rule)
	if failures > 40 || rejections > 2 {
		h.Errorf("%s: got %d errors and %d rejections, want at most 40 and 2", cause, failures, rejections)
	}
}

// wantNoEjection fails the test if any of the given servers is ejected.
func (h *harness) wantNoEjection(phase string, servers []*server) {
	h.Helper()
	for _, server := range servers {
		if server.ejections > 0 {
			h.Errorf("%s: got server %d ejected at error rate %.2f, want no ejection", phase, server.ID, server.errorRate)
		}
	}
}

// TestErrorsWithoutStatusEjectFailingServer checks that a failing server is ejected, although it also takes
// part in attempts that succeed. The other servers of its failed attempts must not be ejected. Failed
// requests must be retried at other servers immediately, and the failing server must be used again after it
// has recovered. Without the detection of outliers by their error rates, one in three attempts would end
// with an error, and no server would ever be ejected.
func TestErrorsWithoutStatusEjectFailingServer(t *testing.T) {
	harness := newHarness(t, settings(), fleet())

	failingParent := harness.parents()[0]
	harness.wantFewFailures("failing parent", func(sent SendAttempt, hit bool) bool {
		return sent.FillSource == failingParent.ID && !hit
	})
	harness.wantNoEjection("parent failing", harness.caches())
	harness.runWithFailures(nothingFails)
	harness.wantNoEjection("parent recovered", []*server{failingParent})

	failingCache := harness.caches()[0]
	harness.wantFewFailures("failing cache", func(sent SendAttempt, hit bool) bool {
		return sent.Server == failingCache.ID && hit
	})
	harness.runWithFailures(nothingFails)

	count := 0
	harness.runWithFailures(func(SendAttempt, bool) bool {
		count++
		return count%8 == 0
	})
	harness.wantNoEjection("all fail alike", harness.router.servers)
}

// TestFewErrorsAmongManyDoNotEject checks that simultaneous failures count as one failure, and that a few
// failures among many requests do not eject a busy server. Otherwise, three failures would eject a cache
// with 70 requests in flight.
func TestFewErrorsAmongManyDoNotEject(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	attempts := harness.sendMany(60)
	failing := attempts[0].Server
	harness.now += 10 * millisecond
	for i, sent := range attempts {
		result := Served
		if sent.Server == failing && i < 30 {
			result = ServerError
		}
		harness.finishWithoutStatus(sent, 0, result, 10*millisecond)
	}
	for _, server := range harness.router.servers {
		if server.ejections > 0 || harness.router.isOutlier(server) {
			t.Errorf("got server %d ejected or an outlier at error rate %.2f, want neither", server.ID, server.errorRate)
		}
	}
}

// TestLostConnectionIsOneFailure checks that the loss of a connection with many attempts in flight counts
// as one failure.
func TestLostConnectionIsOneFailure(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	attempts := harness.sendMany(40)
	harness.now += 10 * millisecond
	for _, sent := range attempts {
		harness.finishWithoutStatus(sent, 0, ConnectionLost, 10*millisecond)
	}
	for _, server := range harness.caches() {
		if server.consecutiveFailures > 1 || server.ejections > 0 {
			t.Errorf("got cache %d with %d failures and %d ejections, want at most 1 and 0",
				server.ID, server.consecutiveFailures, server.ejections)
		}
	}
}

// TestLostResponseDoesNotLimitOrigin checks that the loss of the response to a write does not activate the
// origin's limiter while other responses are in time. An active limiter would delay reads, which would be
// queued or need a lookup first. If the origin answers nothing at all, the limiter must become active.
func TestLostResponseDoesNotLimitOrigin(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	limiter := &harness.router.originLimiter
	write := Request{Class: writeClass, Object: 9}
	for range 3 {
		lost := harness.requestOne(write)
		for range 30 {
			harness.now += 100 * millisecond
			harness.finishWithoutStatus(harness.requestOne(write), 0, Served, 50*millisecond)
			harness.checkNewest(lost.ID)
		}
		harness.finishWithoutStatus(lost, 0, TimedOut, 3*second)
	}
	if limiter.active || limiter.utilization > limiterActivation/2 {
		t.Errorf("got an origin limiter with active %v and utilization %.2f, want active false and utilization at most %.2f",
			limiter.active, limiter.utilization, limiterActivation/2)
	}
	for range 3 {
		stuck := harness.requestOne(write)
		harness.now += 2 * second
		harness.checkNewest(stuck.ID)
	}
	if !limiter.active {
		t.Error("got an inactive limiter for an origin that answers nothing, want an active one")
	}
}
