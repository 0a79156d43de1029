// Package carry cuts what is longer than a packet between routers into pieces, and puts
// it together again. It does no I/O. A piece that is lost loses the whole, which its
// sender's protocol sends again.
package fragment

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/membership"
)

// Channel tells whom what is carried is for.
type Channel uint8

// The channels.
const (
	Raft           Channel = 1 + iota // between electors
	LeaseRequest                      // a router's question to an elector
	LeaseResponse                     // and back
	LoadReport                        // of the load of boxes
	VoterHello                        // between electors, about themselves
	LeaderHint                        // who leads, of one that does not
	BanRequest                        // a router's question about staff's bans
	BanResponse                       // and back
	EjectionReport                    // the boxes that a router has set aside, to who tries first
	ProbeResult                       // and what that one knows of them
)

// Bounds of what is put together, whatever comes.
const (
	maxFragmentLen    = membership.MaxPayloadLen - 40
	maxFragments      = 600 // of one
	maxPartial        = 64  // that are not whole yet
	reassemblyTimeout = 2000.0
)

// MaxMessageLen is the longest that is carried, in bytes.
const MaxMessageLen = maxFragmentLen * maxFragments

// Split cuts b into loads. id differs between those that are on their way at one time.
func Split(id uint64, ch Channel, b []byte) (loads [][]byte) {
	n := max(1, (len(b)+maxFragmentLen-1)/maxFragmentLen)
	if n > maxFragments {
		return nil
	}
	for i := range n {
		p := b[i*maxFragmentLen : min(len(b), (i+1)*maxFragmentLen)]
		l := protowire.AppendVarint([]byte{byte(ch)}, id)
		l = protowire.AppendVarint(l, uint64(i))
		l = protowire.AppendVarint(l, uint64(n))
		loads = append(loads, append(l, p...))
	}
	return loads
}

// Reassembler puts pieces together. It is not safe for concurrent use.
type Reassembler struct {
	partial []*partialMessage
}

type partialMessage struct {
	from        membership.ID
	incarnation uint64
	id          uint64
	channel     Channel
	fragments   [][]byte
	missing     int
	expiresAt   float64
}

// Add takes a load; whole tells that it was the last piece of b.
func (j *Reassembler) Add(now float64, l membership.Payload) (ch Channel, b []byte, whole bool) {
	in := l.Data
	if len(in) == 0 {
		return 0, nil, false
	}
	ch, in = Channel(in[0]), in[1:]
	var v [3]uint64
	for i := range v {
		n, k := protowire.ConsumeVarint(in)
		if k < 0 {
			return 0, nil, false
		}
		v[i], in = n, in[k:]
	}
	id, i, n := v[0], v[1], v[2]
	if n == 0 || n > maxFragments || i >= n {
		return 0, nil, false
	}
	if n == 1 {
		return ch, in, true
	}
	j.partial = slices.DeleteFunc(j.partial, func(o *partialMessage) bool { return o.expiresAt <= now })
	at := slices.IndexFunc(j.partial, func(o *partialMessage) bool {
		return o.from == l.From && o.incarnation == l.Incarnation && o.id == id && o.channel == ch
	})
	if at < 0 {
		if len(j.partial) == maxPartial { // the oldest has had its time
			j.partial = j.partial[1:]
		}
		at = len(j.partial)
		j.partial = append(j.partial, &partialMessage{from: l.From, incarnation: l.Incarnation, id: id, channel: ch, fragments: make([][]byte, n), missing: int(n)})
	}
	o := j.partial[at]
	if o.expiresAt = now + reassemblyTimeout; len(o.fragments) != int(n) || o.fragments[i] != nil {
		return 0, nil, false
	}
	o.fragments[i] = append([]byte{}, in...)
	if o.missing--; o.missing > 0 {
		return 0, nil, false
	}
	j.partial = slices.Delete(j.partial, at, at+1)
	return ch, slices.Concat(o.fragments...), true
}
