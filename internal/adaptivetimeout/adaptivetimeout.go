// Package adaptivetimeout provides a timeout that remembers how earlier calls to the same peer ended. A
// client that repeats a call with a fixed timeout never gets an answer from a peer that always needs longer.
package adaptivetimeout

import (
	"errors"
	"net"
)

// growth is the factor by which the timeout grows after a call that timed out, and the ratio of the timeout to
// the duration of a call that was answered.
const growth = 2

// Timeout is the timeout of repeated calls to one peer. Times are in ms. It is not safe for concurrent use.
type Timeout struct {
	shortest float64
	longest  float64
	current  float64
}

// New returns a Timeout that is shortest until a call times out, and never above longest.
func New(shortest, longest float64) Timeout {
	return Timeout{shortest: shortest, longest: max(shortest, longest), current: shortest}
}

// Current returns the timeout of the next call.
func (t *Timeout) Current() float64 { return t.current }

// Record records the result of a call that took the given time. A timeout gives the next call twice as much
// time. An answer gives it no more time than this call had, and no more than twice what this call needed. Other
// errors say nothing about the time that the peer needs, and leave the timeout as it is.
func (t *Timeout) Record(took float64, err error) {
	var netError net.Error
	switch {
	case err == nil:
		t.current = max(t.shortest, min(t.current, growth*took))
	case errors.As(err, &netError) && netError.Timeout():
		t.current = min(growth*t.current, t.longest)
	}
}
