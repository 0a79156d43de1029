package dispatch

import (
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// message is a message that another goroutine puts into the dispatcher's mailbox.
type message interface {
	// apply handles the message on the dispatcher's goroutine.
	apply(d *Dispatcher)
}

type (
	submitMessage     struct{ request *Request }
	disconnectMessage struct{ request *Request }
	drainMessage      struct{ deadline float64 }
	completionMessage struct{ completion *Completion }
	watchMessage      struct{ event platformconfig.WatchEvent }
	reloadMessage     struct{ settings routing.Settings }
	// peerMessage carries an event, caused by another router, for the decision module.
	peerMessage struct{ event routing.Event }
)

func (m submitMessage) apply(d *Dispatcher)     { d.handleRequest(m.request) }
func (m disconnectMessage) apply(d *Dispatcher) { d.handleDisconnect(m.request) }
func (m drainMessage) apply(d *Dispatcher)      { d.handleDrain(m.deadline) }
func (m completionMessage) apply(d *Dispatcher) { d.handleCompletion(m.completion) }
func (m watchMessage) apply(d *Dispatcher)      { d.applyWatchEvent(m.event) }
func (m reloadMessage) apply(d *Dispatcher)     { d.applySettings(m.settings) }
func (m peerMessage) apply(d *Dispatcher)       { d.notifyRouter(m.event) }

// enqueue waits for room in the mailbox and puts a message into it. It returns false if the
// dispatcher has stopped.
func (d *Dispatcher) enqueue(m message) bool {
	select {
	case d.mailbox <- m:
		return true
	case <-d.stopped:
		return false
	}
}

// offer puts a message into the mailbox if there is room in it. Otherwise, offer drops the message.
func (d *Dispatcher) offer(m message) {
	select {
	case d.mailbox <- m:
	default:
	}
}

// applySettings replaces the settings. If the module rejects the new settings, applySettings keeps
// the current settings.
func (d *Dispatcher) applySettings(settings routing.Settings) {
	if err := d.router.UpdateSettings(settings); err == nil {
		d.settings = settings
	}
}

// handleDrain makes the dispatcher answer all requests by the deadline: the requests that are open
// now, and those that are submitted later.
func (d *Dispatcher) handleDrain(deadline float64) {
	d.drainBy = deadline
	for _, request := range d.openRequests {
		d.scheduleDeadline(min(deadline, request.deadlineTimer.at), request)
	}
}
