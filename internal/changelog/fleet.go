package changelog

import (
	"context"
	"maps"
	"slices"
	"time"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/config"
	"garnetline/internal/fleet/words"
)

const (
	deafAfter = 1500.0 // ms without a frame after which the log counts as cut off
	// slack is how much older than the latest frame a neighbour's word may be and still
	// count as one that this router's log did not tell: frames and words cross.
	slack = 2000.0
	// catchUp is how long a log that is back has for what was missed, before what the
	// neighbours told meanwhile is dropped: from then on its own word rules.
	catchUp = 500.0
	ahead   = 60_000.0 // ms; a purge of a later moment is none
)

// Neighbours are the other routers, as far as the list is concerned. Only this log says
// that a box is usable; word of others takes out.
type Neighbours interface {
	Switch(box decide.ServerID, out bool) // staff called this router
	Heard(w words.Word)                   // this router's log told it
	Nudge() <-chan struct{}               // there are changes
	Changes() []words.Change              // what others told since the last call
}

// told is a drain that a neighbour told.
type told struct {
	started time.Duration // start of the box that it is of
	at      float64       // when it was heard
}

// neighbours is what the log knows from the others. It is all empty without a fleet.
type neighbours struct {
	Neighbours
	nudge   <-chan struct{}
	told    map[decide.ServerID]told
	drained map[decide.ServerID]time.Duration // of those, what is followed
	heard   float64                           // the latest frame of the own log
	since   float64                           // from when on there was no gap between frames
}

// Join has the log tell the neighbours, and follow what they tell while it is cut off
// itself. It is called before Run.
func (l *Log) Join(n Neighbours) {
	now := l.clock.Now()
	l.fleet = neighbours{Neighbours: n, nudge: n.Nudge(), told: map[decide.ServerID]told{},
		drained: map[decide.ServerID]time.Duration{}, heard: now, since: now}
}

// spread tells the neighbours what the own log told: what takes out, and nothing else.
func (l *Log) spread(ev config.Event) {
	if l.fleet.Neighbours == nil {
		return
	}
	if !ev.Whole { // a whole list is what all are told at their start
		for _, h := range ev.Hosts {
			if h.Phase != decide.Ready {
				l.fleet.Heard(words.Word{Kind: words.Drain, Box: h.ID, Started: clock.Millis(h.Started)})
			}
		}
	}
	if p := ev.Purge; p != nil {
		l.fleet.Heard(words.Word{Kind: words.Purge, Object: p.Object, Group: p.Group, At: p.At})
	}
}

// tellBan tells the neighbours of a call of staff.
func (l *Log) tellBan(id decide.ServerID, out bool) {
	if l.fleet.Neighbours != nil {
		l.fleet.Switch(id, out)
	}
}

// frame notes that the own log spoke.
func (l *Log) frame() {
	if l.fleet.Neighbours == nil {
		return
	}
	now := l.clock.Now()
	if now-l.fleet.heard > deafAfter {
		l.fleet.since = now
	}
	l.fleet.heard = now
}

// neighbour takes what the others told since the last time.
func (l *Log) neighbour() {
	now := l.clock.Now()
	for _, c := range l.fleet.Changes() {
		switch c.Kind {
		case words.Ban:
			if _, out := l.banned[c.Box]; out != c.Out {
				if err := l.marks.Set(c.Box, c.Out); err != nil {
					l.count.Add("marks_unwritten", 1)
				}
				l.count.Add("fleet_bans_taken", 1)
				l.ban(c.Box, c.Out)
			}
		case words.Drain:
			if t, known := l.fleet.told[c.Box]; !known || clock.Duration(c.Started) >= t.started {
				l.fleet.told[c.Box] = told{clock.Duration(c.Started), now}
			}
		case words.Purge:
			if done := clock.Millis(l.conf.Settings.PurgeDone); c.At > now-done && c.At < now+ahead {
				l.count.Add("fleet_purges_taken", 1)
				l.publish(config.Event{Seq: l.seq, Purge: &config.Purge{Object: c.Object, Group: c.Group, At: c.At}})
			}
		}
	}
	l.deaf()
}

// deaf follows the neighbours' drains while the own log is cut off, and drops them once
// it is back.
func (l *Log) deaf() {
	f := &l.fleet
	if f.Neighbours == nil {
		return
	}
	now := l.clock.Now()
	if now-f.heard <= deafAfter {
		if now-f.since < catchUp {
			return
		}
		for id, t := range f.told {
			if t.at < f.heard-slack {
				delete(f.told, id)
			}
		}
		for id := range f.drained {
			delete(f.drained, id)
			l.again(id)
		}
		return
	}
	for id, t := range f.told {
		h, listed := l.hosts[id]
		if _, done := f.drained[id]; done || !listed || h.Started > t.started || t.at < f.heard-slack {
			continue
		}
		f.drained[id] = t.started
		l.count.Add("fleet_drains_taken", 1)
		l.again(id)
	}
}

// again tells a listed box as it is seen now.
func (l *Log) again(id decide.ServerID) {
	if h, listed := l.hosts[id]; listed {
		l.publish(config.Event{Seq: l.seq, Fleet: true, Hosts: []config.Host{l.seen(h)}})
	}
}

// Boxes returns the listed servers of a kind and zone that are ready, as of the latest
// event. It may be called from any goroutine; without neighbours there are none.
func (l *Log) Boxes(zone, kind int) (boxes []config.Host) {
	if all := l.boxes.Load(); all != nil {
		for _, h := range *all {
			if h.Zone == zone && h.Kind == kind {
				boxes = append(boxes, h)
			}
		}
	}
	return boxes
}

// show publishes the ready servers, for Boxes.
func (l *Log) show(g *decide.Guard) {
	if l.fleet.Neighbours == nil {
		return
	}
	var all []config.Host
	for id, h := range l.hosts {
		if g.Ready[id] {
			all = append(all, h)
		}
	}
	l.boxes.Store(&all)
}

// Follow takes a cache out, or back, as the register has it. That it is out is not told to
// the neighbours, who read the register too.
func (l *Log) Follow(ctx context.Context, id decide.ServerID, out bool) error {
	return l.call(ctx, order{id: id, out: out, quiet: out, err: make(chan error, 1)})
}

// Out returns what staff took out, as of now. It may be called from any goroutine;
// without neighbours there is nothing.
func (l *Log) Out() []decide.ServerID {
	if p := l.out.Load(); p != nil {
		return *p
	}
	return nil
}

// showOut publishes what is out, for Out.
func (l *Log) showOut() {
	if l.fleet.Neighbours != nil {
		out := slices.Sorted(maps.Keys(l.banned))
		l.out.Store(&out)
	}
}

// Deaf tells whether the log is cut off, by the latest guard. It may be called from any
// goroutine.
func (l *Log) Deaf(now float64) bool {
	return clock.Duration(now) > l.guard.Load().Heard+clock.Duration(deafAfter)
}
