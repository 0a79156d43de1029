// Package fragment splits messages that are longer than a packet between routers into
// fragments, and reassembles them. It does no I/O. A fragment that is lost loses its whole
// message, which the protocol of the sender sends again.
//
// A Reassembler is not safe for concurrent use: the goroutine that owns it makes all calls.
package fragment

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/membership"
)

// Channel tells what a message is for.
type Channel uint8

// The channels. Their numbers are on the wire.
const (
	Raft           Channel = 1 + iota // between voters
	LeaseRequest                      // of a router to a voter
	LeaseResponse                     // to a LeaseRequest
	LoadReport                        // of the load of servers
	VoterHello                        // between voters, about themselves
	LeaderHint                        // who leads, by a voter that does not
	BanRequest                        // of a router to a voter, about the operators' bans
	BanResponse                       // to a BanRequest
	EjectionReport                    // of the servers that a router has ejected, to who probes them
	ProbeResult                       // to an EjectionReport
)

// Limits of what is reassembled, whatever arrives.
const (
	headerReserve     = 40
	maxFragmentLen    = membership.MaxPayloadLen - headerReserve // bytes
	maxFragments      = 600                                      // of one message
	maxPartial        = 64                                       // messages that are not complete yet
	reassemblyTimeout = 2000.0                                   // ms after the latest fragment
)

// MaxMessageLen is the length of the longest message, in bytes.
const MaxMessageLen = maxFragmentLen * maxFragments

// Split splits a message into payloads, nil where it is too long. id differs between the
// messages that are in transit at one time.
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

// header is what stands before the content of a fragment.
type header struct {
	channel Channel
	id      uint64
	index   uint64
	count   uint64
}

// parseHeader returns the header of a payload and the content after it.
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

// Reassembler reassembles messages.
type Reassembler struct {
	partial []*partialMessage
}

// partialMessage is a message some fragments of which have arrived.
type partialMessage struct {
	from        membership.ID
	incarnation uint64
	channel     Channel
	id          uint64
	fragments   [][]byte
	missing     int
	expiresAt   float64
}

// Add adds a payload that arrived now, in ms. complete tells that it completed a message.
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

// find returns the index of the message that a fragment belongs to, which is begun where it
// is the first.
func (r *Reassembler) find(payload membership.Payload, head header) int {
	i := slices.IndexFunc(r.partial, func(p *partialMessage) bool {
		return p.from == payload.From && p.incarnation == payload.Incarnation && p.id == head.id && p.channel == head.channel
	})
	if i >= 0 {
		return i
	}
	if len(r.partial) == maxPartial { // the oldest had its time
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
