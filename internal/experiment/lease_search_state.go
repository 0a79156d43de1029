package experiment

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
)

const (
	searchRouters = 2

	// searchTick is the time that passes in the move "time passes", in ms by the leader's clock.
	searchTick = 200.0

	// fingerprintCapacity is the approximate number of bytes that are hashed for a state.
	fingerprintCapacity = 256

	// incarnationShift is the position of the lowest bit of a router's incarnation in the IDs of its
	// requests.
	incarnationShift = 32
)

// searchClockRates are the rates of the routers' clocks, relative to the leader's clock.
var searchClockRates = [searchRouters]float64{0.75, 4.0 / 3}

// searchState is one state of a search. A pending write is represented only by its fencing token. The
// method violation checks in each state whether the write may still be sent.
type searchState struct {
	options *LeaseSearch

	now           float64 // ms, by the leader's clock
	holders       [searchRouters]*lease.Holder
	pendingWrites [searchRouters]uint64 // fencing token of a write that the router decided to send and has not sent yet; 0: none
	incarnations  [searchRouters]uint64

	registry  *leaseregistry.State
	lastIndex uint64 // log index of the last command that was applied
	expiry    *lease.ExpiryTracker

	inFlight  []searchMessage
	faults    int // lost and duplicated messages so far
	crashes   int // crashes and leader changes so far
	transfers int // transfers so far

	moveIndex int // index of the move that first led to this state
}

// searchMessage is a message in flight. Either request or response is set.
type searchMessage struct {
	router   int // index of the sender; index of the receiver for a response
	request  *lease.Request
	response *lease.Response
}

// Prefixes that distinguish the kinds of messages in a fingerprint.
const (
	fingerprintRequest byte = iota
	fingerprintResponse
)

func newSearchState(options *LeaseSearch) *searchState {
	state := &searchState{options: options, registry: leaseregistry.New()}
	state.expiry = lease.NewExpiryTracker(options.settings(), 0, state.registry)
	for router := range state.holders {
		state.startRouter(router)
	}
	return state
}

// settings returns settings with short periods, so that a lease expires after few ticks.
func (o *LeaseSearch) settings() lease.Settings {
	settings := lease.Settings{TTL: 400, SafetyMargin: 50, MaxClockDrift: 0.25, RetryInterval: 200, MaxBackoff: 400}
	if o.Without == LeaseMargin {
		settings.SafetyMargin = 0
		settings.MaxClockDrift = 0
	}
	return settings
}

// startRouter starts the process of a router with its next incarnation.
func (s *searchState) startRouter(router int) {
	s.incarnations[router]++
	holder := lease.NewHolder(s.options.settings(), routerID(router), s.incarnations[router]<<incarnationShift)
	holder.SetRank(s.localTime(router), leaseName, router)
	s.holders[router] = holder
}

// routerID returns the ID of the router with the given index.
func routerID(index int) membership.ID { return membership.ID(index + 1) }

// localTime returns the time in ms that a router's clock shows.
func (s *searchState) localTime(router int) float64 { return s.now * searchClockRates[router] }

// clone returns a copy that shares no mutable data with s.
func (s *searchState) clone() *searchState {
	clone := *s
	for router, holder := range s.holders {
		clone.holders[router] = holder.Clone()
	}
	clone.expiry = s.expiry.Clone()
	clone.inFlight = slices.Clone(s.inFlight)
	clone.registry = leaseregistry.New()
	if current := s.registry.Leases[leaseName]; current != nil {
		copied := *current
		copied.Losses = map[membership.ID]uint64{} // a search does not count losses of the lease
		clone.registry.Leases[leaseName] = &copied
	}
	return &clone
}

// valid reports whether a router may act under the lease, judged by the router's own clock and
// state, and returns the fencing token of the lease.
func (s *searchState) valid(router int) (token uint64, ok bool) {
	if s.options.Without == HolderExpiry {
		if _, token := s.holders[router].Expiry(leaseName); token != 0 {
			return token, true
		}
	}
	return s.holders[router].Valid(s.localTime(router), leaseName)
}

// violation returns a description of the state if both routers can write now, which must never
// happen. Otherwise it returns "". A router can write if its lease is valid, or if it has a pending
// write that CheckAtWrite does not stop.
func (s *searchState) violation() string {
	for router := range s.holders {
		token, ok := s.valid(router)
		pending := s.pendingWrites[router]
		passesCheck := s.options.Without == CheckAtWrite || ok && token == pending
		if !ok && (pending == 0 || !passesCheck) {
			return ""
		}
	}
	return fmt.Sprintf("after %.0f ms both can act", s.now)
}

// fingerprint returns a hash of everything that determines the successors of a state. The search
// treats two states with the same fingerprint as equal.
func (s *searchState) fingerprint() uint64 {
	b := make([]byte, 0, fingerprintCapacity)
	for router, holder := range s.holders {
		requestInFlight := func(requestID uint64) bool { return s.isInFlight(router, requestID) }
		b = holder.AppendFingerprint(b, s.localTime(router), requestInFlight)
		b = appendNumbers(b, s.pendingWrites[router], s.incarnations[router])
	}
	if current := s.registry.Leases[leaseName]; current != nil {
		b = appendNumbers(b, uint64(current.Holder), current.Incarnation, current.FencingToken)
	}
	b = appendNumbers(b, s.lastIndex)
	b = s.expiry.AppendFingerprint(b, s.now)
	b = appendNumbers(b, uint64(s.faults), uint64(s.crashes), uint64(s.transfers))
	return xxhash.Sum64(append(b, s.messagesFingerprint()...))
}

func appendNumbers(b []byte, numbers ...uint64) []byte {
	for _, number := range numbers {
		b = binary.AppendUvarint(b, number)
	}
	return b
}

// isInFlight returns true if a request of a router is in flight, and also if the response to that
// request is in flight.
func (s *searchState) isInFlight(router int, requestID uint64) bool {
	return slices.ContainsFunc(s.inFlight, func(message searchMessage) bool {
		if message.router != router {
			return false
		}
		if message.request != nil {
			return message.request.ID == requestID
		}
		return message.response.RequestID == requestID
	})
}

// messagesFingerprint encodes the messages in flight. It does not depend on the order in which
// they were sent, because any of them may arrive next.
func (s *searchState) messagesFingerprint() []byte {
	var encoded [][]byte
	for _, message := range s.inFlight {
		if message.request != nil {
			encoded = append(encoded, fmt.Append([]byte{fingerprintRequest, byte(message.router)}, *message.request))
		} else {
			encoded = append(encoded, fmt.Append([]byte{fingerprintResponse, byte(message.router)}, *message.response))
		}
	}
	slices.SortFunc(encoded, slices.Compare[[]byte])
	return slices.Concat(encoded...)
}
