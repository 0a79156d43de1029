package transport

import (
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// SetReceiver sets the function that is called with the messages of other routers' state
// machines. SetReceiver must be called before Run.
func (t *Transport) SetReceiver(receiver Receiver) { t.options.Receiver = receiver }

// Send sends a message to a state machine of another router. Send never blocks; the message may
// be lost.
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

// enqueue queues a command for Run to call. It never blocks: if the queue is full, it drops and
// counts the command.
func (t *Transport) enqueue(command func(now float64)) {
	select {
	case t.commands <- command:
	default:
		t.options.Metrics.Add(counterCommandsDropped, 1)
	}
}

// SetDisabled tells the fleet that an operator disabled or enabled a server at this router. It
// blocks while the queue is full, so that no change is dropped. The wait cannot deadlock: Run
// waits for no other goroutine.
func (t *Transport) SetDisabled(server routing.ServerID, disabled bool) {
	select {
	case t.commands <- func(now float64) { t.node.SetDisabled(now, server, disabled) }:
	case <-t.done:
	}
}

// Broadcast publishes an item that this router read from its change log.
func (t *Transport) Broadcast(item gossip.Item) {
	t.enqueue(func(now float64) { t.node.Publish(now, item) })
}

// Reload replaces the keys and the seeds. The other settings keep their values from the start.
func (t *Transport) Reload(settings Settings) {
	t.keyring.Store(settings.Keyring)
	t.enqueue(func(float64) { t.node.SetSeeds(settings.Seeds) })
}

// notifyChanges queues changes for TakeChanges. Items of other routers caused these changes. The
// limits of the gossip store also limit the queue.
func (t *Transport) notifyChanges(changes []gossip.Change) {
	t.mu.Lock()
	t.changes = append(t.changes, changes...)
	t.mu.Unlock()
	select {
	case t.changesReady <- struct{}{}:
	default:
	}
}

// ChangesReady returns a channel that receives a value when TakeChanges has changes to return.
func (t *Transport) ChangesReady() <-chan struct{} { return t.changesReady }

// TakeChanges returns the changes that items of other routers caused since the last call.
func (t *Transport) TakeChanges() []gossip.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.changes
	t.changes = nil
	return changes
}
