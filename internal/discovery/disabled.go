package discovery

import (
	"context"
	"errors"
	"maps"
	"slices"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// ErrUnknownServer reports a server that is neither listed nor disabled.
var ErrUnknownServer = errors.New("unknown cache")

// disableRequest asks the goroutine of Run to disable or enable a server.
type disableRequest struct {
	server        routing.ServerID
	disabled      bool
	skipBroadcast bool // the other routers learn it from the lease registry
	result        chan error
}

// SetDisabled disables or enables a server on behalf of an operator, whatever the endpoint
// list says. Once it has returned nil, nothing that is written goes to a disabled server. It
// returns ErrUnknownServer, the error of the store, or that of ctx.
func (w *Watcher) SetDisabled(ctx context.Context, id routing.ServerID, disabled bool) error {
	return w.submit(ctx, disableRequest{server: id, disabled: disabled, result: make(chan error, 1)})
}

// SetDisabledByRegistry disables or enables a server as the lease registry has it. It is
// SetDisabled, except that a disabled server is not broadcast: the other routers read the
// registry too.
func (w *Watcher) SetDisabledByRegistry(ctx context.Context, id routing.ServerID, disabled bool) error {
	return w.submit(ctx, disableRequest{server: id, disabled: disabled, skipBroadcast: disabled, result: make(chan error, 1)})
}

// submit hands a request to the goroutine of Run and waits for its result.
func (w *Watcher) submit(ctx context.Context, request disableRequest) error {
	select {
	case w.disableRequests <- request:
		return <-request.result
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleDisableRequest carries out a request. The store has it before the caller is told.
func (w *Watcher) handleDisableRequest(request disableRequest) error {
	_, listed := w.servers[request.server]
	_, isDisabled := w.disabled[request.server]
	switch {
	case !listed && !isDisabled:
		return ErrUnknownServer
	case request.disabled == isDisabled:
		return nil
	}
	if err := w.disabledStore.Set(request.server, request.disabled); err != nil {
		return err
	}
	w.applyDisabled(request.server, request.disabled)
	if !request.skipBroadcast {
		w.broadcastDisabled(request.server, request.disabled)
	}
	return nil
}

// loadDisabled takes over what the store holds, before any event is applied.
func (w *Watcher) loadDisabled() {
	stored, err := w.disabledStore.List()
	if err != nil {
		w.counters.Add("marks_unread", 1)
	}
	for id := range stored {
		w.disabled[id] = 0
	}
	w.publishDisabled()
}

// syncDisabledStore takes over what another process of this router has stored meanwhile.
func (w *Watcher) syncDisabledStore() {
	stored, err := w.disabledStore.List()
	if err != nil || w.disabledStore == "" {
		return
	}
	for id := range stored {
		if _, isDisabled := w.disabled[id]; !isDisabled {
			w.applyDisabled(id, true)
			w.broadcastDisabled(id, true)
		}
	}
	for id := range w.disabled {
		if !stored[id] {
			w.applyDisabled(id, false)
			w.broadcastDisabled(id, false)
		}
	}
}

// applyDisabled disables or enables a server and publishes that as a change of the list. A
// server that is enabled was restarted meanwhile, as operators do before they enable it:
// where the list does not name a later start, the server counts as started now.
func (w *Watcher) applyDisabled(id routing.ServerID, disabled bool) {
	endpoint, listed := w.servers[id]
	if disabled {
		w.disabled[id] = endpoint.StartedAt
	} else {
		if endpoint.StartedAt == w.disabled[id] {
			endpoint.StartedAt = clock.Duration(w.clock.Now() + clock.WallClockStep(w.clock))
		}
		delete(w.disabled, id)
	}
	w.publishDisabled()
	if listed {
		w.publishEndpoint(endpoint)
	}
}

// Disabled returns the servers that operators disabled, in order. Without a fleet it returns
// nil.
func (w *Watcher) Disabled() []routing.ServerID {
	if servers := w.disabledServers.Load(); servers != nil {
		return *servers
	}
	return nil
}

// publishDisabled publishes what Disabled returns.
func (w *Watcher) publishDisabled() {
	if w.gossip.Gossip == nil {
		return
	}
	servers := slices.Sorted(maps.Keys(w.disabled))
	w.disabledServers.Store(&servers)
}
