package discovery

import "errors"

// staleLogDelay is the time without a frame after which the log says that the watch is stale, in ms. A
// router has heard nothing when it starts, and waits that long for the first frame.
const staleLogDelay = 1500.0

// StaleReason tells why no frame arrives from the change log.
type StaleReason string

// The reasons for which a watch is stale.
const (
	ReasonUnreachable    StaleReason = "unreachable"     // no connection can be established
	ReasonUnanswered     StaleReason = "unanswered"      // connections are established, and bring no frame
	ReasonSilent         StaleReason = "silent"          // the connection that has brought frames brings no more
	ReasonClosed         StaleReason = "closed"          // the change log closes the connections
	ReasonMalformedFrame StaleReason = "malformed_frame" // the change log sends frames that cannot be decoded
	ReasonMissingEvents  StaleReason = "missing_events"  // the change log names events that it does not send
)

// StaleReasons lists all reasons.
var StaleReasons = []StaleReason{ReasonUnreachable, ReasonUnanswered, ReasonSilent, ReasonClosed, ReasonMalformedFrame, ReasonMissingEvents}

// Staleness tells since when and why a watch is stale.
type Staleness struct {
	Since  float64 // time of the latest frame, or of the start if there was none, in Unix ms
	Reason StaleReason
}

// staleWatch is what the goroutine of Run knows about a watch that is stale.
type staleWatch struct {
	startedAt float64     // time of the start of Run, in Unix ms
	lastEnd   StaleReason // reason of the latest end of a connection since the latest frame; "": none
	logged    bool        // the log says that the watch is stale
}

// Staleness returns since when and why the watch is stale at the time now, in Unix milliseconds. It returns
// false if the watch is current.
func (w *Watcher) Staleness(now float64) (Staleness, bool) {
	if !w.Stale(now) {
		return Staleness{}, false
	}
	if published := w.staleness.Load(); published != nil {
		return *published, true
	}
	return Staleness{Since: now, Reason: ReasonUnreachable}, true // Run has not started
}

// recordConnectionEnd records why a connection ended. established tells whether it had been established.
func (w *Watcher) recordConnectionEnd(err error, established bool) {
	switch {
	case errors.Is(err, ErrMalformedFrame):
		w.stale.lastEnd = ReasonMalformedFrame
	case errors.Is(err, ErrMissingEvents):
		w.stale.lastEnd = ReasonMissingEvents
	case established:
		w.stale.lastEnd = ReasonClosed
	default:
		w.stale.lastEnd = ReasonUnreachable
	}
}

// updateStaleness publishes since when and why the watch is or would be stale, and logs when it becomes stale
// and when it is current again.
func (w *Watcher) updateStaleness() {
	now := w.clock.Now()
	current := Staleness{Since: max(w.stale.startedAt, w.lastFrameAt()), Reason: w.staleReason()}
	previous := w.staleness.Swap(&current)
	stale := w.Stale(now) && now-current.Since > staleLogDelay
	switch {
	case stale && !w.stale.logged:
		w.log.Warn().Str("reason", string(current.Reason)).Float64("silent_ms", now-current.Since).
			Int("connections", w.connections.count()).Msg("change log not heard, the watch is stale")
	case !stale && w.stale.logged:
		w.log.Info().Str("reason", string(previous.Reason)).Float64("silent_ms", now-previous.Since).
			Msg("change log heard again")
	}
	w.stale.logged = stale
}

// staleReason returns why no frame arrives now.
func (w *Watcher) staleReason() StaleReason {
	switch {
	case w.stale.lastEnd == ReasonMalformedFrame, w.stale.lastEnd == ReasonMissingEvents:
		return w.stale.lastEnd
	case w.connections.anyReceivedFrame():
		return ReasonSilent
	case w.connections.anyEstablished():
		return ReasonUnanswered
	case w.stale.lastEnd != "":
		return w.stale.lastEnd
	}
	return ReasonUnreachable
}
