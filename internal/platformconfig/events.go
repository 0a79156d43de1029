package platformconfig

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fielderror"
	"garnetline/routing"
)

// WatchEvent is one event of the change log: a change of the endpoint list or a purge. An
// event with ListUpdate false and Purge nil changes nothing. A purge of object ID 0 from the
// change log becomes such an event, because no object has the ID 0.
type WatchEvent struct {
	Seq        uint64 // sequence number of the event
	ListUpdate bool   // the event changes the endpoint list; Endpoints holds the changed servers
	Snapshot   bool   // set only with ListUpdate: Endpoints holds the whole list
	Endpoints  []Endpoint
	Purge      *Purge
}

// Endpoint is one server of the endpoint list and its address.
type Endpoint struct {
	routing.Server
	Addr netip.AddrPort
}

// Purge is a purge of an object, or of a group of objects.
type Purge struct {
	Object routing.ObjectID // 0 if the purge applies to Group
	Group  int
	At     float64 // time of the purge, Unix ms
}

// knownEvents are the events before the router's start. The platform defines the keys.
type knownEvents struct {
	Seq     uint64          `json:"seq"`
	Results []eventDocument `json:"results"`
}

// eventDocument is one event: Fleet is set for a change of the endpoint list, Invalidate for a purge.
type eventDocument struct {
	Seq        uint64              `json:"seq"`
	Fleet      *listUpdateDocument `json:"fleet"`
	Invalidate *purgeDocument      `json:"invalidate"`
}

type listUpdateDocument struct {
	Snapshot bool               `json:"whole"`
	Hosts    []endpointDocument `json:"hosts"`
}

type endpointDocument struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

type purgeDocument struct {
	Object string  `json:"object"`
	Bucket *int    `json:"bucket"`
	Time   float64 `json:"time"`
}

// MaxUnixMillis is the latest time of a start or a purge, in Unix milliseconds, that fits into a
// time.Duration.
const MaxUnixMillis = math.MaxInt64 / 1_000_000

// objectIDLength is the length of an object ID in text, in hexadecimal digits.
const objectIDLength = 16

// phasesByHealth maps the platform's health values to the phases of a server.
var phasesByHealth = map[string]routing.Phase{
	"ready":    routing.Ready,
	"draining": routing.Draining,
	"gone":     routing.Removed,
}

// parseKnownEvents appends the events to KnownEvents and raises KnownSeq to the largest of their
// sequence numbers.
func (c *Config) parseKnownEvents(known knownEvents) error {
	for i, result := range known.Results {
		event, err := c.parseEvent(result, fmt.Sprintf("known.results[%d]", i))
		if err != nil {
			return err
		}
		c.KnownEvents = append(c.KnownEvents, event)
		c.KnownSeq = max(c.KnownSeq, event.Seq)
	}
	return nil
}

// parseEvent converts one event. path is the position of the event in the file; errors begin with
// it.
func (c *Config) parseEvent(doc eventDocument, path string) (WatchEvent, error) {
	event := WatchEvent{Seq: doc.Seq}
	switch {
	case doc.Fleet != nil:
		event.ListUpdate = true
		event.Snapshot = doc.Fleet.Snapshot
		for i, host := range doc.Fleet.Hosts {
			endpoint, err := c.parseEndpoint(host, fmt.Sprintf("%s.fleet.hosts[%d]", path, i))
			if err != nil {
				return event, err
			}
			event.Endpoints = append(event.Endpoints, endpoint)
		}
	case doc.Invalidate != nil:
		purge, err := parsePurge(doc.Invalidate, path+".invalidate")
		if err != nil {
			return event, err
		}
		event.Purge = purge
	default:
		return event, &FieldError{Field: path + ".fleet", Err: errors.New("expected fleet or invalidate, got neither")}
	}
	return event, nil
}

func (c *Config) parseEndpoint(doc endpointDocument, path string) (Endpoint, error) {
	var endpoint Endpoint
	id, err := routing.ParseServerID(doc.Host)
	if err != nil {
		return endpoint, &FieldError{Field: path + ".host", Err: err}
	}
	zone := indexOf(c.Zones, doc.Site)
	if zone < 0 {
		return endpoint, fielderror.Errorf(path+".site", "unknown value %q, expected one of settings.areas %q", doc.Site, c.Zones)
	}
	kind := indexOf(c.Kinds, doc.Class)
	if kind < 0 {
		return endpoint, fielderror.Errorf(path+".class", "unknown value %q, expected one of settings.machine_types %q", doc.Class, c.Kinds)
	}
	phase, ok := phasesByHealth[doc.Health]
	if !ok {
		return endpoint, fielderror.Errorf(path+".health", "unknown value %q, expected ready, draining or gone", doc.Health)
	}
	addr, err := netip.ParseAddrPort(doc.Dial)
	if err != nil {
		return endpoint, &FieldError{Field: path + ".dial", Err: err}
	}
	if doc.Born > MaxUnixMillis {
		return endpoint, fielderror.Errorf(path+".born_ms", "expected at most %d, got %v", int64(MaxUnixMillis), doc.Born)
	}
	server := routing.Server{
		ID:        id,
		Zone:      zone,
		Kind:      kind,
		Cell:      doc.Block,
		Phase:     phase,
		Weight:    doc.Share,
		StartedAt: StartTime(doc.Born),
	}
	return Endpoint{Server: server, Addr: addr}, nil
}

func parsePurge(doc *purgeDocument, path string) (*Purge, error) {
	if doc.Time > MaxUnixMillis {
		return nil, fielderror.Errorf(path+".time", "expected at most %d, got %v", int64(MaxUnixMillis), doc.Time)
	}
	if doc.Bucket != nil {
		return &Purge{Group: *doc.Bucket, At: doc.Time}, nil
	}
	object, err := strconv.ParseUint(doc.Object, 16, 64)
	if err != nil || len(doc.Object) != objectIDLength {
		return nil, fielderror.Errorf(path+".object", "expected %d hexadecimal digits, got %q", objectIDLength, doc.Object)
	}
	return &Purge{Object: routing.ObjectID(object), At: doc.Time}, nil
}

// StartTime converts the start time of a server, in Unix milliseconds, to the time since the Unix
// epoch, which package routing uses. It returns 0, which means a start long ago, if unixMillis is 0 or
// negative.
func StartTime(unixMillis float64) time.Duration {
	if unixMillis <= 0 {
		return 0
	}
	return clock.Duration(unixMillis)
}

// indexOf returns the index of name in names, or -1 if name is empty or not in names.
func indexOf(names []string, name string) int {
	if name == "" {
		return -1
	}
	return slices.Index(names, name)
}
