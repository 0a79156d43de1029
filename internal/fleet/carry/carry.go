// Package carry cuts what is longer than a packet between routers into pieces, and puts
// it together again. It does no I/O. A piece that is lost loses the whole, which its
// sender's protocol sends again.
package carry

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/member"
)

// Channel tells whom what is carried is for.
type Channel uint8

// The channels.
const (
	Raft      Channel = 1 + iota // between electors
	Ask                          // a router's question to an elector
	Answer                       // and back
	Report                       // of the load of boxes
	Hello                        // between electors, about themselves
	Hint                         // who leads, of one that does not
	BanAsk                       // a router's question about staff's bans
	BanAnswer                    // and back
	Aside                        // the boxes that a router has set aside, to who tries first
	Tried                        // and what that one knows of them
)

// Bounds of what is put together, whatever comes.
const (
	piece   = member.MaxLoad - 40
	pieces  = 600 // of one
	waiting = 64  // that are not whole yet
	patient = 2000.0
)

// MaxLen is the longest that is carried, in bytes.
const MaxLen = piece * pieces

// Split cuts b into loads. id differs between those that are on their way at one time.
func Split(id uint64, ch Channel, b []byte) (loads [][]byte) {
	n := max(1, (len(b)+piece-1)/piece)
	if n > pieces {
		return nil
	}
	for i := range n {
		p := b[i*piece : min(len(b), (i+1)*piece)]
		l := protowire.AppendVarint([]byte{byte(ch)}, id)
		l = protowire.AppendVarint(l, uint64(i))
		l = protowire.AppendVarint(l, uint64(n))
		loads = append(loads, append(l, p...))
	}
	return loads
}

// Joiner puts pieces together. It is not safe for concurrent use.
type Joiner struct {
	open []*open
}

type open struct {
	from  member.ID
	life  uint64
	id    uint64
	ch    Channel
	parts [][]byte
	left  int
	until float64
}

// Take takes a load; whole tells that it was the last piece of b.
func (j *Joiner) Take(now float64, l member.Load) (ch Channel, b []byte, whole bool) {
	in := l.Bytes
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
	if n == 0 || n > pieces || i >= n {
		return 0, nil, false
	}
	if n == 1 {
		return ch, in, true
	}
	j.open = slices.DeleteFunc(j.open, func(o *open) bool { return o.until <= now })
	at := slices.IndexFunc(j.open, func(o *open) bool { return o.from == l.From && o.life == l.Life && o.id == id && o.ch == ch })
	if at < 0 {
		if len(j.open) == waiting { // the oldest has had its time
			j.open = j.open[1:]
		}
		at = len(j.open)
		j.open = append(j.open, &open{from: l.From, life: l.Life, id: id, ch: ch, parts: make([][]byte, n), left: int(n)})
	}
	o := j.open[at]
	if o.until = now + patient; len(o.parts) != int(n) || o.parts[i] != nil {
		return 0, nil, false
	}
	o.parts[i] = append([]byte{}, in...)
	if o.left--; o.left > 0 {
		return 0, nil, false
	}
	j.open = slices.Delete(j.open, at, at+1)
	return ch, slices.Concat(o.parts...), true
}
