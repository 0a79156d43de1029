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

// maxOpenRequests bounds the requests whose response is still taken.
const maxOpenRequests = 64

// Machine is one router's side of the registered bans. It is not safe for concurrent use.
type Machine struct {
	settings      Settings
	lastRequestID uint64
	nextPollAt    float64

	// The registry, as it was read last.
	registered      map[routing.ServerID]*leaseregistry.Ban
	registryVersion uint64
	lastReadAt      float64 // when that reading was requested; NaN: never read

	// This router.
	localBans         map[routing.ServerID]LocalBan
	appliedVersions   map[routing.ServerID]uint64  // of the registered bans that were followed
	unregisteredSince map[routing.ServerID]float64 // disabled by gossip, and not in the registry
	reenabledAt       map[routing.ServerID]float64 // first seen enabled although the registry has it disabled
	lastActionAt      map[routing.ServerID]float64

	// What waits for a response.
	openRequests  map[uint64]float64 // when each was made
	changes       map[uint64]*pendingChange
	registrations map[routing.ServerID]uint64 // requests that register a ban
}

// pendingChange is an operator's change that waits for the registry.
type pendingChange struct {
	Change
	requestID     uint64
	nextRequestAt float64
	deadline      float64
}

// NewMachine returns a Machine that has not read the registry. localBans are those that were
// stored before the process began, and belong to the Machine from here on. Requests are
// numbered from above firstID.
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
		registrations:     map[routing.ServerID]uint64{},
	}
}

// LastReadAt returns when the latest reading of the registry was requested, or NaN.
func (m *Machine) LastReadAt() float64 { return m.lastReadAt }

// registryRead reports whether the registry has been read at all.
func (m *Machine) registryRead() bool { return !math.IsNaN(m.lastReadAt) }

// Bans returns the registered bans as they were read last, by server.
func (m *Machine) Bans() []leaseregistry.Ban {
	var list []leaseregistry.Ban
	for _, ban := range m.registered {
		list = append(list, *ban)
	}
	slices.SortFunc(list, func(a, b leaseregistry.Ban) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// LocalBans returns what must be stored for the next process. The map is the Machine's own.
func (m *Machine) LocalBans() map[routing.ServerID]LocalBan { return m.localBans }

// RecordDisabled records that an operator disabled a server at this router, which holds
// already. The ban is registered as soon as the voters can be reached.
func (m *Machine) RecordDisabled(now float64, change Change) {
	m.localBans[change.Server] = LocalBan{Unregistered: true, SetBy: change.SetBy, Reason: change.Reason, SetAt: change.SetAt}
	delete(m.registrations, change.Server)
	m.nextPollAt = now
}

// RequestEnable begins to register that a server is enabled. A Completion with the id that it
// returns tells how that ended.
func (m *Machine) RequestEnable(now float64, change Change) (changeID uint64) {
	m.lastRequestID++
	m.changes[m.lastRequestID] = &pendingChange{Change: change, nextRequestAt: now, deadline: now + m.settings.ChangeTimeout}
	return m.lastRequestID
}

// Step advances the Machine to now. disabledHere are the servers that are disabled at this
// router, for whatever reason.
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

// advanceChanges fails the changes whose time is over, and sends the others on.
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
			change.requestID = m.addRequest(now, m.command(change.Change), out)
		default: // which version it replaces is not known yet
			change.nextRequestAt = now + m.settings.RetryInterval
			m.addRequest(now, nil, out)
		}
	}
}

// poll registers the bans that the registry does not have, or else reads it.
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

// registerBans reports whether there was a ban to register.
func (m *Machine) registerBans(now float64, disabledHere []routing.ServerID, out *Output) bool {
	registering := false
	for _, server := range disabledHere {
		if !m.needsRegistration(now, server) {
			continue
		}
		ban := m.localBans[server]
		change := Change{Server: server, Disable: true, SetBy: ban.SetBy, Reason: ban.Reason, SetAt: ban.SetAt}
		m.registrations[server] = m.addRequest(now, m.command(change), out)
		registering = true
	}
	return registering
}

// needsRegistration reports whether this router must register that a server is disabled. A
// ban that gossip brought is registered by the router where it was set, which knows by whom
// and why; other routers do it only if that one has not.
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

// addRequest adds a request that reads the registry and, where command is not nil, changes it.
func (m *Machine) addRequest(now float64, command *leaseregistry.Command, out *Output) (requestID uint64) {
	if len(m.openRequests) >= maxOpenRequests {
		oldest := slices.Min(slices.Collect(maps.Keys(m.openRequests)))
		delete(m.openRequests, oldest)
	}
	m.lastRequestID++
	m.openRequests[m.lastRequestID] = now
	request := consensus.BanRequest{KnownVersion: m.registryVersion, Set: command}
	out.Requests = append(out.Requests, Request{ID: m.lastRequestID, BanRequest: request})
	return m.lastRequestID
}

// command returns a change as the registry takes it, on top of the version that it replaces.
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

// HandleResponse takes a voter's response.
func (m *Machine) HandleResponse(now float64, response consensus.BanResponse) Output {
	var out Output
	if !m.readRegistry(now, response) {
		return out
	}
	m.completeRegistrations(now, response.RequestID, &out)
	m.completeChanges(now, response, &out)
	return out
}

// readRegistry takes over the registry's bans. It reports whether the response is the newest
// state of the registry that this router knows of.
func (m *Machine) readRegistry(now float64, response consensus.BanResponse) bool {
	requestedAt, open := m.openRequests[response.RequestID]
	if !open || response.Version < m.registryVersion {
		return false // for an earlier process, or overtaken
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
		return false // the voter took this router for one that knows more
	}
	if !m.registryRead() {
		m.lastReadAt = requestedAt
		m.nextPollAt = now
	}
	m.lastReadAt = max(m.lastReadAt, requestedAt)
	return true
}

// completeRegistrations ends the registration of a ban that a request made.
func (m *Machine) completeRegistrations(now float64, requestID uint64, out *Output) {
	for server, registration := range m.registrations {
		if registration != requestID {
			continue
		}
		delete(m.registrations, server)
		if ban := m.registered[server]; ban != nil && ban.Disabled { // by this request or another router's
			m.adoptRegistered(server, ban, out)
		} else { // an enable that did not know of the ban came first: register it on top of that
			m.nextPollAt = now
		}
	}
}

// completeChanges ends the operator's change that a request made, or has it sent again.
func (m *Machine) completeChanges(now float64, response consensus.BanResponse, out *Output) {
	for changeID, change := range m.changes {
		if change.requestID != response.RequestID {
			continue
		}
		ban := m.registered[change.Server]
		taken := ban != nil && ban.Disabled == change.Disable && response.Rejection == ""
		enabledAnyway := ban != nil && !ban.Disabled && change.Version == 0
		switch {
		case taken || enabledAnyway:
			delete(m.changes, changeID)
			out.Completions = append(out.Completions, Completion{ChangeID: changeID})
			m.appliedVersions[change.Server] = ban.Version
			delete(m.localBans, change.Server)
			out.Persist = true
		case change.Version != 0:
			delete(m.changes, changeID)
			out.Completions = append(out.Completions, Completion{ChangeID: changeID, Err: ErrVersionConflict})
		default: // the ban has another version by now: try on top of that
			change.nextRequestAt = now
		}
	}
}
