package discovery

import (
	"context"
	"errors"

	"garnetline/internal/clock"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// disableRequest is a call of staff to take a cache out, or back.
type disableRequest struct {
	server        routing.ServerID
	disabled      bool
	skipBroadcast bool // of the register: the others have it too
	result        chan error
}

// ErrUnknownServer reports a cache that is neither listed nor taken out.
var ErrUnknownServer = errors.New("unknown cache")

// SetDisabled takes a cache out of use, or back, whatever the list says of it. When it
// returns without an error, nothing that is written from then on goes there.
func (l *Watcher) SetDisabled(ctx context.Context, id routing.ServerID, out bool) error {
	return l.submit(ctx, disableRequest{server: id, disabled: out, result: make(chan error, 1)})
}

func (l *Watcher) submit(ctx context.Context, o disableRequest) error {
	select {
	case l.disableRequests <- o:
		return <-o.result
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleDisableRequest carries out a call of staff. The mark is there before the answer is.
func (l *Watcher) handleDisableRequest(o disableRequest) error {
	_, listed := l.servers[o.server]
	_, out := l.disabled[o.server]
	switch {
	case !listed && !out:
		return ErrUnknownServer
	case o.disabled == out:
		return nil
	}
	if err := l.disabledStore.Set(o.server, o.disabled); err != nil {
		return err
	}
	l.applyDisabled(o.server, o.disabled)
	if !o.skipBroadcast {
		l.broadcastDisabled(o.server, o.disabled)
	}
	return nil
}

// syncDisabledStore goes over to what another process of this router was told meanwhile.
func (l *Watcher) syncDisabledStore() {
	marked, err := l.disabledStore.List()
	if err != nil || l.disabledStore == "" {
		return
	}
	for id := range marked {
		if _, out := l.disabled[id]; !out {
			l.applyDisabled(id, true)
			l.broadcastDisabled(id, true)
		}
	}
	for id := range l.disabled {
		if !marked[id] {
			l.applyDisabled(id, false)
			l.broadcastDisabled(id, false)
		}
	}
}

// applyDisabled takes a cache out, or back, and tells so as a change of the list. One that is
// back was restarted meanwhile, as caches that staff take out are; where the list
// has not told its start, it counts from now.
func (l *Watcher) applyDisabled(id routing.ServerID, out bool) {
	h, listed := l.servers[id]
	if out {
		l.disabled[id] = h.StartedAt
	} else {
		if h.StartedAt == l.disabled[id] {
			h.StartedAt = clock.Duration(l.clock.Now() + clock.WallClockStep(l.clock))
		}
		delete(l.disabled, id)
	}
	l.publishDisabled()
	if listed {
		l.publish(platformconfig.WatchEvent{Seq: l.lastSeq, ListUpdate: true, Endpoints: []platformconfig.Endpoint{l.effectiveState(h)}})
	}
}
