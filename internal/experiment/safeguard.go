package experiment

// Safeguard is one of the rules that prevent two routers from acting under one lease at the same
// time. An experiment switches a safeguard off to check that it finds the violation that the safeguard
// prevents. The text of a safeguard is printed in tables.
type Safeguard string

// The safeguards of a lease.
const (
	NoSafeguard Safeguard = "" // all safeguards stay on

	// LeaseMargin makes a holder stop acting under its lease some time before the lease expires at
	// the registry. That time covers SafetyMargin and the clock drift that the settings allow.
	LeaseMargin Safeguard = "margin and drift"

	// CheckAtWrite makes a holder check its lease just before each write.
	CheckAtWrite Safeguard = "check at the write"

	// FencingTokens makes the receiver of writes reject writes of an earlier holder.
	FencingTokens Safeguard = "tokens at the receiver"

	// NewLeaderRestartsLeases makes a new leader of the registry treat each held lease as if it
	// had just been renewed.
	NewLeaderRestartsLeases Safeguard = "a new leader counts anew"

	// HolderExpiry makes a holder stop acting under its lease when the lease has expired by the
	// holder's own clock.
	HolderExpiry Safeguard = "a holder stops by itself"

	// LeaseFromRequest makes a holder count its lease from the time at which it sent the request,
	// not from the time at which the response arrived.
	LeaseFromRequest Safeguard = "a lease counts from before it was asked for"
)

// Safeguards lists all safeguards of a lease.
var Safeguards = []Safeguard{LeaseMargin, CheckAtWrite, FencingTokens, NewLeaderRestartsLeases, HolderExpiry, LeaseFromRequest}

// SearchedSafeguards lists the safeguards that searches switch off, one per search. The first entry,
// NoSafeguard, stands for a search with all safeguards. The list omits FencingTokens, because a
// LeaseSearch does not simulate writes in flight to a receiver.
var SearchedSafeguards = []Safeguard{NoSafeguard, LeaseMargin, CheckAtWrite, NewLeaderRestartsLeases, HolderExpiry, LeaseFromRequest}
