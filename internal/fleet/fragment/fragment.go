// Package fragment splits a message between routers into fragments if the message is longer than
// a packet, and reassembles it at the receiver. The package does no I/O. If a fragment is lost,
// its whole message is lost, and the protocol that sent the message must send it again.
//
// A Reassembler is not safe for concurrent use: the goroutine that owns it makes all calls.
package fragment

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/membership"
)

// Channel is the kind of a message. The receiver uses it to select the state machine that
// handles the message.
type Channel uint8

// The channels. Their numbers are sent in packets and must not change.
const (
	Raft           Channel = 1 + iota // between voters
	LeaseRequest                      // from a router to a voter
	LeaseResponse                     // response to a LeaseRequest
	LoadReport                        // load of servers, from the lease holder that polls them
	VoterHello                        // between voters, with information about the sender
	LeaderHint                        // name of the leading voter, from a voter that does not lead
	BanRequest                        // from a router to a voter, about the operators' bans
	BanResponse                       // response to a BanRequest
	EjectionReport                    // servers that a router has ejected, to the router that probes them
	ProbeResult                       // response to an EjectionReport
)

// Limits that bound a Reassembler's memory for any input.
const (
	headerReserve     = 40                                       // bytes, more than the longest header
	maxFragmentLen    = membership.MaxPayloadLen - headerReserve // bytes
	maxFragments      = 600                                      // fragments of one message
	maxPartial        = 64                                       // incomplete messages
	reassemblyTimeout = 2000.0                                   // ms after the latest fragment of a message
)

// MaxMessageLen is the maximum length of a message, in bytes.
const MaxMessageLen = maxFragmentLen * maxFragments

// Split splits a message into payloads. It returns nil if the message is longer than
// MaxMessageLen. Messages that are in transit at the same time must have different values of the
// argument id.
func Split(id uint64, channel Channel, message []byte) (payloads [][]byte) {
	count := max(1, (len(message)+maxFragmentLen-1)/maxFragmentLen)
	if count > maxFragments {
		return nil
	}
	for i := range count {
		content := message[i*maxFragmentLen : min(len(message), (i+1)*maxFragmentLen)]
		payload := protowire.AppendVarint([]byte{byte(channel)}, id)
		payload = protowire.AppendVarint(payload, uint64(i))
		payload = protowire.AppendVarint(payload, uint64(count))
		payloads = append(payloads, append(payload, content...))
	}
	return payloads
}

// header is the part of a payload that precedes the content of the fragment.
type header struct {
	channel Channel
	id      uint64
	index   uint64
	count   uint64
}

// parseHeader returns the header of a payload and the content after it. ok is false if the header is
// malformed.
func parseHeader(payload []byte) (head header, content []byte, ok bool) {
	if len(payload) == 0 {
		return header{}, nil, false
	}
	head.channel = Channel(payload[0])
	content = payload[1:]
	for _, field := range []*uint64{&head.id, &head.index, &head.count} {
		value, n := protowire.ConsumeVarint(content)
		if n < 0 {
			return header{}, nil, false
		}
		*field = value
		content = content[n:]
	}
	ok = head.count > 0 && head.count <= maxFragments && head.index < head.count
	return head, content, ok
}

// Reassembler reassembles messages from their fragments. Its zero value is ready to use.
type Reassembler struct {
	partial []*partialMessage
}

// partialMessage is a message of which only some fragments have arrived.
type partialMessage struct {
	from        membership.ID
	incarnation uint64
	channel     Channel
	id          uint64
	fragments   [][]byte
	missing     int
	expiresAt   float64
}

// Add adds a payload that arrived at the time now, in ms. If the payload completes a message, Add
// returns the message and its channel, and the result complete is true.
func (r *Reassembler) Add(now float64, payload membership.Payload) (channel Channel, message []byte, complete bool) {
	head, content, ok := parseHeader(payload.Data)
	if !ok {
		return 0, nil, false
	}
	if head.count == 1 {
		return head.channel, content, true
	}
	r.partial = slices.DeleteFunc(r.partial, func(p *partialMessage) bool { return p.expiresAt <= now })
	i := r.find(payload, head)
	partial := r.partial[i]
	partial.expiresAt = now + reassemblyTimeout
	if len(partial.fragments) != int(head.count) || partial.fragments[head.index] != nil {
		return 0, nil, false
	}
	partial.fragments[head.index] = append([]byte{}, content...)
	partial.missing--
	if partial.missing > 0 {
		return 0, nil, false
	}
	r.partial = slices.Delete(r.partial, i, i+1)
	return head.channel, slices.Concat(partial.fragments...), true
}

// find returns the index of the partial message that a fragment belongs to. It adds a partial
// message if no other fragment of the message has arrived.
func (r *Reassembler) find(payload membership.Payload, head header) int {
	i := slices.IndexFunc(r.partial, func(p *partialMessage) bool {
		return p.from == payload.From && p.incarnation == payload.Incarnation && p.id == head.id && p.channel == head.channel
	})
	if i >= 0 {
		return i
	}
	if len(r.partial) == maxPartial { // drop the oldest partial message
		r.partial = r.partial[1:]
	}
	r.partial = append(r.partial, &partialMessage{
		from:        payload.From,
		incarnation: payload.Incarnation,
		channel:     head.channel,
		id:          head.id,
		fragments:   make([][]byte, head.count),
		missing:     int(head.count),
	})
	return len(r.partial) - 1
}
