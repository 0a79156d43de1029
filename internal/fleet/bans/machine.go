package bans

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/routing"
)

// maxOpenRequests is the maximum number of requests that wait for a response. If there are more,
// the response to the oldest request is ignored.
const maxOpenRequests = 64

// Machine keeps one router's disabled servers in agreement with the registered bans. It is not
// safe for concurrent use.
type Machine struct {
	settings      Settings
	lastRequestID uint64
	nextPollAt    float64

	// State of the registry at its latest read.
	registered      map[routing.ServerID]*leaseregistry.Ban
	registryVersion uint64
	lastReadAt      float64 // time at which the latest read was requested; NaN: never read

	// State of this router.
	localBans         map[routing.ServerID]LocalBan
	appliedVersions   map[routing.ServerID]uint64  // version of the registered ban that this router applied last
	unregisteredSince map[routing.ServerID]float64 // when a server was first seen disabled at this router but not in the registry
	reenabledAt       map[routing.ServerID]float64 // when a server was first seen enabled at this router but disabled in the registry
	lastActionAt      map[routing.ServerID]float64

	// Requests and changes that wait for a response.
	openRequests  map[uint64]float64 // time of each request by its ID
	changes       map[uint64]*pendingChange
	registrations map[uint64]routing.ServerID // servers whose ban an open request registers, by the request's ID
}

// pendingChange is an operator's change that the registry has not applied yet.
type pendingChange struct {
	Change
	requestIDs    []uint64 // of all requests for the change: a response may arrive after the next request was sent
	nextRequestAt float64
	deadline      float64
}

// NewMachine returns a Machine that has not read the registry. The argument localBans holds the bans
// that an earlier process stored. The Machine takes ownership of this map. Request IDs begin at
// firstID+1.
func NewMachine(settings Settings, firstID uint64, localBans map[routing.ServerID]LocalBan, now float64) *Machine {
	if localBans == nil {
		localBans = map[routing.ServerID]LocalBan{}
	}
	return &Machine{
		settings:          settings,
		lastRequestID:     firstID,
		nextPollAt:        now,
		registered:        map[routing.ServerID]*leaseregistry.Ban{},
		lastReadAt:        math.NaN(),
		localBans:         localBans,
		appliedVersions:   map[routing.ServerID]uint64{},
		unregisteredSince: map[routing.ServerID]float64{},
		reenabledAt:       map[routing.ServerID]float64{},
		lastActionAt:      map[routing.ServerID]float64{},
		openRequests:      map[uint64]float64{},
		changes:           map[uint64]*pendingChange{},
		registrations:     map[uint64]routing.ServerID{},
	}
}

// LastReadAt returns when the latest read of the registry was requested, or NaN if the registry
// has not been read.
func (m *Machine) LastReadAt() float64 { return m.lastReadAt }

// registryRead reports whether the registry has been read at least once.
func (m *Machine) registryRead() bool { return !math.IsNaN(m.lastReadAt) }

// Bans returns the registered bans of the latest read, in the order of their server IDs.
func (m *Machine) Bans() []leaseregistry.Ban {
	var list []leaseregistry.Ban
	for _, ban := range m.registered {
		list = append(list, *ban)
	}
	slices.SortFunc(list, func(a, b leaseregistry.Ban) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// LocalBans returns the bans that must be stored for the next process. The caller must not change
// the map, which the Machine owns.
func (m *Machine) LocalBans() map[routing.ServerID]LocalBan { return m.localBans }

// RecordDisabled records that an operator disabled a server at this router. The caller has already
// disabled the server. The Machine registers the ban as soon as the voters can be reached.
func (m *Machine) RecordDisabled(now float64, change Change) {
	m.localBans[change.Server] = LocalBan{Unregistered: true, SetBy: change.SetBy, Reason: change.Reason, SetAt: change.SetAt}
	m.forgetRegistrations(change.Server)
	m.nextPollAt = now
}

// RequestEnable starts to register that a server is enabled. A Completion with the returned ID
// reports the result.
func (m *Machine) RequestEnable(now float64, change Change) (changeID uint64) {
	m.lastRequestID++
	m.changes[m.lastRequestID] = &pendingChange{Change: change, nextRequestAt: now, deadline: now + m.settings.ChangeTimeout}
	return m.lastRequestID
}

// Step advances the Machine to the time now. The argument disabledHere lists all servers that are
// disabled at this router, for any reason.
func (m *Machine) Step(now float64, disabledHere []routing.ServerID) Output {
	var out Output
	m.reconcile(now, disabledHere, &out)
	m.advanceChanges(now, &out)
	if now >= m.nextPollAt {
		m.poll(now, disabledHere, &out)
	}
	out.WakeAt = m.wakeAt()
	return out
}

// advanceChanges fails each change whose deadline has passed, and sends the requests that are due
// for the other changes.
func (m *Machine) advanceChanges(now float64, out *Output) {
	for _, changeID := range slices.Sorted(maps.Keys(m.changes)) {
		change := m.changes[changeID]
		switch {
		case now >= change.deadline:
			delete(m.changes, changeID)
			out.Completions = append(out.Completions, Completion{ChangeID: changeID, Err: ErrNoQuorum})
		case now < change.nextRequestAt:
		case m.registryRead():
			change.nextRequestAt = now + m.settings.RetryInterval
			change.requestIDs = append(change.requestIDs, m.addRequest(now, m.command(change.Change), out))
		default: // read the registry first, to learn which version the change replaces
			change.nextRequestAt = now + m.settings.RetryInterval
			m.addRequest(now, nil, out)
		}
	}
}

// poll registers the bans that the registry does not have. If there are none, it reads the
// registry.
func (m *Machine) poll(now float64, disabledHere []routing.ServerID, out *Output) {
	registering := m.registryRead() && m.registerBans(now, disabledHere, out)
	if !registering {
		m.addRequest(now, nil, out)
	}
	readOverdue := !m.registryRead() || now-m.lastReadAt > m.settings.PollInterval+m.settings.RetryInterval
	m.nextPollAt = now + m.settings.PollInterval
	if registering || readOverdue {
		m.nextPollAt = now + m.settings.RetryInterval
	}
}

// registerBans requests the registration of each ban that this router must register. It reports
// whether it requested any registration.
func (m *Machine) registerBans(now float64, disabledHere []routing.ServerID, out *Output) bool {
	registering := false
	for _, server := range disabledHere {
		if !m.needsRegistration(now, server) {
			continue
		}
		ban := m.localBans[server]
		change := Change{Server: server, Disable: true, SetBy: ban.SetBy, Reason: ban.Reason, SetAt: ban.SetAt}
		m.registrations[m.addRequest(now, m.command(change), out)] = server
		registering = true
	}
	return registering
}

// needsRegistration reports whether this router must register that a server is disabled. A ban
// received by gossip is registered by the router at which it was set, because that router knows
// who set it and why. If the ban is still unregistered after AdoptAfter, the other routers register
// it.
func (m *Machine) needsRegistration(now float64, server routing.ServerID) bool {
	if ban, known := m.localBans[server]; known {
		return ban.Unregistered
	}
	if ban := m.registered[server]; ban != nil && ban.Disabled {
		delete(m.unregisteredSince, server)
		return false
	}
	if _, seen := m.unregisteredSince[server]; !seen {
		m.unregisteredSince[server] = now
	}
	return now-m.unregisteredSince[server] >= m.settings.AdoptAfter
}

func (m *Machine) wakeAt() float64 {
	earliest := m.nextPollAt
	for _, change := range m.changes {
		earliest = min(earliest, change.nextRequestAt, change.deadline)
	}
	return earliest
}

// addRequest adds a request that reads the registry. Unless the argument command is nil, the
// request also applies that command to the registry.
func (m *Machine) addRequest(now float64, command *leaseregistry.Command, out *Output) (requestID uint64) {
	if len(m.openRequests) >= maxOpenRequests {
		oldest := slices.Min(slices.Collect(maps.Keys(m.openRequests)))
		delete(m.openRequests, oldest)
		delete(m.registrations, oldest)
	}
	m.lastRequestID++
	m.openRequests[m.lastRequestID] = now
	request := consensus.BanRequest{KnownVersion: m.registryVersion, Set: command}
	out.Requests = append(out.Requests, Request{ID: m.lastRequestID, BanRequest: request})
	return m.lastRequestID
}

// command returns the registry command for a change, with the version of the ban that the change
// replaces.
func (m *Machine) command(change Change) *leaseregistry.Command {
	version := change.Version
	if ban := m.registered[change.Server]; version == 0 && ban != nil {
		version = ban.Version
	}
	return &leaseregistry.Command{
		Op:            leaseregistry.OpSetBan,
		Server:        change.Server,
		Disabled:      change.Disable,
		ExpectedToken: version,
		Text:          truncate(change.SetBy),
		Reason:        truncate(change.Reason),
		SetAt:         change.SetAt,
	}
}

func truncate(text string) string { return text[:min(len(text), leaseregistry.MaxTextLen)] }

// HandleResponse handles a voter's response.
func (m *Machine) HandleResponse(now float64, response consensus.BanResponse) Output {
	var out Output
	if !m.readRegistry(now, response) {
		return out
	}
	m.completeRegistration(now, response.RequestID, &out)
	m.completeChanges(now, response, &out)
	return out
}

// readRegistry stores the bans in a response. It reports whether the response answers an open
// request and has the newest state of the registry that this router knows of.
func (m *Machine) readRegistry(now float64, response consensus.BanResponse) bool {
	requestedAt, open := m.openRequests[response.RequestID]
	if !open || response.Version < m.registryVersion {
		return false // the response answers no open request, or is older than the state that was read
	}
	delete(m.openRequests, response.RequestID)
	if response.Bans != nil || response.Version == 0 {
		state, ok := leaseregistry.Restore(response.Bans)
		if !ok {
			return false
		}
		m.registered = state.Bans
		m.registryVersion = response.Version
	}
	if response.Version != m.registryVersion {
		return false // the response has a newer version without its bans, as if this router had these bans already
	}
	if !m.registryRead() {
		m.lastReadAt = requestedAt
		m.nextPollAt = now
	}
	m.lastReadAt = max(m.lastReadAt, requestedAt)
	return true
}

// completeRegistration completes the registration that the request with the given ID made, if any.
func (m *Machine) completeRegistration(now float64, requestID uint64, out *Output) {
	server, registering := m.registrations[requestID]
	if !registering {
		return
	}
	m.forgetRegistrations(server)
	if ban := m.registered[server]; ban != nil && ban.Disabled { // registered by this request or by another router
		m.adoptRegistered(server, ban, out)
	} else { // an enable by an operator who did not know of the ban was registered first: register the ban as the next version
		m.nextPollAt = now
	}
}

// forgetRegistrations ignores the responses to all requests that register the ban of a server.
func (m *Machine) forgetRegistrations(server routing.ServerID) {
	maps.DeleteFunc(m.registrations, func(_ uint64, registering routing.ServerID) bool { return registering == server })
}

// completeChanges completes the operator's change that a request made, or schedules another
// request for it.
func (m *Machine) completeChanges(now float64, response consensus.BanResponse, out *Output) {
	for changeID, change := range m.changes {
		if !slices.Contains(change.requestIDs, response.RequestID) {
			continue
		}
		ban := m.registered[change.Server]
		applied := ban != nil && ban.Disabled == change.Disable && response.Rejection == ""
		alreadyEnabled := ban != nil && !ban.Disabled && change.Version == 0
		switch {
		case applied || alreadyEnabled:
			delete(m.changes, changeID)
			out.Completions = append(out.Completions, Completion{ChangeID: changeID})
			m.appliedVersions[change.Server] = ban.Version
			delete(m.localBans, change.Server)
			out.Persist = true
		case change.Version != 0:
			delete(m.changes, changeID)
			out.Completions = append(out.Completions, Completion{ChangeID: changeID, Err: ErrVersionConflict})
		default: // the registered ban now has another version: retry with that version
			change.nextRequestAt = now
		}
	}
}
