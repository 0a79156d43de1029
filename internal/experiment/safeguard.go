package experiment

// Safeguard is one of the rules that prevent two routers from acting under one lease at the same
// time. Runs switch a safeguard off to check that they find the violation that it prevents. Its
// text is printed in tables.
type Safeguard string

// The safeguards of a lease.
const (
	NoSafeguard Safeguard = "" // all safeguards stay on

	// LeaseMargin lets a holder stop before its lease expires at the registry, by SafetyMargin
	// and by the clock drift that the settings allow.
	LeaseMargin Safeguard = "margin and drift"

	// CheckAtWrite lets a holder check its lease just before each write.
	CheckAtWrite Safeguard = "check at the write"

	// FencingTokens lets the receiver of writes reject those of an earlier holder.
	FencingTokens Safeguard = "tokens at the receiver"

	// NewLeaderRestartsLeases lets a new leader of the registry treat each held lease as if it
	// had just been renewed.
	NewLeaderRestartsLeases Safeguard = "a new leader counts anew"

	// HolderExpiry lets a holder stop when its lease has expired by its own clock.
	HolderExpiry Safeguard = "a holder stops by itself"

	// LeaseFromRequest lets a holder count its lease from the time at which it sent the request,
	// not from the time at which the response arrived.
	LeaseFromRequest Safeguard = "a lease counts from before it was asked for"
)

// Safeguards lists all safeguards of a lease.
var Safeguards = []Safeguard{LeaseMargin, CheckAtWrite, FencingTokens, NewLeaderRestartsLeases, HolderExpiry, LeaseFromRequest}

// SearchedSafeguards lists the safeguards that searches switch off in turn, beginning with none.
// It omits FencingTokens: a LeaseSearch does not simulate writes in flight to a receiver.
var SearchedSafeguards = []Safeguard{NoSafeguard, LeaseMargin, CheckAtWrite, NewLeaderRestartsLeases, HolderExpiry, LeaseFromRequest}
