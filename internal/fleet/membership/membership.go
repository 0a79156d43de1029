// Package membership tracks which routers of an installation there are and which of them
// have failed: SWIM with Lifeguard's refinements, as a state machine without I/O.
//
// A router is identified by an ID that outlives its process where its state directory does.
// What is said of an ID is ordered by a revision alone, by no clock: the incarnation of the
// router's process in the upper bits, how often that process refuted a suspicion in the
// lower ones.
//
// A Machine owns what one router knows of the others. It is stepped by packets and by the
// time, and returns what is to be sent. It is not safe for concurrent use: the goroutine
// that owns it (of the transport, or of a simulation) makes all calls.
package membership

import (
	"fmt"
	"net/netip"
)

// ID identifies a router. Zero is no router.
type ID uint64

// String returns the ID as it is printed and stored: 16 hexadecimal digits.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// State tells how a router is seen. The order matters: of two updates of one revision, the
// one with the higher state takes precedence.
type State uint8

// The states of a router.
const (
	Alive State = iota
	Suspect
	Failed
	Left
)

var stateNames = [...]string{"alive", "suspect", "failed", "left"}

// String returns the name of the state as logs, metrics and the admin API show it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Present reports whether a router in this state counts as present: alive or suspect.
func (s State) Present() bool { return s <= Suspect }

// refutationBits are the bits of a revision that count refutations within one incarnation.
const refutationBits = 24

// FirstRevision returns the revision with which an incarnation begins.
func FirstRevision(incarnation uint64) uint64 { return incarnation << refutationBits }

// Update is a statement about a router: its own, or that of another that suspects it.
type Update struct {
	ID         ID
	Revision   uint64
	State      State
	ReportedBy ID // who says so, where it is suspect or failed
	Name       string
	Zone       string
	Version    string
	Addr       netip.AddrPort // where packets for it are sent
}

// Incarnation returns the number of the process among those that had the ID, from 1 on.
func (u *Update) Incarnation() uint64 { return u.Revision >> refutationBits }

// newer reports whether update takes precedence over known. An older one never does.
func newer(update, known *Update) bool {
	return update.Revision > known.Revision || update.Revision == known.Revision && update.State > known.State
}

// Settings are the times and counts of the protocol. Times are milliseconds.
type Settings struct {
	ProbeInterval          float64 // between two probes
	ProbeTimeout           float64 // until other routers are asked to probe too
	IndirectProbes         int     // how many are asked
	SuspicionMult          float64 // shortest suspicion, in probe intervals times the decimal logarithm of the routers
	MinSuspicionTimeout    float64 // and never less
	MaxSuspicionMult       float64 // longest suspicion, in shortest ones
	SuspicionConfirmations int     // independent ones that bring a suspicion down to the shortest
	MaxHealthScore         int     // bound of the local health score; 0 switches Lifeguard off
	GossipInterval         float64 // between packets that only carry broadcasts
	GossipFanout           int     // routers that get each
	RetransmitMult         float64 // a broadcast is sent this often, times the decimal logarithm of the routers
	SyncInterval           float64 // between exchanges of the whole view
	ReconnectInterval      float64 // between attempts at a failed router, or at an address of the settings
	ForgetAfter            float64 // a router that failed or left is forgotten after it
	MaxMembers             int
}

// DefaultSettings returns the settings that the operators' file begins with.
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

// BucketCount is the number of parts in which views are compared. A router is in the bucket
// of its ID modulo it; a store chooses the bucket of an item, the same at all routers.
const BucketCount = 32

// ItemStore holds the items that spread beside the updates of members and mean something to
// another state machine.
type ItemStore interface {
	// Checksum returns the checksum of the items in a bucket.
	Checksum(bucket int) uint32
	// ForEach calls visit with the items of a bucket until it returns false.
	ForEach(bucket int, visit func(item []byte) bool)
	// Receive takes an item of another router. It reports whether the item is new, and so
	// to be broadcast.
	Receive(now float64, from ID, item []byte) (isNew bool)
}

// Kinds of events, by which they are logged and counted. A router that is no longer alive
// has the name of its state as the kind.
const (
	EventSuspect    = "suspect"
	EventFailed     = "failed"
	EventLeft       = "left"
	EventJoined     = "joined"     // not known before, or a new incarnation
	EventBack       = "back"       // alive again
	EventRefuted    = "refuted"    // this router was held for suspect or failed
	EventConflict   = "conflict"   // two routers with one name or one ID
	EventSuperseded = "superseded" // a later process has this router's ID
	EventStalled    = "woken"      // this router did nothing for a while
	EventFull       = "full"       // the member limit is reached
)

// Event is a change of the view that is logged and counted.
type Event struct {
	Kind   string
	Update Update
	Cause  string
}

// OutgoingPacket is a packet with the address that it is sent to.
type OutgoingPacket struct {
	To     netip.AddrPort
	Packet *Packet
}

// Payload is what a router sent to another state machine of this one. Its sender has been
// verified.
type Payload struct {
	From        ID
	Incarnation uint64
	Data        []byte
}

// Output is what a step calls for.
type Output struct {
	Packets     []OutgoingPacket
	Events      []Event
	WakeAt      float64 // when to step next at the latest
	ViewChanged bool
	Payloads    []Payload
}

func (o *Output) addEvent(kind string, update Update, cause string) {
	o.Events = append(o.Events, Event{kind, update, cause})
}
