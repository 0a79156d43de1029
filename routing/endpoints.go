package routing

import "slices"

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

// weight is a server's size against its peers.
func (r *Router) weight(s *server) float64 {
	if r.settings.WeightIsCapacity {
		return max(s.Weight, 0.01)
	}
	return 1
}
