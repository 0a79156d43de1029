package bans

import (
	"maps"
	"slices"

	"garnetline/internal/fleet/leaseregistry"
	"garnetline/routing"
)

// reconcile compares the servers that are disabled here with the registry as it was read
// last.
//
// Symptom guarded against: a router that had read the registry before an operator enabled a
// server disabled it again by that old reading, when gossip told it of the enable. So each
// version is followed once, and again only on a later reading; a version that disables is
// undone by a later version.
func (m *Machine) reconcile(now float64, disabledHere []routing.ServerID, out *Output) {
	for _, server := range slices.Sorted(maps.Keys(m.registered)) {
		m.reconcileServer(now, server, slices.Contains(disabledHere, server), out)
	}
	for _, server := range slices.Sorted(maps.Keys(m.localBans)) {
		// An enable that did not know of this router's ban undid it before it was registered.
		// Of a ban and an enable that do not know of each other, the ban holds.
		if m.localBans[server].Unregistered && !slices.Contains(disabledHere, server) {
			m.addAction(now, Action{Server: server, Disable: true}, out)
		}
	}
	maps.DeleteFunc(m.unregisteredSince, func(server routing.ServerID, _ float64) bool {
		return !slices.Contains(disabledHere, server)
	})
}

// reconcileServer has this router follow one registered ban.
func (m *Machine) reconcileServer(now float64, server routing.ServerID, disabledHere bool, out *Output) {
	ban := m.registered[server]
	if disabledHere || !ban.Disabled {
		delete(m.reenabledAt, server)
	}
	local, known := m.localBans[server]
	if known && local.Unregistered {
		return // until it is registered, the ban that was set here holds
	}
	switch {
	case ban.Disabled && disabledHere && local.Version != ban.Version:
		m.adoptRegistered(server, ban, out)
	case ban.Disabled && !disabledHere && (m.appliedVersions[server] < ban.Version || m.stillDisabled(now, server)):
		m.addAction(now, Action{Server: server, Disable: true}, out)
	case !ban.Disabled && disabledHere && known && local.Version != 0 && local.Version < ban.Version:
		m.addAction(now, Action{Server: server, Disable: false}, out)
	case !ban.Disabled && !disabledHere:
		m.appliedVersions[server] = ban.Version
		if known {
			delete(m.localBans, server)
			out.Persist = true
		}
	}
}

// adoptRegistered records that a server is disabled here by a registered ban.
func (m *Machine) adoptRegistered(server routing.ServerID, ban *leaseregistry.Ban, out *Output) {
	m.localBans[server] = LocalBan{Version: ban.Version}
	m.appliedVersions[server] = ban.Version
	out.Persist = true
}

// stillDisabled reports whether the registry was read again after gossip enabled a server
// here, and still has it disabled.
//
// Symptom guarded against: an enable took away the gossip of a ban that was registered right
// after it. The server stayed enabled at some routers for good, and disabled in the registry.
func (m *Machine) stillDisabled(now float64, server routing.ServerID) bool {
	reenabledAt, seen := m.reenabledAt[server]
	if !seen {
		m.reenabledAt[server] = now
	}
	return seen && m.lastReadAt > reenabledAt
}

// addAction adds an action, and adds it again after a while where it had no effect: the
// endpoint list may not have the server yet.
func (m *Machine) addAction(now float64, action Action, out *Output) {
	if m.lastActionAt[action.Server]+m.settings.RetryInterval <= now {
		m.lastActionAt[action.Server] = now
		out.Actions = append(out.Actions, action)
	}
}
