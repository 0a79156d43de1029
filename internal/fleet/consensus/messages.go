package consensus

import (
	"go.etcd.io/raft/v3/raftpb"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
)

// ClientRequest is a router's request to the voters, with the router that sent it.
type ClientRequest struct {
	From        membership.ID
	Incarnation uint64 // of the router's process
	lease.Request
	Ban *BanRequest // set where the request is about operators' bans instead of a lease
}

// BanRequest reads operators' bans and may set one first.
type BanRequest struct {
	KnownVersion uint64                 // the version that the router has already
	Set          *leaseregistry.Command // nil if it only reads
}

// ClientResponse is a response with the router that it is for.
type ClientResponse struct {
	To membership.ID
	lease.Response
	Ban *BanResponse // set where the response is about operators' bans instead of a lease
}

// BanResponse is the state of operators' bans.
type BanResponse struct {
	RequestID, Version uint64
	Rejection          string // why the ban was not set; empty if it was, or none was to be
	Bans               []byte // leaseregistry.State.BansSnapshot; nil if the router's version is current
}

// Input is one event for Node.Step. At most one field is set; none means that time passed.
type Input struct {
	Message    *raftpb.Message
	Request    *ClientRequest
	Proposal   *leaseregistry.Command // from an operator or the voter itself; nobody gets a response
	ConfChange *raftpb.ConfChangeV2
}

// Output is what a step asks its caller to do.
type Output struct {
	Messages  []*raftpb.Message // to other voters, by their raft IDs
	Responses []ClientResponse
	Applied   []AppliedCommand
	Released  []lease.Response // leases released without a successor, for the candidates to learn of
	WakeAt    float64          // when to step next at the latest, in ms
	LeaderID  uint64           // raft ID of the leader; 0 if none is known
	Leading   bool             // this node leads and serves requests
}

// AppliedCommand is a committed command and its result.
type AppliedCommand struct {
	Index   uint64
	Command *leaseregistry.Command
	Err     error // nil if the command changed the registry
}
