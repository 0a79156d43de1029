package platformconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fielderror"
	"garnetline/routing"
)

// WatchEvent is one event of the change log: a change of the endpoint list, or a purge. A
// purge of no object is neither.
type WatchEvent struct {
	Seq        uint64 // number of the event
	ListUpdate bool   // Endpoints holds what changed
	Snapshot   bool   // with ListUpdate: Endpoints holds the whole list
	Endpoints  []Endpoint
	Purge      *Purge
}

// Endpoint is one server of the endpoint list, with its address.
type Endpoint struct {
	routing.Server
	Addr netip.AddrPort
}

// Purge is a purge of an object, or of a group of objects.
type Purge struct {
	Object routing.ObjectID // 0: of Group
	Group  int
	At     float64 // Unix ms
}

// knownEvents are the events of before the router's start. The keys are the platform's.
type knownEvents struct {
	Seq     uint64          `json:"seq"`
	Results []eventDocument `json:"results"`
}

// eventDocument is one event, either of the list or a purge.
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

// objectIDLength is that of an object's id in text, in hex digits.
const objectIDLength = 16

// phasesByHealth are the platform's words for the phases of a server.
var phasesByHealth = map[string]routing.Phase{
	"ready":    routing.Ready,
	"draining": routing.Draining,
	"gone":     routing.Removed,
}

// parseKnownEvents reads the events of before the start, and the number of the last one.
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

// parseEvent reads one event, which stands at a path of the file.
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
		return event, &FieldError{Field: path + ".fleet", Err: errors.New("missing, and no invalidate either")}
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
		return endpoint, fielderror.Errorf(path+".site", "%q is not one of settings.areas", doc.Site)
	}
	kind := indexOf(c.Kinds, doc.Class)
	if kind < 0 {
		return endpoint, fielderror.Errorf(path+".class", "%q is not one of settings.machine_types", doc.Class)
	}
	phase, ok := phasesByHealth[doc.Health]
	if !ok {
		return endpoint, fielderror.Errorf(path+".health", "unknown word %q", doc.Health)
	}
	addr, err := netip.ParseAddrPort(doc.Dial)
	if err != nil {
		return endpoint, &FieldError{Field: path + ".dial", Err: err}
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
	if doc.Bucket != nil {
		return &Purge{Group: *doc.Bucket, At: doc.Time}, nil
	}
	object, err := strconv.ParseUint(doc.Object, 16, 64)
	if err != nil || len(doc.Object) != objectIDLength {
		return nil, fielderror.Errorf(path+".object", "%q is not %d hex digits", doc.Object, objectIDLength)
	}
	return &Purge{Object: routing.ObjectID(object), At: doc.Time}, nil
}

// StartTime converts the start of a server, in Unix milliseconds, for the routing module: 0
// and less stand for long ago.
func StartTime(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return clock.Duration(ms)
}

// indexOf returns the index of a name, or -1 also for an empty one.
func indexOf(names []string, name string) int {
	if name == "" {
		return -1
	}
	return slices.Index(names, name)
}
