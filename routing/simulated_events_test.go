package routing_test

import (
	"slices"
	"time"

	"garnetline/routing"
)

// milliseconds returns a random duration in milliseconds, from minimum to below minimum+span.
func (s *simulation) milliseconds(minimum, span int) time.Duration {
	return time.Duration(minimum+s.random.IntN(span)) * time.Millisecond
}

// sendRequest sends a request and schedules the next one.
func (s *simulation) sendRequest() {
	request := s.drawRequest()
	s.nextID++
	s.handle(request)
	if s.random.IntN(60) == 0 {
		delay := time.Duration(s.random.Int64N(int64(time.Second)))
		s.after(delay, func() { s.disconnect(request.ID) })
	}
	if s.random.IntN(400) == 0 {
		s.handle(request) // a repeat of an ID, which is in use or was used before
	}
	interval := s.random.ExpFloat64() / (s.rate * s.load)
	s.after(time.Duration(interval*float64(time.Second)), s.sendRequest)
}

// drawRequest returns a random request. If the settings list the class of the request, drawRequest records
// the request as open.
func (s *simulation) drawRequest() routing.Request {
	class := []int{0, 0, 0, 1, 1, 1, 1, 2, 3, 4, 5}[s.random.IntN(11)]
	deadline := s.routerSettings.Classes[class].Deadline
	request := routing.Request{
		ID:          s.nextID,
		Class:       class,
		Chunk:       s.random.IntN(3),
		PurgeGroup:  s.random.IntN(4),
		Timeout:     deadline,
		ClientRetry: s.random.IntN(9) == 0,
	}
	request.Object = routing.ObjectID(1 + s.random.IntN(400)/(1+s.random.IntN(40)))
	if s.random.IntN(12) == 0 {
		request.Timeout = time.Duration(1 + s.random.Int64N(int64(deadline)))
	}
	if s.sizes && s.random.IntN(15) != 0 {
		request.SizeKB = s.sizeKB(request)
	}
	if s.random.IntN(300) == 0 {
		request.Class = len(s.routerSettings.Classes) + 1 // not in the settings
		return request
	}
	s.open[request.ID] = request
	return request
}

func (s *simulation) disconnect(id routing.RequestID) {
	delete(s.open, id)
	s.handle(routing.ClientDisconnected{ID: id})
}

// changeConditions ends the present fault, starts a randomly chosen fault and schedules the next change.
func (s *simulation) changeConditions() {
	s.conditions = conditions{load: 1, linkUtilization: 0.4, hitRatio: 0.7}
	for _, server := range s.servers {
		server.unresponsive = false
		server.down = false
		server.errorRate = 0.004
		server.rejectionRate = 0.002
		server.slowdown = 1
	}
	chosen := s.servers[s.random.IntN(len(s.servers))]
	s.beginFault(s.random.IntN(14), chosen)
	s.after(s.milliseconds(1500, 3500), s.changeConditions)
}

// beginFault starts the fault with the given number. The fault affects the chosen server, the origin, the
// load, or all servers of one kind.
func (s *simulation) beginFault(fault int, chosen *simulatedServer) {
	switch fault {
	case 0:
		s.load = 6
	case 1:
		chosen.unresponsive = true
	case 2:
		chosen.down = true
	case 3:
		chosen.errorRate = 0.7
	case 4:
		chosen.rejectionRate = 0.6
	case 5:
		chosen.slowdown = 12
	case 6:
		s.origin().slowdown = 80
		s.hitRatio = 0.2
	case 7:
		s.origin().rejectionRate = 0.4
		s.origin().errorRate = 0.3
		s.hitRatio = 0.3
	case 8:
		s.conditions = conditions{load: 2, linkUtilization: 4, hitRatio: 0.3}
	case 13:
		s.origin().unresponsive = true
		s.hitRatio = 0.3
	default:
		s.beginKindFault(fault)
	}
}

// beginKindFault starts the fault with the given number, which affects all servers of one kind.
func (s *simulation) beginKindFault(fault int) {
	const cacheKind = 0
	parentKind := s.routerSettings.ParentKind
	switch fault {
	case 9:
		for _, server := range s.serversOfKind(parentKind) {
			server.unresponsive = true
		}
	case 10:
		for _, server := range s.serversOfKind(cacheKind) {
			server.slowdown = 4
			server.rejectionRate = 0.3
		}
	case 11:
		for _, server := range s.serversOfKind(cacheKind) {
			if server.listed.Zone == s.routerSettings.Zone {
				s.restart(server)
			}
		}
	case 12:
		for _, server := range s.serversOfKind(parentKind) {
			server.slowdown = 6
			server.rejectionRate = 0.2
		}
		s.hitRatio = 0.3
	}
}

// restart lists a server as removed and, after a random delay, as ready with a new start time.
func (s *simulation) restart(server *simulatedServer) {
	server.down = true
	server.listed.Phase = routing.Removed
	s.update(server.listed)
	s.after(s.milliseconds(0, 1500), func() {
		server.down = false
		server.listed.Phase = routing.Ready
		server.listed.StartedAt = s.now
		s.update(server.listed)
	})
}

func (s *simulation) update(listed routing.Server) {
	s.handle(routing.EndpointUpdate{Servers: []routing.Server{listed}})
}

func (s *simulation) sendSnapshot() {
	s.handle(routing.EndpointUpdate{Snapshot: true, Servers: s.list()})
}

// sendUpdates sends a random event that does not result from a request, such as an endpoint update, a purge
// or a report of another router. It schedules the next such event.
func (s *simulation) sendUpdates() {
	chosen := s.servers[s.random.IntN(len(s.servers))]
	switch s.random.IntN(12) {
	case 0:
		chosen.listed.Phase = routing.Draining
		s.update(chosen.listed)
		s.after(s.milliseconds(0, 3000), func() { s.restart(chosen) })
	case 1:
		s.handle(routing.EndpointUpdate{Failed: true})
	case 2:
		s.sendSnapshot()
	case 3:
		object := routing.ObjectID(1 + s.random.IntN(400))
		s.handle(routing.Purge{Object: object, Age: s.milliseconds(0, 900)})
	case 4:
		s.handle(routing.Purge{Group: s.random.IntN(4), Age: s.milliseconds(0, 900)})
	case 5:
		load := noLoad()
		load.LinkUtilization = 3 * s.random.Float64()
		s.handle(routing.PeerLoadReport{Server: chosen.listed.ID, Load: load, Age: s.milliseconds(0, 1200)})
	case 6, 7:
		s.handle(routing.ExtendEjection{Server: chosen.listed.ID, Until: s.now + s.milliseconds(0, 8000)})
	case 8, 9:
		s.handle(routing.RequireProbe{Server: chosen.listed.ID})
	case 10:
		s.handle(routing.Outcome{ID: s.nextID + 5, Load: noLoad()}) // unknown request
		s.handle(routing.TimerFired{Token: s.random.Uint64()})
	case 11:
		s.listTemporaryCache()
	}
	s.after(s.milliseconds(100, 900), s.sendUpdates)
}

// listTemporaryCache lists an additional cache for one second.
func (s *simulation) listTemporaryCache() {
	temporary := routing.Server{
		ID: 50 + routing.ServerID(s.random.IntN(3)), Zone: 1, Phase: routing.Ready, Weight: 6, StartedAt: s.now,
	}
	s.update(temporary)
	s.after(time.Second, func() {
		temporary.Phase = routing.Removed
		s.update(temporary)
	})
}

// updateSettings replaces the router's settings. The new settings have an additional class, other quotas and
// another slow start.
func (s *simulation) updateSettings() {
	added := routing.Class{
		Name: "new", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1,
	}
	s.routerSettings.Classes = append(slices.Clone(s.routerSettings.Classes), added)
	s.routerSettings.RoutersByZone = []int{0, 3, 1}
	s.routerSettings.CacheSlowStart.InitialCapacity = 0.4
	if err := s.router.UpdateSettings(s.routerSettings); err != nil {
		s.trace.printf("settings not adopted")
	}
}
