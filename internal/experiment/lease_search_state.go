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

	// searchTick is how much of the leader's time passes in one move, in ms.
	searchTick = 200.0

	// fingerprintCapacity is about the bytes that are hashed of a state.
	fingerprintCapacity = 256

	// The IDs of a router's requests have its incarnation above this bit.
	incarnationShift = 32
)

// searchClockRates are the rates of the routers' clocks, by the leader's.
var searchClockRates = [searchRouters]float64{0.75, 4.0 / 3}

// searchState is one state of a search. What a router has decided to write is only its
// fencing token: whether it may be written is judged in each state.
type searchState struct {
	options *LeaseSearch

	now           float64 // ms, by the leader's clock
	holders       [searchRouters]*lease.Holder
	pendingWrites [searchRouters]uint64 // fencing token of the write decided and not written yet; 0: none
	incarnations  [searchRouters]uint64

	registry  *leaseregistry.State
	lastIndex uint64 // of the commands that were applied
	expiry    *lease.ExpiryTracker

	inFlight  []searchMessage
	faults    int
	crashes   int
	transfers int

	moveIndex int // of the move that led here first
}

// searchMessage is a message on its way. Either request or response is set.
type searchMessage struct {
	router   int // index of the router that sent it or, of a response, that receives it
	request  *lease.Request
	response *lease.Response
}

// Kinds of messages in a fingerprint.
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

// settings are short periods, so that few ticks pass until a lease expires.
func (o *LeaseSearch) settings() lease.Settings {
	settings := lease.Settings{TTL: 400, SafetyMargin: 50, MaxClockDrift: 0.25, RetryInterval: 200, MaxBackoff: 400}
	if o.Without == LeaseMargin {
		settings.SafetyMargin = 0
		settings.MaxClockDrift = 0
	}
	return settings
}

// startRouter starts a process of a router, as its next incarnation.
func (s *searchState) startRouter(router int) {
	s.incarnations[router]++
	holder := lease.NewHolder(s.options.settings(), routerID(router), s.incarnations[router]<<incarnationShift)
	holder.SetRank(s.localTime(router), leaseName, router)
	s.holders[router] = holder
}

// routerID returns the ID of the router of an index.
func routerID(index int) membership.ID { return membership.ID(index + 1) }

// localTime is what a router's clock shows.
func (s *searchState) localTime(router int) float64 { return s.now * searchClockRates[router] }

// clone returns a copy that is independent from here on.
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
		copied.Losses = map[membership.ID]uint64{} // a search counts no losses
		clone.registry.Leases[leaseName] = &copied
	}
	return &clone
}

// valid tells whether a router may act under the lease, as far as it can see by itself, and
// under which fencing token.
func (s *searchState) valid(router int) (token uint64, ok bool) {
	if s.options.Without == HolderExpiry {
		if _, token := s.holders[router].Expiry(leaseName); token != 0 {
			return token, true
		}
	}
	return s.holders[router].Valid(s.localTime(router), leaseName)
}

// violation describes what must not be: two routers that can both write now. A write decided
// before counts if it passes the check just before it is written.
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

// fingerprint returns a hash of all that decides what may follow from a state. Two states with
// the same fingerprint are taken for one.
func (s *searchState) fingerprint() uint64 {
	b := make([]byte, 0, fingerprintCapacity)
	for router, holder := range s.holders {
		answerable := func(requestID uint64) bool { return s.concerns(router, requestID) }
		b = holder.AppendFingerprint(b, s.localTime(router), answerable)
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

// concerns tells whether a request of a router, or a response to it, is on its way.
func (s *searchState) concerns(router int, requestID uint64) bool {
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

// messagesFingerprint is the same for the same messages on their way, whichever was sent
// first: any of them may arrive next.
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
