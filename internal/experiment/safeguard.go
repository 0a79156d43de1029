package experiment

// Safeguard is one rule that keeps two routers from acting under one lease at a time. Runs
// switch one off to see that they find what it guards against. Its text is printed in tables.
type Safeguard string

// The safeguards of a lease.
const (
	NoSafeguard             Safeguard = ""
	LeaseMargin             Safeguard = "margin and drift"
	CheckAtWrite            Safeguard = "check at the write"
	FencingTokens           Safeguard = "tokens at the receiver"
	NewLeaderRestartsLeases Safeguard = "a new leader counts anew"
	HolderExpiry            Safeguard = "a holder stops by itself"
	LeaseFromRequest        Safeguard = "a lease counts from before it was asked for"
)

// Safeguards are all safeguards of a lease.
var Safeguards = []Safeguard{LeaseMargin, CheckAtWrite, FencingTokens, NewLeaderRestartsLeases, HolderExpiry, LeaseFromRequest}

// SearchedSafeguards are the safeguards that a LeaseSearch switches off in turn, first none.
// FencingTokens is not among them: a search does not follow writes on their way to a receiver.
var SearchedSafeguards = []Safeguard{NoSafeguard, LeaseMargin, CheckAtWrite, NewLeaderRestartsLeases, HolderExpiry, LeaseFromRequest}
