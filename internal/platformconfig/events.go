package platformconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// Endpoint is one entry of the list of caches, with its address.
type Endpoint struct {
	routing.Server
	Addr netip.AddrPort
}

// Purge is a purge with the moment at which it was made.
type Purge struct {
	Object routing.ObjectID // 0: a whole group
	Group  int
	At     float64 // Unix ms
}

// WatchEvent is one event of the change log: a change of the list or a purge.
type WatchEvent struct {
	Seq        uint64
	ListUpdate bool // Hosts holds what changed
	Snapshot   bool // Endpoints holds the whole list
	Endpoints  []Endpoint
	Purge      *Purge
}

func (c *Config) parseEvent(seq uint64, fl *listUpdate, inv *purge) (WatchEvent, error) {
	ev := WatchEvent{Seq: seq}
	switch {
	case fl != nil:
		ev.ListUpdate, ev.Snapshot = true, fl.Snapshot
		for i, h := range fl.Hosts {
			at := fmt.Sprintf("fleet.hosts[%d]", i)
			id, err := routing.ParseServerID(h.Host)
			if err != nil {
				return ev, fmt.Errorf("%s.host: %w", at, err)
			}
			s := routing.Server{ID: id, Cell: h.Block, Weight: h.Share, StartedAt: StartTime(h.Born)}
			if s.Zone = indexOf(c.Zones, h.Site); s.Zone < 0 {
				return ev, fmt.Errorf("%s.site: %q is not one of settings.areas", at, h.Site)
			}
			if s.Kind = indexOf(c.Kinds, h.Class); s.Kind < 0 {
				return ev, fmt.Errorf("%s.class: %q is not one of settings.machine_types", at, h.Class)
			}
			switch h.Health {
			case "ready":
				s.Phase = routing.Ready
			case "draining":
				s.Phase = routing.Draining
			case "gone":
				s.Phase = routing.Removed
			default:
				return ev, fmt.Errorf("%s.health: unknown word %q", at, h.Health)
			}
			dial, err := netip.ParseAddrPort(h.Dial)
			if err != nil {
				return ev, fmt.Errorf("%s.dial: %w", at, err)
			}
			ev.Endpoints = append(ev.Endpoints, Endpoint{s, dial})
		}
	case inv != nil:
		p := Purge{At: inv.Time}
		if inv.Bucket != nil {
			p.Group = *inv.Bucket
		} else {
			n, err := strconv.ParseUint(inv.Object, 16, 64)
			if err != nil || len(inv.Object) != 16 {
				return ev, fmt.Errorf("invalidate.object: %q is not 16 hex digits", inv.Object)
			}
			p.Object = routing.ObjectID(n)
		}
		ev.Purge = &p
	default:
		return ev, errors.New("fleet: missing, and no invalidate either")
	}
	return ev, nil
}

// StartTime converts the time of a late start for the module: 0 is long ago.
func StartTime(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return clock.Duration(ms)
}

func indexOf(words []string, w string) int {
	for i, x := range words {
		if x == w && w != "" {
			return i
		}
	}
	return -1
}
