package discovery

import (
	"context"
	"errors"
	"maps"
	"slices"

	"garnetline/routing"
)

// ErrUnknownServer is returned for a server that is neither in the endpoint list nor disabled
// by an operator.
var ErrUnknownServer = errors.New("unknown cache: it is neither in the endpoint list nor disabled by an operator")

// disableRequest asks the goroutine of Run to disable or enable a server.
type disableRequest struct {
	server        routing.ServerID
	disabled      bool
	skipBroadcast bool // do not report the change to the peers, because they read it from the lease registry
	result        chan error
}

// SetDisabled disables or enables a server on behalf of an operator. The router does not use a
// disabled server, even if the endpoint list says that the server is ready. After SetDisabled has
// disabled a server and returned nil, no attempt is written to that server. SetDisabled returns
// ErrUnknownServer, the error of the store, or the error of ctx.
func (w *Watcher) SetDisabled(ctx context.Context, id routing.ServerID, disabled bool) error {
	return w.submit(ctx, disableRequest{server: id, disabled: disabled, result: make(chan error, 1)})
}

// SetDisabledByRegistry disables or enables a server to match the lease registry. It works like
// SetDisabled, with one exception: it does not report to the peers that a server was disabled,
// because they read the registry too. It does report that a server was enabled.
func (w *Watcher) SetDisabledByRegistry(ctx context.Context, id routing.ServerID, disabled bool) error {
	return w.submit(ctx, disableRequest{server: id, disabled: disabled, skipBroadcast: disabled, result: make(chan error, 1)})
}

// submit passes a request to the goroutine of Run and waits for its result.
func (w *Watcher) submit(ctx context.Context, request disableRequest) error {
	select {
	case w.disableRequests <- request:
		return <-request.result
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleDisableRequest carries out a request. It stores the change before it applies the change. A
// nil error therefore tells the caller that the change is stored.
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

// loadDisabled loads the disabled servers from the store. It must be called before any event is
// applied. After the known events, recordDisabledStarts completes the entries.
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

// recordDisabledStarts records the listed start times of the servers that loadDisabled has loaded.
func (w *Watcher) recordDisabledStarts() {
	for id := range w.disabled {
		w.disabled[id] = w.servers[id].StartedAt
	}
}

// syncDisabledStore reads the store. It applies the changes that another process of this router has
// made there, and reports them to the peers.
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

// applyDisabled disables or enables a server and publishes the change as an update of the endpoint
// list. An enabled server counts as started now if its listed start time is the same as when it was
// disabled; see assumedStart.
func (w *Watcher) applyDisabled(id routing.ServerID, disabled bool) {
	endpoint, listed := w.servers[id]
	if disabled {
		w.disabled[id] = endpoint.StartedAt
	} else {
		if listed && endpoint.StartedAt == w.disabled[id] {
			w.assumeStarted(id, endpoint.StartedAt)
		}
		delete(w.disabled, id)
	}
	w.publishDisabled()
	if listed {
		w.publishEndpoint(endpoint)
	}
}

// Disabled returns the servers that operators have disabled, in ascending order. It returns nil if
// the router belongs to no fleet.
func (w *Watcher) Disabled() []routing.ServerID {
	if servers := w.disabledServers.Load(); servers != nil {
		return *servers
	}
	return nil
}

// publishDisabled publishes the list that Disabled returns.
func (w *Watcher) publishDisabled() {
	if w.gossip.Gossip == nil {
		return
	}
	servers := slices.Sorted(maps.Keys(w.disabled))
	w.disabledServers.Store(&servers)
}
