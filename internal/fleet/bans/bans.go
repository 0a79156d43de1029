// Package bans keeps the servers that operators disabled the same at all routers. The lease
// registry holds each ban in one order, with who set it, when and why, and outlives every
// router; gossip between routers is faster, and may forget.
//
// Disabling needs nobody: a ban that an operator sets at one router holds there at once, and
// is registered when the voters can be reached. Enabling needs a quorum: the registry must
// have taken the change before this router sends requests to the server again.
//
// Machine decides, without I/O and without a clock of its own. Manager runs it in one
// goroutine and owns the state file; all its methods but Run may be called by any goroutine.
package bans

import (
	"errors"

	"garnetline/internal/fleet/consensus"
	"garnetline/routing"
)

// Errors that Manager.Apply and a Completion return.
var (
	ErrNoQuorum        = errors.New("no majority of the voters answered: the server stays disabled")
	ErrVersionConflict = errors.New("the ban was changed meanwhile: read the bans again")
)

// Settings are times, in milliseconds.
type Settings struct {
	PollInterval  float64 // between readings of the registry, where nothing happens
	RetryInterval float64 // after which a request without a response is repeated
	ChangeTimeout float64 // after which an operator's change without a response fails
	AdoptAfter    float64 // after which any router registers a ban that nobody has registered
}

// DefaultSettings returns the settings that hold where the operators' file names none.
func DefaultSettings() Settings {
	return Settings{PollInterval: 1000, RetryInterval: 150, ChangeTimeout: 700, AdoptAfter: 10_000}
}

// LocalBan records why a server is disabled at this router. It outlives the process.
type LocalBan struct {
	Unregistered bool    `json:"Own"`     // an operator set it here, and the registry does not have it yet
	Version      uint64  `json:"Version"` // of the registry's ban that this router applied; 0: none
	SetBy        string  `json:"Who,omitempty"`
	Reason       string  `json:"Why,omitempty"`
	SetAt        float64 `json:"At"` // Unix ms
}

// Change is an operator's wish to disable or enable a server.
type Change struct {
	Server  routing.ServerID
	Disable bool
	SetBy   string
	Reason  string
	Version uint64  // of the ban that the operator saw, which must still hold; 0: whichever holds
	SetAt   float64 // Unix ms
}

// Action is what this router must do with a server to follow the registry.
type Action struct {
	Server  routing.ServerID
	Disable bool
}

// Request is a message for one of the voters.
type Request struct {
	ID uint64
	consensus.BanRequest
}

// Completion is the end of an operator's change.
type Completion struct {
	ChangeID uint64
	Err      error
}

// Output is what the caller of a Machine must carry out.
type Output struct {
	Requests    []Request
	Actions     []Action
	Completions []Completion
	Persist     bool    // the local bans have changed and must be stored
	WakeAt      float64 // ms, when Step is due again at the latest; only Step sets it
}
