package experiment

import (
	"fmt"
	"math"
	"slices"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
)

// The order in which the functions of this file try moves decides which of several shortest
// schedules a search finds.

// expand visits each successor of a state.
func (r *searchRun) expand(state *searchState) {
	r.move(state, "time passes", func(next *searchState) { next.now += searchTick })
	for router := range state.holders {
		r.expandRouter(state, router)
	}
	if state.crashes < r.options.MaxCrashes {
		r.move(state, "another leader", (*searchState).changeLeader)
	}
	for index := range state.inFlight {
		r.expandMessage(state, index)
	}
}

// move visits the state that results from applying a change to a copy of a state.
func (r *searchRun) move(state *searchState, description string, change func(next *searchState)) {
	next := state.clone()
	change(next)
	next.dropUnawaitedResponses()
	r.visit(next, searchMove{previous: state.moveIndex, description: description})
}

// expandRouter visits the successors of a state that result from the actions of one router.
func (r *searchRun) expandRouter(state *searchState, router int) {
	name := fmt.Sprint("router ", router+1)
	if state.stepDue(router) {
		r.move(state, name+" steps", func(next *searchState) { next.stepRouter(router) })
	}
	token, ok := state.valid(router)
	// If the safeguard CheckAtWrite is on, a router sends a pending write only while its lease is
	// valid. At such a time the router could also begin a new write, so a pending write adds no
	// new violation. Pending writes are therefore tracked only if the safeguard is off.
	if ok && state.pendingWrites[router] == 0 && r.options.Without == CheckAtWrite {
		r.move(state, name+" decides a write", func(next *searchState) { next.pendingWrites[router] = token })
	}
	if state.pendingWrites[router] != 0 {
		r.move(state, name+" sends or drops the write", func(next *searchState) { next.pendingWrites[router] = 0 })
	}
	if ok && state.transfers < r.options.MaxTransfers {
		r.move(state, name+" transfers the lease", func(next *searchState) { next.transferFrom(router) })
	}
	if state.crashes < r.options.MaxCrashes {
		r.move(state, name+" restarts", func(next *searchState) { next.restartRouter(router) })
	}
}

// expandMessage visits the successors of a state in which one message in flight arrives, is lost
// or is duplicated.
func (r *searchRun) expandMessage(state *searchState, index int) {
	message := state.inFlight[index]
	name := fmt.Sprintf("a question of router %d", message.router+1)
	if message.response != nil {
		name = fmt.Sprintf("an answer to router %d", message.router+1)
	}
	r.move(state, name+" arrives", func(next *searchState) {
		next.removeMessage(index)
		next.deliver(message)
	})
	if state.faults >= r.options.MaxFaults {
		return
	}
	r.move(state, name+" is lost", func(next *searchState) {
		next.faults++
		next.removeMessage(index)
	})
	r.move(state, name+" arrives and is duplicated", func(next *searchState) {
		next.faults++
		next.deliver(message)
	})
}

// stepDue reports whether a step of a router is due now.
func (s *searchState) stepDue(router int) bool {
	_, _, wakeAt := s.holders[router].Clone().Step(math.Inf(-1))
	return wakeAt <= s.localTime(router)
}

func (s *searchState) stepRouter(router int) {
	requests, _, _ := s.holders[router].Step(s.localTime(router))
	for _, request := range requests {
		s.send(searchMessage{router: router, request: &request})
	}
}

// transferFrom makes the given router transfer the lease to the other router.
func (s *searchState) transferFrom(router int) {
	s.transfers++
	other := routerID(searchRouters - 1 - router)
	s.holders[router].Release(s.localTime(router), leaseName, other, nil)
}

func (s *searchState) restartRouter(router int) {
	s.crashes++
	s.pendingWrites[router] = 0
	s.startRouter(router)
}

func (s *searchState) changeLeader() {
	s.crashes++
	known := s.registry
	if s.options.Without == NewLeaderRestartsLeases {
		known = leaseregistry.New() // as if no lease were held
	}
	s.expiry = lease.NewExpiryTracker(s.options.settings(), s.now, known)
}

// send adds a message to the messages in flight. It drops the message if MaxInFlight messages are
// already in flight.
func (s *searchState) send(message searchMessage) {
	if len(s.inFlight) < s.options.MaxInFlight {
		s.inFlight = append(s.inFlight, message)
	}
}

func (s *searchState) removeMessage(index int) {
	s.inFlight = slices.Delete(s.inFlight, index, index+1)
}

// dropUnawaitedResponses removes responses from the messages in flight if the receiving router no
// longer waits for them. Such responses have no effect. Their removal reduces the number of states.
func (s *searchState) dropUnawaitedResponses() {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(message searchMessage) bool {
		response := message.response
		return response != nil && response.RequestID != 0 && !s.holders[message.router].AwaitsResponse(leaseName, response.RequestID)
	})
}

// deliver passes a message to the registry or to a router.
func (s *searchState) deliver(message searchMessage) {
	if message.request != nil {
		s.handleRequest(message.router, *message.request)
		return
	}
	holder := s.holders[message.router]
	now := s.localTime(message.router)
	if s.options.Without == LeaseFromRequest { // as if the request had been sent when the response arrived
		holder.Backdate(leaseName, message.response.RequestID, now)
	}
	holder.HandleResponse(now, *message.response)
}

// handleRequest handles a router's request at the registry and sends a response.
func (s *searchState) handleRequest(router int, request lease.Request) {
	incarnation := request.ID >> incarnationShift
	granted := false
	if request.Release {
		s.applyRelease(routerID(router), request)
	} else {
		granted = s.grantOrRenew(routerID(router), incarnation, request)
	}
	response := lease.Response{RequestID: request.ID, Lease: leaseName, Granted: granted}
	if current := s.registry.Leases[leaseName]; current != nil {
		response.Granted = granted || current.Holder == routerID(router) && current.Incarnation == incarnation
		response.FencingToken = current.FencingToken
		response.Holder = current.Holder
		response.Remaining = s.expiry.Remaining(s.now, leaseName)
	}
	if granted {
		s.expiry.Extend(s.now, leaseName)
	}
	s.send(searchMessage{router: router, response: &response})
}

// apply applies a command to the registry, and reports whether the command succeeded. Commands
// beyond MaxGrants fail.
func (s *searchState) apply(command *leaseregistry.Command) bool {
	if s.lastIndex >= s.options.MaxGrants {
		return false
	}
	s.lastIndex++
	return s.registry.Apply(s.lastIndex, command) == nil
}

// applyRelease releases the lease. If request.TransferTo names a router, applyRelease instead
// transfers the lease to that router and notifies that router. A request with an outdated fencing
// token changes nothing.
func (s *searchState) applyRelease(holder membership.ID, request lease.Request) {
	current := s.registry.Leases[leaseName]
	if current == nil || current.Holder != holder || current.FencingToken != request.FencingToken {
		return
	}
	if s.apply(releaseCommand(holder, request)) && request.TransferTo != 0 {
		notice := lease.Response{Lease: leaseName, Holder: request.TransferTo, FencingToken: s.lastIndex}
		s.send(searchMessage{router: int(request.TransferTo) - 1, response: &notice})
	}
}

// grantOrRenew grants the lease to a router, or renews the router's lease, if the request and the
// state of the lease allow it. It returns true in both cases, and false if it did neither. A lease
// belongs to one incarnation of a router: a later incarnation cannot renew it.
func (s *searchState) grantOrRenew(router membership.ID, incarnation uint64, request lease.Request) bool {
	current := s.registry.Leases[leaseName]
	isHolder := current != nil && current.Holder == router
	if isHolder && current.Incarnation == incarnation && (request.FencingToken == current.FencingToken || request.FencingToken == 0) {
		return true
	}
	transferred := isHolder && current.Incarnation == 0
	if request.FencingToken != 0 || !transferred && !s.expiry.Available(s.now, current) {
		return false
	}
	command := &leaseregistry.Command{Op: leaseregistry.OpGrant, Lease: leaseName, Holder: router, Incarnation: incarnation}
	if current != nil {
		command.ExpectedToken = current.FencingToken
	}
	return s.apply(command)
}
