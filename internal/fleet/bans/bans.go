// Package bans makes all routers agree on the set of servers that operators have disabled. The
// lease registry stores the bans in a total order, with the author, the time and the reason of
// each ban. The registry is replicated by those routers that are voters, and outlives every
// router. Routers also exchange bans by gossip, which is faster than the registry but may lose
// bans.
//
// Disabling needs no other router. A ban that an operator sets at a router immediately applies at
// that router, and is registered when the voters can be reached. Enabling needs a quorum: the
// registry must have applied the change before this router sends requests to the server again.
//
// Machine makes the decisions, without I/O and without a clock of its own. Manager runs it in one
// goroutine and owns the state file. Any goroutine may call the methods of Manager except Run.
package bans

import (
	"errors"

	"garnetline/internal/fleet/consensus"
	"garnetline/routing"
)

// Errors of Manager.Apply and of a Completion.
var (
	ErrNoQuorum        = errors.New("no majority of the voters responded in time: the server stays disabled")
	ErrVersionConflict = errors.New("version conflict: the ban has changed since it was read; read the bans again")
)

// Settings are the times that control a Machine, in milliseconds.
type Settings struct {
	PollInterval  float64 // time between two reads of the registry while nothing changes
	RetryInterval float64 // time after which a request without a response is repeated
	ChangeTimeout float64 // time after which an operator's change without a response fails
	AdoptAfter    float64 // time after which any router registers a ban that is still unregistered
}

// DefaultSettings returns the defaults for the operators' settings file.
func DefaultSettings() Settings {
	return Settings{PollInterval: 1000, RetryInterval: 150, ChangeTimeout: 700, AdoptAfter: 10_000}
}

// LocalBan records why a server is disabled at this router. It is stored in the state file.
type LocalBan struct {
	Unregistered bool    `json:"Own"`     // an operator set the ban at this router, and the registry does not have it yet
	Version      uint64  `json:"Version"` // version of the registered ban that this router applied; 0: none
	SetBy        string  `json:"Who,omitempty"`
	Reason       string  `json:"Why,omitempty"`
	SetAt        float64 `json:"At"` // Unix ms
}

// Change is an operator's request to disable or enable a server.
type Change struct {
	Server  routing.ServerID
	Disable bool
	SetBy   string
	Reason  string
	Version uint64  // version of the ban that the operator read; the change fails if it is outdated; 0: any version
	SetAt   float64 // Unix ms
}

// Action disables or enables a server at this router so that the router follows the registry.
type Action struct {
	Server  routing.ServerID
	Disable bool
}

// Request is a message for one of the voters.
type Request struct {
	ID uint64
	consensus.BanRequest
}

// Completion is the result of an operator's change.
type Completion struct {
	ChangeID uint64
	Err      error
}

// Output lists the work that the caller of a Machine must do.
type Output struct {
	Requests    []Request
	Actions     []Action
	Completions []Completion
	Persist     bool    // the local bans have changed and must be stored
	WakeAt      float64 // latest time of the next Step, ms; set by Step only
}
