package lease

import "garnetline/internal/fleet/membership"

// Request is a router's request to the voters: to grant, renew or release a lease.
type Request struct {
	ID           uint64
	Lease        string        // name of the lease
	FencingToken uint64        // token of the lease to renew or release; 0 to request a grant
	Release      bool          // whether to release the lease
	TransferTo   membership.ID // with Release: the next holder; 0 to release the lease to nobody
	Handoff      []byte        // with Release: data with which the next holder continues
}

// Response is the state of a lease in response to a request. A Response with RequestID 0 is a
// notice, which the voters send without a request. If Holder names the receiving router, the
// notice says that the lease was transferred to that router. If Holder is 0, the notice says that
// nobody holds the lease.
type Response struct {
	RequestID    uint64
	Lease        string
	Granted      bool          // whether the requesting process holds the lease under FencingToken
	FencingToken uint64        // according to the registry
	Holder       membership.ID // according to the registry; 0 if nobody holds the lease
	Remaining    float64       // longest time in ms for which the lease may still be valid
	Losses       uint64        // the registry's count of how often the requesting router lost this lease
	Handoff      []byte        // with Granted: data that the last holder left
}

// ChangeCause says why a router got or lost a lease. It is logged.
type ChangeCause string

// The causes of changes.
const (
	CauseGranted       ChangeCause = "granted"
	CauseExpired       ChangeCause = "not renewed in time"
	CauseRenewedLate   ChangeCause = "renewed too late"
	CauseTokenReplaced ChangeCause = "the registry has another token"
	CauseNotWanted     ChangeCause = "not wanted any more"
)

// Change reports that this router got or lost a lease.
type Change struct {
	Lease        string
	FencingToken uint64 // 0 if the router lost the lease
	Handoff      []byte // data that the last holder left
	Cause        ChangeCause
}

// Fence is the receiver's side of fencing tokens. It maps each lease to the highest token that
// the receiver has seen. It is not safe for concurrent use.
type Fence map[string]uint64

// Admit reports whether to accept an operation with the fencing token of a lease. It rejects a
// token if it has seen a higher token of the same lease. It records a token that it accepts.
func (f Fence) Admit(name string, token uint64) bool {
	if token < f[name] {
		return false
	}
	f[name] = token
	return true
}
