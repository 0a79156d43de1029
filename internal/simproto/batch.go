package simproto

import (
	"time"

	"garnetline/routing"
)

// MessageKind is what a Message is about.
type MessageKind int

// The kinds of messages in a batch.
const (
	InstanceEvent MessageKind = iota // an event for a running instance
	InstanceStart                    // an instance starts and knows only its settings
	InstanceStop                     // an instance was killed; what it knew is lost
)

// String returns the kind in lower case, for test failures.
func (k MessageKind) String() string {
	switch k {
	case InstanceEvent:
		return "event"
	case InstanceStart:
		return "start"
	case InstanceStop:
		return "stop"
	default:
		return "unknown"
	}
}

// Message is one message of a batch, for one instance.
type Message struct {
	Instance int
	Kind     MessageKind
	Event    routing.Event    // with InstanceEvent, never nil
	Seed     uint64           // with InstanceStart, of the instance's random numbers
	Settings routing.Settings // with InstanceStart
}

// Batch is what happened at one time, in the order in which it is to be handled.
type Batch struct {
	Now      time.Duration // on the simulator's clock, which has no particular start
	Messages []Message
}
