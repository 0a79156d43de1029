package discovery

import (
	"cmp"
	"slices"
	"time"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// assumedStart is the start time of a server that an operator has enabled. Operators restart a disabled
// server before they enable it, and the endpoint list may not show the restart yet. Until the list has
// another start time, the server counts as started at the time of the call.
type assumedStart struct {
	listed   time.Duration // start time in the endpoint list
	calledAt time.Duration // wall clock time of the call
}

// assumeStarted records, also for a successor, that an operator has enabled a listed server just now.
func (w *Watcher) assumeStarted(id routing.ServerID, listed time.Duration) {
	calledAt := clock.Duration(w.clock.Now() + clock.WallClockStep(w.clock))
	w.assumedStarts[id] = assumedStart{listed: listed, calledAt: calledAt}
	w.writeHandover()
}

// effectiveStart returns the start time of a server that the rest of the program sees.
func (w *Watcher) effectiveStart(id routing.ServerID, listed time.Duration) time.Duration {
	if start, ok := w.assumedStarts[id]; ok && start.listed == listed {
		return start.calledAt
	}
	return listed
}

// dropOutdatedStarts drops the assumed start of each server that is no longer listed, or that is listed
// with another start time.
func (w *Watcher) dropOutdatedStarts() {
	for id, start := range w.assumedStarts {
		if server, listed := w.servers[id]; !listed || server.StartedAt != start.listed {
			delete(w.assumedStarts, id)
		}
	}
}

// handoverStart is the assumed start of a server in the handover file. Its times are in Unix ms.
type handoverStart struct {
	ID       routing.ServerID `json:"id"`
	Started  float64          `json:"started_ms"` // start time in the endpoint list
	CalledAt float64          `json:"enabled_ms"`
}

// handoverStarts returns the assumed starts for the handover file, in ascending order of the servers' ids.
func (w *Watcher) handoverStarts() []handoverStart {
	var starts []handoverStart
	for id, start := range w.assumedStarts {
		starts = append(starts, handoverStart{ID: id, Started: clock.Millis(start.listed), CalledAt: clock.Millis(start.calledAt)})
	}
	slices.SortFunc(starts, func(a, b handoverStart) int { return cmp.Compare(a.ID, b.ID) })
	return starts
}

// loadAssumedStarts loads the assumed starts that the predecessor of this process has left. It must be
// called before any event is applied.
func (w *Watcher) loadAssumedStarts() {
	left, ok := w.readHandover()
	if !ok {
		return
	}
	for _, start := range left.Enabled {
		w.assumedStarts[start.ID] = assumedStart{listed: clock.Duration(start.Started), calledAt: clock.Duration(start.CalledAt)}
	}
}
