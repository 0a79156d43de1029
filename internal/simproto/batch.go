package simproto

import (
	"time"

	"garnetline/routing"
)

// MessageKind tells what a Message reports about its router instance.
type MessageKind int

// The kinds of messages in a batch.
const (
	InstanceEvent MessageKind = iota // an event for a running instance
	InstanceStart                    // an instance starts with the given settings and without earlier state
	InstanceStop                     // an instance was killed and its state is lost
)

// String returns the kind in lower case, for test failure messages.
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

// Message is one message of a batch. It is addressed to one router instance.
type Message struct {
	Instance int
	Kind     MessageKind
	Event    routing.Event    // only for InstanceEvent, where it is never nil
	Seed     uint64           // only for InstanceStart: seeds the instance's random numbers
	Settings routing.Settings // only for InstanceStart
}

// Batch holds the messages of one point in time, in the order in which they must be handled.
type Batch struct {
	Now      time.Duration // time on the simulator's clock, whose zero point is arbitrary
	Messages []Message
}
