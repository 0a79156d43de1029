package bans

import (
	"maps"
	"slices"

	"garnetline/internal/fleet/leaseregistry"
	"garnetline/routing"
)

// reconcile compares the servers that are disabled at this router with the registry's state at the
// latest read, and adds the actions that remove the differences.
//
// Each version of a ban is applied once. It is applied again only if a later read of the registry
// still has that version. Only a later version lifts a ban. Without these rules, a router could
// undo an enable: the router reads the registry, an operator then enables a server, and the router
// learns of the enable by gossip. The router would disable the server again because of its
// outdated read.
func (m *Machine) reconcile(now float64, disabledHere []routing.ServerID, out *Output) {
	for _, server := range slices.Sorted(maps.Keys(m.registered)) {
		m.reconcileServer(now, server, slices.Contains(disabledHere, server), out)
	}
	for _, server := range slices.Sorted(maps.Keys(m.localBans)) {
		// Gossip of an enable lifted this router's ban before the ban was registered. If a ban and
		// an enable are concurrent, the ban takes precedence: disable the server again.
		if m.localBans[server].Unregistered && !slices.Contains(disabledHere, server) {
			m.addAction(now, Action{Server: server, Disable: true}, out)
		}
	}
	maps.DeleteFunc(m.unregisteredSince, func(server routing.ServerID, _ float64) bool {
		return !slices.Contains(disabledHere, server)
	})
}

// reconcileServer makes this router follow one registered ban. It adds an action if one is needed.
func (m *Machine) reconcileServer(now float64, server routing.ServerID, disabledHere bool, out *Output) {
	ban := m.registered[server]
	if disabledHere || !ban.Disabled {
		delete(m.reenabledAt, server)
	}
	local, known := m.localBans[server]
	if known && local.Unregistered {
		return // the ban that was set at this router applies until it is registered
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

// adoptRegistered records that a registered ban is the reason why a server is disabled at this
// router.
func (m *Machine) adoptRegistered(server routing.ServerID, ban *leaseregistry.Ban, out *Output) {
	m.localBans[server] = LocalBan{Version: ban.Version}
	m.appliedVersions[server] = ban.Version
	out.Persist = true
}

// stillDisabled is called for a server that is enabled at this router but disabled in the registry.
// It reports whether the registry was read again after the server was first seen enabled.
//
// If stillDisabled returns true, the caller disables the server again. This is needed if gossip
// of an enable lifts a ban just before the ban is registered. Without the second disable, some
// routers would then keep the server enabled forever although the registry has it disabled.
func (m *Machine) stillDisabled(now float64, server routing.ServerID) bool {
	reenabledAt, seen := m.reenabledAt[server]
	if !seen {
		m.reenabledAt[server] = now
	}
	return seen && m.lastReadAt > reenabledAt
}

// addAction adds an action, unless the latest action for the same server is more recent than
// RetryInterval. An action has no effect while the endpoint list does not have the server. In that
// case a later step adds the action again.
func (m *Machine) addAction(now float64, action Action, out *Output) {
	if m.lastActionAt[action.Server]+m.settings.RetryInterval <= now {
		m.lastActionAt[action.Server] = now
		out.Actions = append(out.Actions, action)
	}
}
