package transport

import (
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// SetReceiver sets who is called with the messages of other routers' state machines. It is
// called before Run.
func (t *Transport) SetReceiver(receiver Receiver) { t.options.Receiver = receiver }

// Send sends a message to a state machine of another router. It may get lost, and never
// blocks.
func (t *Transport) Send(to membership.ID, channel fragment.Channel, message []byte) {
	t.enqueue(func(now float64) {
		t.lastMessageID++
		reserve := 0.0
		if channel == fragment.LoadReport {
			reserve = loadReportReserve
		}
		for _, payload := range fragment.Split(t.lastMessageID, channel, message) {
			out := t.node.SendPayload(now, to, payload)
			t.sendWithReserve(now, out.Packets, reserve)
		}
	})
}

// Stopped returns a channel that is closed when Run has returned.
func (t *Transport) Stopped() <-chan struct{} { return t.done }

// enqueue has Run call a command. It never blocks: what finds no room is counted.
func (t *Transport) enqueue(command func(now float64)) {
	select {
	case t.commands <- command:
	default:
		t.options.Metrics.Add(counterCommandsDropped, 1)
	}
}

// SetDisabled tells the fleet that an operator disabled a server at this router, or enabled
// it again. It waits for room in the queue: the transport waits for nobody.
func (t *Transport) SetDisabled(server routing.ServerID, disabled bool) {
	select {
	case t.commands <- func(now float64) { t.node.SetDisabled(now, server, disabled) }:
	case <-t.done:
	}
}

// Broadcast tells the fleet what this router's change log showed.
func (t *Transport) Broadcast(item gossip.Item) {
	t.enqueue(func(now float64) { t.node.Publish(now, item) })
}

// Reload replaces keys and seeds; the other settings stay.
func (t *Transport) Reload(settings Settings) {
	t.keyring.Store(settings.Keyring)
	t.enqueue(func(float64) { t.node.SetSeeds(settings.Seeds) })
}

// notifyChanges hands over what other routers' items have changed. The bounds of the store
// bound it.
func (t *Transport) notifyChanges(changes []gossip.Change) {
	t.mu.Lock()
	t.changes = append(t.changes, changes...)
	t.mu.Unlock()
	select {
	case t.changesReady <- struct{}{}:
	default:
	}
}

// ChangesReady returns a channel that is sent to when there are changes to take.
func (t *Transport) ChangesReady() <-chan struct{} { return t.changesReady }

// TakeChanges returns what other routers' items have changed since the last call.
func (t *Transport) TakeChanges() []gossip.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.changes
	t.changes = nil
	return changes
}
