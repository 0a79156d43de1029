// Package wire reads and writes the line protocol between the simulator, which carries out the
// actions of simulated routers, and the program that runs their decisions. It parses, formats and
// validates, and decides nothing. The words of the protocol are the simulator's.
//
// A Reader belongs to one goroutine; the other functions may be called by any.
package wire

import (
	"fmt"
	"math"
	"time"

	"garnetline/routing"
)

// Kind tells what an Item is about.
type Kind int

// The kinds of items in a batch.
const (
	Event Kind = iota // an event for a running instance
	Begin             // an instance starts, with nothing but its settings
	Stop              // an instance was killed
)

// Item is one message of a batch, for one instance.
type Item struct {
	Instance int
	Kind     Kind
	Event    routing.Event    // for Event; nil where it is of no use to a decision
	Seed     uint64           // for Begin
	Settings routing.Settings // for Begin
}

// Batch is all that happened at one time.
type Batch struct {
	Now   time.Duration
	Items []Item
}

// Error is a line that cannot be read.
type Error struct {
	Line  int
	Field string
	Why   string
}

func (e *Error) Error() string {
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Why)
}

// Largest values of numbers.
const (
	maxRequestID    = 1<<52 - 1
	maxServerID     = 1<<32 - 1
	maxToken        = 1 << 63
	maxMicroseconds = math.MaxInt64 / 1000 // that fit a time.Duration
	maxIndex        = 1 << 31
	maxCatalog      = 15
	maxCacheStatus  = 10
)

// absentValue stands for a value that is not given.
const absentValue = "-"
