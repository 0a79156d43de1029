package discovery

import (
	"cmp"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"garnetline/internal/atomicfile"
	"garnetline/internal/clock"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// handoverFile is the name of a file in the state directory. In it, a process leaves what it has heard
// from the change log and from operators, for the process that replaces it in an upgrade. The successor
// starts with the known events of the same configuration, which may be old. While the change log is cut
// off, it would otherwise send requests to servers that its predecessor knew to be draining. It would also
// send too many requests to servers that operators have restarted and enabled.
//
// Both processes write the file when they receive an event, and when a server is enabled. A reader may find a file that is being written; it ignores what it cannot decode and reads the file again.
const handoverFile = "garnetline-watch.json"

// handover is the content of the file. Like a report of a peer, it can only exclude servers and copies, and
// limit the requests to servers: only the change log makes a server usable.
type handover struct {
	Unavailable []handoverServer `json:"unavailable"`
	Purges      []handoverPurge  `json:"purges"`
	Enabled     []handoverStart  `json:"enabled,omitempty"`
}

// handoverServer is a start of a server that the known events of the configuration list as ready, and
// that must not be used any more: the server is draining or removed, or it was started again.
type handoverServer struct {
	ID      routing.ServerID `json:"id"`
	Started float64          `json:"started_ms"`
}

// handoverPurge is a purge from before which copies may still exist.
type handoverPurge struct {
	Object   routing.ObjectID `json:"object"` // 0: the whole group
	Group    int              `json:"group"`
	PurgedAt float64          `json:"purged_ms"` // wall clock time, in whole milliseconds as the change log tells it
}

// handoverPath returns the path of the file, or "" if no process can replace this one: it then holds no
// inherited listening socket, or has no state directory.
func handoverPath(config *platformconfig.Config) string {
	if config.ListenFD == 0 || config.StateDir == "" {
		return ""
	}
	return filepath.Join(config.StateDir, handoverFile)
}

// writeHandover writes the file.
func (w *Watcher) writeHandover() {
	path := handoverPath(w.config)
	if path == "" {
		return
	}
	text, err := json.Marshal(handover{Unavailable: w.unavailableSinceKnown(), Purges: w.recentPurges(), Enabled: w.handoverStarts()})
	if err == nil {
		err = atomicfile.Replace(path, text)
	}
	if err != nil {
		w.counters.Add("handovers_unwritten", 1)
	}
}

// unavailableSinceKnown compares the endpoint list with the known events of the configuration. It returns
// the servers that a process with these events alone would wrongly use, in ascending order of their ids.
func (w *Watcher) unavailableSinceKnown() []handoverServer {
	servers := []handoverServer{}
	for id, started := range w.knownReady {
		current, listed := w.servers[id]
		if !listed || current.Phase != routing.Ready || current.StartedAt > started {
			servers = append(servers, handoverServer{ID: id, Started: clock.Millis(started)})
		}
	}
	slices.SortFunc(servers, func(a, b handoverServer) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// knownReady returns the servers that are ready after the known events of a configuration, with their start
// times.
func knownReady(config *platformconfig.Config) map[routing.ServerID]time.Duration {
	servers := map[routing.ServerID]platformconfig.Endpoint{}
	for _, event := range config.KnownEvents {
		updateServers(servers, event)
	}
	ready := map[routing.ServerID]time.Duration{}
	for id, endpoint := range servers {
		if endpoint.Phase == routing.Ready {
			ready[id] = endpoint.StartedAt
		}
	}
	return ready
}

// recentPurges returns the purges from before which copies may still exist.
func (w *Watcher) recentPurges() []handoverPurge {
	purges := []handoverPurge{}
	step := clock.WallClockStep(w.clock)
	for _, purge := range w.guard.Load().Purges {
		purgedAt := math.Round(clock.Millis(purge.At) + step)
		purges = append(purges, handoverPurge{Object: purge.Object, Group: purge.Group, PurgedAt: purgedAt})
	}
	return purges
}

// readHandover reads the file. It returns false if there is no predecessor, if the predecessor has written
// nothing, or if the file cannot be decoded.
func (w *Watcher) readHandover() (handover, bool) {
	path := handoverPath(w.config)
	if path == "" {
		return handover{}, false
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return handover{}, false
	}
	var left handover
	if err := json.Unmarshal(text, &left); err != nil {
		w.counters.Add("handovers_unread", 1)
		return handover{}, false
	}
	return left, true
}

// followHandover applies what the predecessor of this process has heard from the change log, while this
// process does not hear the change log itself.
func (w *Watcher) followHandover() {
	now := w.clock.Now()
	if !w.Stale(now) {
		return
	}
	left, ok := w.readHandover()
	if !ok {
		return
	}
	for _, server := range left.Unavailable {
		w.recordReportedDrain(now, predecessor, gossip.Change{Item: gossip.Item{Server: server.ID, StartedAt: server.Started}})
	}
	known := w.recentPurges()
	for _, purge := range left.Purges {
		if !slices.Contains(known, purge) {
			w.applyReportedPurge(now, predecessor, gossip.Change{Item: gossip.Item{Object: purge.Object, Group: purge.Group, PurgedAt: purge.PurgedAt}})
		}
	}
}
