package lease

import "garnetline/internal/fleet/membership"

// Request is a router's request to the voters: to grant, renew or release a lease.
type Request struct {
	ID           uint64
	Lease        string        // its name
	FencingToken uint64        // of the lease that is renewed or released; 0: to be granted
	Release      bool          // to release the lease
	TransferTo   membership.ID // with Release: to this router; 0: to nobody
	Handoff      []byte        // with Release: what the next holder needs to go on
}

// Response is the state of a lease, in response to a request. With RequestID 0 it is a notice
// that the lease was transferred to the router (Holder), or is held by nobody.
type Response struct {
	RequestID    uint64
	Lease        string
	Granted      bool          // the router's process holds the lease under FencingToken
	FencingToken uint64        // by the registry
	Holder       membership.ID // by the registry; 0: nobody
	Remaining    float64       // ms until the lease may be requested again
	Losses       uint64        // how often the router lost this lease, as the registry counts it
	Handoff      []byte        // with Granted: what the last holder left
}

// ChangeCause is why a router holds a lease now, or no longer. It is logged.
type ChangeCause string

// The causes of changes.
const (
	CauseGranted       ChangeCause = "granted"
	CauseExpired       ChangeCause = "not renewed in time"
	CauseRenewedLate   ChangeCause = "renewed too late"
	CauseTokenReplaced ChangeCause = "the registry has another token"
	CauseNotWanted     ChangeCause = "not wanted any more"
)

// Change is a lease that this router holds now, or no longer.
type Change struct {
	Lease        string
	FencingToken uint64 // 0: no longer
	Handoff      []byte
	Cause        ChangeCause
}

// Fence is the receiver's side of fencing tokens: the highest one seen of each lease. It is
// not safe for concurrent use.
type Fence map[string]uint64

// Admit tells whether an act under a token is admitted: it is unless a higher token was seen.
func (f Fence) Admit(name string, token uint64) bool {
	if token < f[name] {
		return false
	}
	f[name] = token
	return true
}
