package routing

import "slices"

// handleEndpointUpdate applies a change of the endpoint list. Servers that are removed or draining
// are no longer chosen.
func (r *Router) handleEndpointUpdate(update EndpointUpdate) {
	if update.Failed {
		r.emit(SetTimer{Delay: subscribeRetryInterval, Token: timerSubscribe})
		return
	}
	isFirstList := !r.initialized
	r.initialized = true
	if isFirstList && r.settings.MustSubscribe {
		r.emit(Subscribe{})
	}
	if update.Snapshot {
		for _, server := range r.servers {
			server.ready = false
		}
	}
	for _, listed := range update.Servers {
		r.applyEndpoint(listed, isFirstList)
	}
	r.indexReady()
	r.servers = slices.DeleteFunc(r.servers, r.expired)
	r.dispatchQueue()
}

// applyEndpoint applies one entry of the endpoint list. It ignores caches of other zones. inFirstList is
// true for an entry of the first endpoint list.
func (r *Router) applyEndpoint(listed Server, inFirstList bool) {
	role := r.roleOf(listed)
	if role == cache && listed.Zone != r.settings.Zone {
		return
	}
	index := slices.IndexFunc(r.servers, func(server *server) bool { return server.ID == listed.ID })
	if index < 0 {
		index = len(r.servers)
		r.servers = append(r.servers, &server{warmingSince: r.now, lastResponseAt: longAgo})
	}
	server := r.servers[index]
	if server.Phase == Removed && listed.Phase != Removed {
		server.resetHealth()
	}
	r.startWarming(server, listed, inFirstList)
	server.Server = listed
	server.role = role
	server.ready = listed.Phase == Ready
}

// roleOf returns the role of a listed server: cache, parent or origin.
func (r *Router) roleOf(listed Server) role {
	switch listed.Kind {
	case r.settings.OriginKind:
		return origin
	case r.settings.ParentKind:
		return parent
	default:
		return cache
	}
}

// indexReady lists the ready servers by role (cache, parent or origin). If the total weight of a role has
// fallen, indexReady reduces the throughput of the role by the same factor.
func (r *Router) indexReady() {
	before := r.totalWeight
	r.readyByRole = [roleCount][]*server{}
	r.totalWeight = [roleCount]float64{}
	for _, server := range r.servers {
		if server.ready {
			r.readyByRole[server.role] = append(r.readyByRole[server.role], server)
			r.totalWeight[server.role] += r.weight(server)
		}
	}
	for role, weight := range r.totalWeight {
		r.throughput[role].value *= weight / max(weight, before[role], minWeight)
	}
}

// expired reports whether the router can drop its record of a server. The server must not be ready, and
// this router must have sent it no work for serverRetention. After that time, no late event that reports a
// start of the server is expected, so the record is not needed.
func (r *Router) expired(server *server) bool {
	if server.ready {
		return false
	}
	entries := len(server.recentWork)
	if entries == 0 {
		return true
	}
	lastUsedAt := server.recentWork[entries-1].updatedAt
	return lastUsedAt < r.now-serverRetention
}

// readyServer returns the server with the given ID if it is listed as ready, and nil otherwise.
func (r *Router) readyServer(id ServerID) *server {
	for _, server := range r.servers {
		if server.ID == id && server.ready {
			return server
		}
	}
	return nil
}
