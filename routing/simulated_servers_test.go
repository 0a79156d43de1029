package routing_test

import (
	"math"
	"slices"
	"time"

	"garnetline/routing"
)

// simulatedServer is a server with its entry in the endpoint list and its present behavior.
type simulatedServer struct {
	listed        routing.Server
	unresponsive  bool    // it answers nothing
	down          bool    // it accepts no connections
	errorRate     float64 // fraction of its attempts that fail
	rejectionRate float64 // fraction of its attempts that it rejects
	slowdown      float64 // factor by which its transfers take longer
}

// simulatedAttempt is an attempt in flight at a server.
type simulatedAttempt struct {
	send    routing.SendAttempt
	request routing.Request
	index   int
	started time.Duration
	ended   bool
}

// list returns the present endpoint list.
func (s *simulation) list() []routing.Server {
	var list []routing.Server
	for _, server := range s.servers {
		list = append(list, server.listed)
	}
	return list
}

// server returns the server with the given ID. For an unknown ID, it returns a server that accepts no
// connections.
func (s *simulation) server(id routing.ServerID) *simulatedServer {
	for _, server := range s.servers {
		if server.listed.ID == id {
			return server
		}
	}
	return &simulatedServer{down: true, slowdown: 1}
}

// origin returns the last server of the fleet, which is the origin if there is one.
func (s *simulation) origin() *simulatedServer { return s.servers[len(s.servers)-1] }

func (s *simulation) serversOfKind(kind int) []*simulatedServer {
	var list []*simulatedServer
	for _, server := range s.servers {
		if server.listed.Kind == kind {
			list = append(list, server)
		}
	}
	return list
}

// beginAttempt determines when and how an attempt will end, and schedules its outcome.
func (s *simulation) beginAttempt(send routing.SendAttempt) {
	attempt := &simulatedAttempt{
		send: send, request: s.open[send.ID], index: s.attemptCounts[send.ID], started: s.now,
	}
	s.attemptCounts[send.ID]++
	s.inflight = append(s.inflight, attempt)
	outcome, delay := s.drawOutcome(attempt)
	if s.now+delay >= send.Deadline {
		outcome.Result = routing.TimedOut
		outcome.CacheStatus = routing.CacheStatusUnknown
		outcome.RequestDone = false
		outcome.BodyBytes = 0
		delay = send.Deadline - s.now
	}
	if s.random.IntN(150) == 0 {
		outcome.Result = routing.ConnectionLost
		outcome.CacheStatus = routing.CacheStatusUnknown
		outcome.RequestDone = false
		s.after(delay, func() { s.breakConnections(send.Server) })
	}
	s.schedule(s.now+delay, &simulatedEvent{outcome: &outcome, attempt: attempt})
}

// breakConnections ends all attempts in flight at a server with the result ConnectionLost.
func (s *simulation) breakConnections(id routing.ServerID) {
	for _, attempt := range slices.Clone(s.inflight) {
		if attempt.send.Server == id && !attempt.ended {
			s.finish(attempt, routing.Outcome{Result: routing.ConnectionLost, Load: noLoad()})
		}
	}
}

func (s *simulation) cancelAttempt(canceled routing.CancelAttempt) {
	for _, attempt := range s.inflight {
		if attempt.send.ID != canceled.ID || attempt.index != canceled.Attempt || attempt.ended {
			continue
		}
		outcome := &routing.Outcome{Result: routing.Canceled, Load: noLoad()}
		s.schedule(s.now+2*time.Millisecond, &simulatedEvent{outcome: outcome, attempt: attempt})
	}
}

// finish reports the end of an attempt to the router, unless the attempt has already ended.
func (s *simulation) finish(attempt *simulatedAttempt, outcome routing.Outcome) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	s.inflight = slices.DeleteFunc(s.inflight, func(other *simulatedAttempt) bool { return other == attempt })
	outcome.ID = attempt.send.ID
	outcome.Attempt = attempt.index
	outcome.Server = attempt.send.Server
	outcome.Duration = s.now - attempt.started
	if _, open := s.open[attempt.send.ID]; !open {
		outcome.RequestDone = true
	}
	if outcome.Result == routing.Served {
		delete(s.open, attempt.send.ID)
	}
	s.handle(outcome)
}

// drawOutcome returns a random outcome of an attempt and the time from now until this outcome.
func (s *simulation) drawOutcome(attempt *simulatedAttempt) (routing.Outcome, time.Duration) {
	target := s.server(attempt.send.Server)
	outcome := routing.Outcome{Load: noLoad()}
	if s.loads && s.random.IntN(3) > 0 {
		outcome.Load.LinkUtilization = s.linkUtilization * (0.8 + 0.4*s.random.Float64())
	}
	quick := time.Duration(1+s.random.IntN(8)) * time.Millisecond
	fills := attempt.send.FillSource != attempt.send.Server
	isOrigin := target.listed.Kind == s.routerSettings.OriginKind
	hit := !s.routerSettings.Classes[attempt.request.Class].Write && s.random.Float64() < s.hitRatio
	switch {
	case target.down:
		outcome.Result = routing.ConnectFailed
	case target.unresponsive:
		return outcome, time.Hour
	case s.random.IntN(400) == 0:
		outcome.Result = routing.NotSent
	case s.random.Float64() < target.rejectionRate:
		outcome.Result = routing.Rejected
		if fills && s.random.IntN(3) == 0 {
			outcome.CacheStatus = s.status(routing.FillRejected)
		}
	case s.random.Float64() < target.errorRate:
		outcome.Result = routing.ServerError
	case hit && !isOrigin:
		outcome.CacheStatus = s.status(routing.Hit, routing.Hit, routing.Hit, routing.StaleHit)
		return s.served(attempt, outcome, s.transferSeconds(attempt)*target.slowdown, 0)
	case !fills && !isOrigin:
		outcome.Result = routing.NotCached
		if s.random.IntN(20) == 0 { // the attempt joined the fill of another request, which failed
			outcome.Result = routing.ServerError
			outcome.CacheStatus = s.status(routing.SourceUnreachable)
		}
	default:
		return s.drawFillOutcome(attempt, outcome, quick)
	}
	return outcome, quick
}

// drawFillOutcome returns a random outcome of an attempt with a fill, and the time from now until this
// outcome.
func (s *simulation) drawFillOutcome(
	attempt *simulatedAttempt, outcome routing.Outcome, quick time.Duration,
) (routing.Outcome, time.Duration) {
	target, source := s.server(attempt.send.Server), s.server(attempt.send.FillSource)
	seconds := s.transferSeconds(attempt) * max(target.slowdown, source.slowdown)
	switch {
	case source.unresponsive:
		return outcome, time.Hour
	case source.down:
		outcome.Result = routing.ServerError
		outcome.CacheStatus = s.status(routing.SourceUnreachable)
		return outcome, quick
	case s.random.Float64() < source.rejectionRate:
		outcome.Result = routing.Rejected
		outcome.CacheStatus = s.status(routing.SourceRejected)
		return outcome, quick
	case s.random.Float64() < source.errorRate:
		outcome.Result = routing.ServerError
		outcome.CacheStatus = s.status(routing.SourceUnreachable, routing.OriginFailed)
		return outcome, 3 * quick
	case attempt.send.OnlyIfCached && s.random.IntN(2) == 0:
		outcome.Result = routing.NotCached
		outcome.CacheStatus = s.status(routing.SourceMiss)
		return outcome, quick
	case s.random.IntN(3) == 0:
		outcome.CacheStatus = s.status(routing.FilledByOrigin)
		return s.served(attempt, outcome, seconds, 0.04*s.origin().slowdown)
	}
	outcome.CacheStatus = s.status(routing.Filled, routing.Filled, routing.JoinedFill)
	return s.served(attempt, outcome, seconds, 0.01*source.slowdown)
}

// served returns the outcome of a served attempt, and the time from now until this outcome. This time depends
// on the wait for the source (waitSeconds), on the transfer of the response (transferSeconds) and on a
// random factor.
func (s *simulation) served(
	attempt *simulatedAttempt, outcome routing.Outcome, transferSeconds, waitSeconds float64,
) (routing.Outcome, time.Duration) {
	outcome.Result = routing.Served
	outcome.RequestDone = true
	if s.routerSettings.BodyBytesPerSecond > 0 {
		outcome.BodyBytes = int(s.sizeKB(attempt.request) / 1000 * s.routerSettings.BodyBytesPerSecond)
	}
	if s.statuses && !s.routerSettings.HitStatusOnly {
		outcome.FillWait = time.Duration(waitSeconds * float64(time.Second))
	}
	seconds := (waitSeconds + transferSeconds) * (0.7 + 0.8*s.random.Float64())
	return outcome, outcome.FillWait + time.Duration(seconds*float64(time.Second))
}

// status returns one of the given cache statuses, chosen at random. It returns CacheStatusUnknown if the
// simulated deployment does not report the chosen status.
func (s *simulation) status(statuses ...routing.CacheStatus) routing.CacheStatus {
	status := statuses[0]
	if len(statuses) > 1 {
		status = statuses[s.random.IntN(len(statuses))]
	}
	failureNotReported := s.routerSettings.HitStatusOnly && status >= routing.SourceRejected
	if !s.statuses || failureNotReported {
		return routing.CacheStatusUnknown
	}
	return status
}

// sizeKB returns the size of an object's chunk in KB.
func (s *simulation) sizeKB(request routing.Request) float64 {
	return float64(5 + (uint64(request.Object)*7919+uint64(request.Chunk)*104729)%400)
}

// transferSeconds returns the time in seconds needed to send an attempt's response at full pace.
func (s *simulation) transferSeconds(attempt *simulatedAttempt) float64 {
	return s.sizeKB(attempt.request) / 1000
}

// noLoad returns the report of a server that reports no load.
func noLoad() routing.LoadReport {
	nan := math.NaN()
	return routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan}
}
