// Package member knows which routers of an installation there are and which of them have
// failed: a state machine in the manner of SWIM with Lifeguard's refinements, without
// I/O. It is stepped by packets and by the time; what it wants sent it returns.
//
// A router is known by its seat, a number that outlives its process where its state
// folder does, and within a seat by its incarnation: the number of its life in the upper
// bits, how often it refuted in this life in the lower ones. What is told of a seat is
// ordered by these alone, by no clock.
package member

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

var states = [...]string{"alive", "suspect", "failed", "left"}

// String is how a state stands in text.
func (s State) String() string {
	if int(s) < len(states) {
		return states[s]
	}
	return "unknown"
}

// lifeBits are the bits of an incarnation that count refutations within one life.
const lifeBits = 24

// Incarnation is the first one of a life.
func Incarnation(life uint64) uint64 { return life << lifeBits }

// Word is what is told of a router.
type Word struct {
	ID      ID
	Inc     uint64
	State   State
	By      ID // who says so, where it is suspect or failed
	Name    string
	Zone    string
	Version string
	Addr    netip.AddrPort // where it is written to
}

// Life is the number of the process among those that had the seat.
func (w *Word) Life() uint64 { return w.Inc >> lifeBits }

// newer tells whether a holds against b: an older word never does.
func newer(a, b *Word) bool { return a.Inc > b.Inc || a.Inc == b.Inc && a.State > b.State }

// There tells whether a router in this state is counted as there.
func (s State) There() bool { return s <= Suspect }

// Settings are the times and numbers of the protocol. Times are milliseconds.
type Settings struct {
	Period     float64 // one probe each
	Timeout    float64 // of a probe, until others are asked to probe too
	Indirect   int     // how many are asked
	Alpha      float64 // shortest suspicion, in periods times the decimal logarithm of the routers
	Shortest   float64 // and never less
	Beta       float64 // longest suspicion, in shortest ones
	Confirm    int     // independent confirmations that bring it down to the shortest
	Health     int     // most that local health slows a router down by; 0: Lifeguard off
	Gossip     float64 // between packets that only pass words on
	Fanout     int     // to so many
	Repeats    float64 // a word is passed on so often, times the decimal logarithm of the routers
	Sync       float64 // between exchanges of the whole view
	Reach      float64 // between tries at one that failed, or at an address of the file
	Forget     float64 // one that failed or left is forgotten after it
	MaxMembers int
}

// Default is what the operators' file begins with.
func Default() Settings {
	return Settings{Period: 200, Timeout: 100, Indirect: 3, Alpha: 1.2, Shortest: 800, Beta: 6, Confirm: 3, Health: 8,
		Gossip: 100, Fanout: 3, Repeats: 4, Sync: 10_000, Reach: 1000, Forget: 3_600_000, MaxMembers: 2048}
}

// Shelf is what else spreads with the words of members: items that mean something to
// another machine. A bucket is the first byte of its choice, the same at all routers.
type Shelf interface {
	Sum(bucket int) uint32                             // of what it holds in a bucket
	Each(bucket int, f func(item []byte) bool)         // all of a bucket
	Take(now float64, from ID, item []byte) (new bool) // one that was heard; a new one is passed on
}

// Buckets is how many parts a view is compared in.
const Buckets = 32

// Kind tells what a packet is for.
type Kind uint8

// The kinds of packets.
const (
	Ping Kind = 1 + iota
	Ack
	Nack    // the one asked to probe has had no answer either, but is itself well
	PingFor // asks another to probe
	Tell    // words alone
	Ask     // for the whole view, with the sums of one's own
	Page    // a part of the answer
	Carry   // something for another machine of the receiver
	kinds
)

// Packet is one datagram between two routers.
type Packet struct {
	Kind   Kind
	From   Word   // the sender of itself
	Count  uint64 // the sender's packets so far in this life
	Nonce  uint64 // of a question, or the one that is answered
	Target ID     // who is meant, or whom PingFor asks about
	At     netip.AddrPort
	Words  []Word
	Items  [][]byte
	Load   []byte   // Carry: what is carried
	Sums   []uint32 // of the view and the shelf, for each bucket
}

// Send is a packet to an address.
type Send struct {
	To     netip.AddrPort
	Packet *Packet
}

// Event is a change that is worth a line in the log.
type Event struct {
	What  string // joined, suspect, failed, left, back, refuted, conflict, superseded, woken, full, stranger
	Word  Word
	Cause string
}

// Output is what a step calls for.
type Output struct {
	Sends  []Send
	Events []Event
	Wake   float64 // when to step next at the latest
	Moved  bool    // the view has changed
	Loads  []Load  // what was carried here
}

// Load is what a router sent to another machine of this one. Its sender has proven itself.
type Load struct {
	From  ID
	Life  uint64
	Bytes []byte
}

func (o *Output) event(what string, w Word, cause string) {
	o.Events = append(o.Events, Event{what, w, cause})
}
