// Package member knows which routers of an installation there are and which of them have
// failed: a state machine in the manner of SWIM with Lifeguard's refinements, without
// I/O. It is stepped by packets and by the time; what it wants sent it returns.
//
// A router is known by its seat, a number that outlives its process where its state
// folder does, and within a seat by its incarnation: the number of its life in the upper
// bits, how often it refuted in this life in the lower ones. What is told of a seat is
// ordered by these alone, by no clock.
package membership

import (
	"fmt"
	"net/netip"
)

// ID is a router's seat.
type ID uint64

// String is how a seat stands in text.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// State tells how a router is seen. The order matters: of two words of one incarnation
// the one with the higher state holds.
type State uint8

// The states of a router.
const (
	Alive State = iota
	Suspect
	Failed
	Left
)

var stateNames = [...]string{"alive", "suspect", "failed", "left"}

// String is how a state stands in text.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// refutationBits are the bits of an incarnation that count refutations within one life.
const refutationBits = 24

// FirstRevision is the first one of a life.
func FirstRevision(life uint64) uint64 { return life << refutationBits }

// Update is what is told of a router.
type Update struct {
	ID         ID
	Revision   uint64
	State      State
	ReportedBy ID // who says so, where it is suspect or failed
	Name       string
	Zone       string
	Version    string
	Addr       netip.AddrPort // where it is written to
}

// Incarnation is the number of the process among those that had the seat.
func (w *Update) Incarnation() uint64 { return w.Revision >> refutationBits }

// newer tells whether a holds against b: an older word never does.
func newer(a, b *Update) bool {
	return a.Revision > b.Revision || a.Revision == b.Revision && a.State > b.State
}

// Present tells whether a router in this state is counted as there.
func (s State) Present() bool { return s <= Suspect }

// Settings are the times and numbers of the protocol. Times are milliseconds.
type Settings struct {
	ProbeInterval          float64 // one probe each
	ProbeTimeout           float64 // of a probe, until others are asked to probe too
	IndirectProbes         int     // how many are asked
	SuspicionMult          float64 // shortest suspicion, in periods times the decimal logarithm of the routers
	MinSuspicionTimeout    float64 // and never less
	MaxSuspicionMult       float64 // longest suspicion, in shortest ones
	SuspicionConfirmations int     // independent confirmations that bring it down to the shortest
	MaxHealthScore         int     // most that local health slows a router down by; 0: Lifeguard off
	GossipInterval         float64 // between packets that only pass words on
	GossipFanout           int     // to so many
	RetransmitMult         float64 // a word is passed on so often, times the decimal logarithm of the routers
	SyncInterval           float64 // between exchanges of the whole view
	ReconnectInterval      float64 // between tries at one that failed, or at an address of the file
	ForgetAfter            float64 // one that failed or left is forgotten after it
	MaxMembers             int
}

// DefaultSettings is what the operators' file begins with.
func DefaultSettings() Settings {
	return Settings{ProbeInterval: 200, ProbeTimeout: 100, IndirectProbes: 3, SuspicionMult: 1.2, MinSuspicionTimeout: 800, MaxSuspicionMult: 6, SuspicionConfirmations: 3, MaxHealthScore: 8,
		GossipInterval: 100, GossipFanout: 3, RetransmitMult: 4, SyncInterval: 10_000, ReconnectInterval: 1000, ForgetAfter: 3_600_000, MaxMembers: 2048}
}

// ItemStore is what else spreads with the words of members: items that mean something to
// another machine. A bucket is the first byte of its choice, the same at all routers.
type ItemStore interface {
	Checksum(bucket int) uint32                           // of what it holds in a bucket
	ForEach(bucket int, f func(item []byte) bool)         // all of a bucket
	Receive(now float64, from ID, item []byte) (new bool) // one that was heard; a new one is passed on
}

// BucketCount is how many parts a view is compared in.
const BucketCount = 32

// Kind tells what a packet is for.
type Kind uint8

// The kinds of packets.
const (
	Ping Kind = 1 + iota
	Ack
	Nack         // the one asked to probe has had no answer either, but is itself well
	IndirectPing // asks another to probe
	Gossip       // words alone
	SyncRequest  // for the whole view, with the sums of one's own
	SyncResponse // a part of the answer
	Data         // something for another machine of the receiver
	kindEnd
)

// Packet is one datagram between two routers.
type Packet struct {
	Kind       Kind
	From       Update // the sender of itself
	Sequence   uint64 // the sender's packets so far in this life
	Nonce      uint64 // of a question, or the one that is answered
	Target     ID     // who is meant, or whom PingFor asks about
	TargetAddr netip.AddrPort
	Updates    []Update
	Items      [][]byte
	Payload    []byte   // Carry: what is carried
	Checksums  []uint32 // of the view and the shelf, for each bucket
}

// OutgoingPacket is a packet to an address.
type OutgoingPacket struct {
	To     netip.AddrPort
	Packet *Packet
}

// Event is a change that is worth a line in the log.
type Event struct {
	Kind   string // joined, suspect, failed, left, back, refuted, conflict, superseded, woken, full, stranger
	Update Update
	Cause  string
}

// Output is what a step calls for.
type Output struct {
	Packets     []OutgoingPacket
	Events      []Event
	WakeAt      float64   // when to step next at the latest
	ViewChanged bool      // the view has changed
	Payloads    []Payload // what was carried here
}

// Payload is what a router sent to another machine of this one. Its sender has proven itself.
type Payload struct {
	From        ID
	Incarnation uint64
	Data        []byte
}

func (o *Output) addEvent(what string, w Update, cause string) {
	o.Events = append(o.Events, Event{what, w, cause})
}
