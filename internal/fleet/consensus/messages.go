package consensus

import (
	"go.etcd.io/raft/v3/raftpb"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
)

// ClientRequest is a router's request to the voters, with the ID of the router that sent it.
type ClientRequest struct {
	From        membership.ID
	Incarnation uint64 // identifies the router's process
	lease.Request
	Ban *BanRequest // set if the request concerns operators' bans, not a lease
}

// BanRequest asks for the operators' bans. If Set is not nil, the voters set that ban first.
type BanRequest struct {
	KnownVersion uint64                 // version of the bans that the router already has
	Set          *leaseregistry.Command // command that sets a ban; nil if the request only reads the bans
}

// ClientResponse is a response, with the ID of the router that it is sent to.
type ClientResponse struct {
	To membership.ID
	lease.Response
	Ban *BanResponse // set if the response concerns operators' bans, not a lease
}

// BanResponse reports the operators' bans.
type BanResponse struct {
	RequestID, Version uint64
	Rejection          string // why the ban was not set; empty if the ban was set or the request only reads the bans
	Bans               []byte // encoded by leaseregistry.State.BansSnapshot; nil if the router's version is current
}

// Input is one event for Node.Step. At most one field is set. If none is set, the step only
// advances the node's clock.
type Input struct {
	Message    *raftpb.Message
	Request    *ClientRequest
	Proposal   *leaseregistry.Command // from an operator or from the voter itself; no response is sent
	ConfChange *raftpb.ConfChangeV2
}

// Output holds the results of a step. The caller must send the messages and responses.
type Output struct {
	Messages  []*raftpb.Message // to send to other voters, whose raft IDs are in the messages
	Responses []ClientResponse  // to send to routers
	Applied   []AppliedCommand
	Released  []lease.Response // leases that were released to nobody; the caller must notify routers that may request them
	WakeAt    float64          // time in ms by which the caller must make the next step
	LeaderID  uint64           // raft ID of the leader; 0 if no leader is known
	Leading   bool             // whether this node is the leader and serves requests
}

// AppliedCommand is a committed command with the result of applying it.
type AppliedCommand struct {
	Index   uint64
	Command *leaseregistry.Command
	Err     error // nil if the command changed the registry
}
