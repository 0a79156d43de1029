package consensus

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
)

// readIDLen is the length in bytes of the read ID that raft.ReadState.RequestCtx holds.
const readIDLen = 8

// updateLeadership makes the node start or stop serving requests. A leader starts to serve
// requests when it has applied an entry of its own term. Before that, it may not know all leases
// that earlier leaders granted.
func (n *Node) updateLeadership() {
	status := n.raftNode.BasicStatus()
	if status.RaftState != raft.StateLeader {
		if n.leaseExpiry != nil || len(n.queuedRequests) > 0 {
			n.leaseExpiry, n.queuedRequests = nil, nil
			n.dropPending()
		}
		return
	}
	term := status.GetTerm()
	if n.appliedTerm == term && (n.leaseExpiry == nil || n.leadingTerm != term) {
		n.leaseExpiry = lease.NewExpiryTracker(n.settings.Lease, n.now, n.registry)
		n.leadingTerm = term
		n.dropPending()
	}
}

// dropPending discards the pending reads and proposals. The node calls it when it stops serving
// requests and when it starts to serve requests in a new term.
func (n *Node) dropPending() {
	clear(n.pendingReads)
	clear(n.pendingProposals)
	clear(n.proposalsByLease)
}

// queueRequest queues a router's request for the next read, in which a quorum confirms that this
// node is still the leader. It drops a request that cannot be served now; the router repeats the
// request, possibly at another voter.
func (n *Node) queueRequest(request ClientRequest) {
	n.updateLeadership()
	limit := n.settings.MaxPendingRequests
	if n.leaseExpiry == nil || len(n.queuedRequests)+len(n.pendingProposals) >= limit || len(n.pendingReads) > limit {
		return
	}
	n.queuedRequests = append(n.queuedRequests, request)
}

// readIsDue reports whether a read for the queued requests should start now. In a read, a quorum
// confirms that this node is still the leader. Reads run one at a time. All requests that are
// received during a read share the next read. After one tick interval the next read starts even
// if the previous read has not finished, because the responses to the previous read may have been
// lost.
func (n *Node) readIsDue() bool {
	if n.leaseExpiry == nil || len(n.queuedRequests) == 0 {
		return false
	}
	return len(n.pendingReads) == 0 || n.now-n.lastReadAt >= n.settings.TickInterval
}

// startRead asks raft to confirm with a quorum that this node is still the leader. All queued
// requests share this read.
func (n *Node) startRead() {
	n.lastReadID++
	n.lastReadAt = n.now
	n.pendingReads[n.lastReadID] = n.queuedRequests
	n.queuedRequests = nil
	n.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, n.lastReadID))
}

// finishRead serves the requests of a confirmed read. The confirmation shows that a quorum still
// followed this leader after the leader had received the requests. finishRead discards all
// earlier reads, whose confirmations were lost. The routers repeat the requests of the discarded
// reads.
func (n *Node) finishRead(read raft.ReadState) {
	if len(read.RequestCtx) != readIDLen {
		return
	}
	readID := binary.BigEndian.Uint64(read.RequestCtx)
	requests := n.pendingReads[readID]
	delete(n.pendingReads, readID)
	for earlier := range n.pendingReads {
		if earlier < readID {
			delete(n.pendingReads, earlier)
		}
	}
	if n.leaseExpiry == nil || n.appliedIndex < read.Index {
		return
	}
	for _, request := range requests {
		n.serveRequest(request)
	}
}

// serveRequest either responds to a request immediately or proposes a command. completeProposal
// responds after the command is applied.
func (n *Node) serveRequest(request ClientRequest) {
	current := n.registry.Leases[request.Lease]
	switch {
	case request.Ban != nil:
		n.serveBanRequest(request)
	case n.proposalsByLease[request.Lease] > 0:
		// The request is dropped while a command for the same lease is being committed. The
		// command may grant the lease to another router, and a renewal served now would then
		// extend the old holder's lease by a whole TTL.
	case !withinLimits(request):
	case request.Release:
		n.serveRelease(request, current)
	case isRenewal(request, current):
		n.leaseExpiry.Extend(n.now, request.Lease)
		n.respondLease(request, current)
	case isTransferTarget(request, current):
		n.proposeFor(request, grantCommand(request, current, false))
	case request.FencingToken == 0 && n.leaseExpiry.Available(n.now, current):
		holderLost := current != nil && current.Holder != 0
		n.proposeFor(request, grantCommand(request, current, holderLost))
	default:
		n.respondLease(request, current)
	}
}

func withinLimits(request ClientRequest) bool {
	return request.Lease != "" && len(request.Lease) <= leaseregistry.MaxNameLen && len(request.Handoff) <= leaseregistry.MaxHandoffLen
}

// isRenewal reports whether the request comes from the process that already holds the lease, and
// has either the lease's current fencing token or none.
func isRenewal(request ClientRequest, current *leaseregistry.Lease) bool {
	if current == nil || current.Holder != request.From || current.Incarnation != request.Incarnation {
		return false
	}
	return request.FencingToken == current.FencingToken || request.FencingToken == 0
}

// isTransferTarget reports whether the lease was transferred to the requesting router. A transfer
// names only the router, so the incarnation of the lease is 0 until the registry learns it from
// this request.
func isTransferTarget(request ClientRequest, current *leaseregistry.Lease) bool {
	return current != nil && current.Holder == request.From && current.Incarnation == 0 && request.FencingToken == 0
}

func grantCommand(request ClientRequest, current *leaseregistry.Lease, holderLost bool) *leaseregistry.Command {
	command := &leaseregistry.Command{
		Op:          leaseregistry.OpGrant,
		Lease:       request.Lease,
		Holder:      request.From,
		Incarnation: request.Incarnation,
		HolderLost:  holderLost,
		RequestID:   request.ID,
	}
	if current != nil {
		command.ExpectedToken = current.FencingToken
	}
	return command
}

// serveRelease proposes the holder's release or transfer of a lease. If the request does not
// come from the holder with the current token, serveRelease only responds with the state of the
// lease.
func (n *Node) serveRelease(request ClientRequest, current *leaseregistry.Lease) {
	if current == nil || current.Holder != request.From || current.FencingToken != request.FencingToken {
		n.respondLease(request, current)
		return
	}
	command := &leaseregistry.Command{
		Op:            leaseregistry.OpRelease,
		Lease:         request.Lease,
		Holder:        request.From,
		ExpectedToken: request.FencingToken,
		Handoff:       request.Handoff,
		RequestID:     request.ID,
	}
	if request.TransferTo != 0 {
		command.Op, command.Holder = leaseregistry.OpTransfer, request.TransferTo
	}
	n.proposeFor(request, command)
}

func (n *Node) serveBanRequest(request ClientRequest) {
	if request.Ban.Set != nil {
		n.proposeFor(request, request.Ban.Set)
		return
	}
	n.respondBans(request, nil)
}

// proposeFor proposes a command for a request. completeProposal responds to the request when the
// command is applied. If raft rejects the proposal, nobody responds, and the router repeats the
// request.
func (n *Node) proposeFor(request ClientRequest, command *leaseregistry.Command) {
	if n.raftNode.Propose(command.Append(nil)) != nil {
		return
	}
	n.pendingProposals[request.ID] = request
	n.proposalsByLease[request.Lease]++
}

// completeProposal announces the release or transfer that a command has caused. If this leader
// proposed the command, completeProposal also responds to the request. The argument err is the
// result of applying the command.
func (n *Node) completeProposal(command *leaseregistry.Command, err error) {
	if n.leaseExpiry == nil {
		return
	}
	if err == nil {
		n.notifyRelease(command)
	}
	request, proposedHere := n.pendingProposals[command.RequestID]
	if !proposedHere {
		return
	}
	delete(n.pendingProposals, command.RequestID)
	n.proposalsByLease[command.Lease]--
	if n.proposalsByLease[command.Lease] <= 0 {
		delete(n.proposalsByLease, command.Lease)
	}
	if request.Ban != nil {
		n.respondBans(request, err)
		return
	}
	if command.Op == leaseregistry.OpGrant && err == nil {
		n.leaseExpiry.Extend(n.now, command.Lease)
	}
	n.respondLease(request, n.registry.Leases[command.Lease])
}

// notifyRelease announces a lease that its holder gave up. After a transfer it notifies the new
// holder, which then requests the lease. After a release to nobody it puts the lease into
// Output.Released, and the owner of this node chooses which routers to notify.
func (n *Node) notifyRelease(command *leaseregistry.Command) {
	switch command.Op {
	case leaseregistry.OpTransfer:
		n.output.Responses = append(n.output.Responses, ClientResponse{To: command.Holder, Response: lease.Response{
			Lease:        command.Lease,
			Holder:       command.Holder,
			FencingToken: n.registry.Leases[command.Lease].FencingToken,
		}})
	case leaseregistry.OpRelease:
		n.output.Released = append(n.output.Released, lease.Response{
			Lease:        command.Lease,
			FencingToken: n.registry.Leases[command.Lease].FencingToken,
		})
	}
}

// respondBans responds with the operators' bans. The argument err says why the requested ban was
// not set. It is nil if the ban was set, or if the request only reads the bans.
func (n *Node) respondBans(request ClientRequest, err error) {
	response := &BanResponse{RequestID: request.ID, Version: n.registry.BanVersion()}
	if err != nil {
		response.Rejection = err.Error()
	}
	if response.Version != request.Ban.KnownVersion {
		response.Bans = n.registry.BansSnapshot()
	}
	n.output.Responses = append(n.output.Responses, ClientResponse{To: request.From, Ban: response})
}

// respondLease responds with the state of a lease. The argument current is nil if the lease was
// never granted.
func (n *Node) respondLease(request ClientRequest, current *leaseregistry.Lease) {
	response := lease.Response{RequestID: request.ID, Lease: request.Lease}
	if current != nil {
		response.FencingToken = current.FencingToken
		response.Holder = current.Holder
		response.Losses = current.Losses[request.From]
		response.Granted = current.Holder == request.From && current.Incarnation == request.Incarnation
		response.Remaining = n.leaseExpiry.Remaining(n.now, request.Lease)
	}
	if response.Granted {
		response.Handoff = current.Handoff
	}
	n.output.Responses = append(n.output.Responses, ClientResponse{To: request.From, Response: response})
}
