// Package membership tracks which routers belong to an installation and which of them have
// failed. It implements SWIM with the Lifeguard extensions as a state machine without I/O.
//
// A router is identified by an ID. The ID survives a restart of the process, unless the router's
// state directory is lost. Updates about an ID are ordered by their revision, not by a clock.
// The upper bits of a revision hold the incarnation of the router's process. The lower bits
// count the suspicions that this process has refuted.
//
// A Machine holds one router's knowledge about the other routers. The caller passes received
// packets and the current time to Step, which returns the packets to send. A Machine is not safe
// for concurrent use: the goroutine that owns it (the transport's or a simulation's) makes all
// calls.
package membership

import (
	"fmt"
	"net/netip"
)

// ID identifies a router. Zero is not a valid ID.
type ID uint64

// String returns the ID in its printed and stored form: 16 hexadecimal digits.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// State is the state of a router as another router sees it. The order of the values matters:
// of two updates with the same revision, the update with the higher state takes precedence.
type State uint8

// The states of a router.
const (
	Alive State = iota
	Suspect
	Failed
	Left
)

var stateNames = [...]string{"alive", "suspect", "failed", "left"}

// String returns the name under which logs, metrics and the admin API show the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Present reports whether a router in this state counts as present: alive or suspect.
func (s State) Present() bool { return s <= Suspect }

// refutationBits is the number of low bits of a revision that count the refutations within
// one incarnation.
const refutationBits = 24

// FirstRevision returns the first revision of an incarnation.
func FirstRevision(incarnation uint64) uint64 { return incarnation << refutationBits }

// Update describes a router at one revision. An update is made by the described router itself, or
// by another router that reports the described router as suspect or failed.
type Update struct {
	ID         ID
	Revision   uint64
	State      State
	ReportedBy ID // Suspect, Failed: router that reported the state; Left: the router itself
	Name       string
	Zone       string
	Version    string
	Addr       netip.AddrPort // address at which the router receives packets
}

// Incarnation returns the incarnation, which is the number of the router's process. The first
// process with the ID has incarnation 1.
func (u *Update) Incarnation() uint64 { return u.Revision >> refutationBits }

// newer reports whether the argument update takes precedence over the argument known. The update
// with the higher revision takes precedence. If the revisions are equal, the update with the higher
// state takes precedence.
func newer(update, known *Update) bool {
	return update.Revision > known.Revision || update.Revision == known.Revision && update.State > known.State
}

// Settings are the parameters of the protocol. All times are in milliseconds.
type Settings struct {
	ProbeInterval          float64 // time between two probes
	ProbeTimeout           float64 // time after which other routers are asked to probe a target that has not answered
	IndirectProbes         int     // number of other routers that are asked to probe the target
	SuspicionMult          float64 // shortest suspicion timeout, divided by ProbeInterval and by log10 of the number of routers
	MinSuspicionTimeout    float64 // lower bound of the shortest suspicion timeout
	MaxSuspicionMult       float64 // longest suspicion timeout, as a multiple of the shortest
	SuspicionConfirmations int     // independent confirmations that reduce the timeout to the shortest
	MaxHealthScore         int     // upper bound of the local health score; 0 disables the score
	GossipInterval         float64 // time between Gossip packets
	GossipFanout           int     // number of routers to which gossip is sent per GossipInterval
	RetransmitMult         float64 // number of transmissions of a broadcast, divided by log10 of the number of routers
	SyncInterval           float64 // longest time between two comparisons of the whole view with another router
	ReconnectInterval      float64 // time between attempts to reach a failed router or a seed address
	ForgetAfter            float64 // time after which a router that failed or left is forgotten
	MaxMembers             int
}

// DefaultSettings returns the defaults for the operators' settings file.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:          200,
		ProbeTimeout:           100,
		IndirectProbes:         3,
		SuspicionMult:          1.2,
		MinSuspicionTimeout:    800,
		MaxSuspicionMult:       6,
		SuspicionConfirmations: 3,
		MaxHealthScore:         8,
		GossipInterval:         100,
		GossipFanout:           3,
		RetransmitMult:         4,
		SyncInterval:           10_000,
		ReconnectInterval:      1000,
		ForgetAfter:            3_600_000,
		MaxMembers:             2048,
	}
}

// BucketCount is the number of buckets in which the views of two routers are compared. A
// router is in the bucket given by its ID modulo BucketCount. An ItemStore chooses the bucket
// of an item. All routers must choose the same bucket for an item.
const BucketCount = 32

// ItemStore holds the items that are gossiped along with the membership updates. Another
// state machine interprets the items.
type ItemStore interface {
	// Checksum returns the checksum of the items in a bucket.
	Checksum(bucket int) uint32
	// ForEach calls visit with each item of a bucket until visit returns false.
	ForEach(bucket int, visit func(item []byte) bool)
	// Receive adds an item that another router sent. It reports whether the item is new and
	// has to be broadcast.
	Receive(now float64, from ID, item []byte) (isNew bool)
}

// Kinds of events. The texts appear in logs and in the names of counters. When a router becomes
// suspect, failed or left, the kind is the name of the new state.
const (
	EventSuspect    = "suspect"
	EventFailed     = "failed"
	EventLeft       = "left"
	EventJoined     = "joined"     // an unknown router was added, or a known router started a new incarnation
	EventBack       = "back"       // a router is alive again
	EventRefuted    = "refuted"    // this router raised its revision to refute a report about its ID
	EventConflict   = "conflict"   // two routers have the same name or the same ID
	EventSuperseded = "superseded" // a later process has this router's ID
	EventStalled    = "woken"      // this router was not running for a while
	EventFull       = "full"       // a router was rejected because of the member limit
)

// Event is a change of the view that is logged and counted.
type Event struct {
	Kind   string
	Update Update
	Cause  string
}

// OutgoingPacket is a packet to send and its destination address.
type OutgoingPacket struct {
	To     netip.AddrPort
	Packet *Packet
}

// Payload is data that another router sent to a state machine of this router other than Machine.
// The sender has been verified.
type Payload struct {
	From        ID
	Incarnation uint64
	Data        []byte
}

// Output is the result of a step. The caller sends its packets, logs its events and delivers its
// payloads.
type Output struct {
	Packets     []OutgoingPacket
	Events      []Event
	WakeAt      float64 // latest time of the next step, ms
	ViewChanged bool
	Payloads    []Payload
}

func (o *Output) addEvent(kind string, update Update, cause string) {
	o.Events = append(o.Events, Event{kind, update, cause})
}
