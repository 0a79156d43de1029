package member

import (
	"errors"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/form"
)

// Bounds of a packet and of what is in it.
const (
	MaxPacket = 1400 // bytes before sealing
	MaxName   = 64   // of a router, a zone, a version
	MaxItem   = 96
	MaxLoad   = 1100 // of Carry
	maxWords  = 64
	maxItems  = 64
)

// ErrPacket reports bytes that are no packet.
var ErrPacket = errors.New("fleet: broken packet")

// Fields of a packet and of a word, as protobuf numbers them.
const (
	fKind = 1 + iota
	fFrom
	fCount
	fNonce
	fTarget
	fAt
	fWord
	fItem
	fSums
	fLoad
)

const (
	wID = 1 + iota
	wInc
	wState
	wBy
	wName
	wZone
	wVersion
	wAddr
)

// Append appends a packet in protobuf's form.
func (p *Packet) Append(b []byte) []byte {
	b = form.Number(b, fKind, uint64(p.Kind))
	b = word(b, fFrom, &p.From)
	b = form.Number(b, fCount, p.Count)
	b = form.Number(b, fNonce, p.Nonce)
	b = fixed(b, fTarget, uint64(p.Target))
	if p.At.IsValid() {
		b = address(b, fAt, p.At)
	}
	if len(p.Sums) > 0 {
		b = protowire.AppendTag(b, fSums, protowire.BytesType)
		b = protowire.AppendVarint(b, uint64(4*len(p.Sums)))
		for _, s := range p.Sums {
			b = protowire.AppendFixed32(b, s)
		}
	}
	if len(p.Load) > 0 {
		b = protowire.AppendBytes(protowire.AppendTag(b, fLoad, protowire.BytesType), p.Load)
	}
	for i := range p.Words {
		b = word(b, fWord, &p.Words[i])
	}
	for _, it := range p.Items {
		b = protowire.AppendTag(b, fItem, protowire.BytesType)
		b = protowire.AppendBytes(b, it)
	}
	return b
}

func fixed(b []byte, f protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, f, protowire.Fixed64Type), v)
}

func address(b []byte, f protowire.Number, a netip.AddrPort) []byte {
	ip := a.Addr().AsSlice()
	b = protowire.AppendTag(b, f, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(ip)+2))
	b = append(b, ip...)
	return append(b, byte(a.Port()>>8), byte(a.Port()))
}

// word appends a word; its length goes before it, in two bytes at the most.
func word(b []byte, f protowire.Number, w *Word) []byte {
	var room [4*MaxName + 64]byte
	in := fixed(room[:0], wID, uint64(w.ID))
	in = form.Number(in, wInc, w.Inc)
	in = form.Number(in, wState, uint64(w.State))
	in = fixed(in, wBy, uint64(w.By))
	in = form.Text(in, wName, w.Name)
	in = form.Text(in, wZone, w.Zone)
	in = form.Text(in, wVersion, w.Version)
	if w.Addr.IsValid() {
		in = address(in, wAddr, w.Addr)
	}
	b = protowire.AppendTag(b, f, protowire.BytesType)
	return protowire.AppendBytes(b, in)
}

// size is about how many bytes a word takes.
func (w *Word) size() int { return 48 + len(w.Name) + len(w.Zone) + len(w.Version) }

// fields calls f with each field of a message, and stops where it says no.
func fields(b []byte, f func(n protowire.Number, v uint64, b []byte) bool) bool {
	for len(b) > 0 {
		n, t, k := protowire.ConsumeTag(b)
		if k < 0 {
			return false
		}
		b = b[k:]
		var v uint64
		var in []byte
		switch t {
		case protowire.VarintType:
			v, k = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v, k = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			in, k = protowire.ConsumeBytes(b)
		default:
			return false
		}
		if k < 0 || !f(n, v, in) {
			return false
		}
		b = b[k:]
	}
	return true
}

// Decode reads a packet. Unknown fields of a later version are passed over; whatever is
// out of bounds is no packet. Nothing in the result refers to b.
func Decode(b []byte) (*Packet, error) {
	if len(b) > MaxPacket {
		return nil, ErrPacket
	}
	p := &Packet{}
	ok := fields(b, func(n protowire.Number, v uint64, in []byte) bool {
		switch n {
		case fKind:
			p.Kind = Kind(min(v, uint64(kinds)))
		case fFrom:
			return p.From.read(in)
		case fCount:
			p.Count = v
		case fNonce:
			p.Nonce = v
		case fTarget:
			p.Target = ID(v)
		case fAt:
			return readAddr(in, &p.At)
		case fSums:
			if len(in) != 4*Buckets || p.Sums != nil {
				return false
			}
			for ; len(in) > 0; in = in[4:] {
				s, _ := protowire.ConsumeFixed32(in)
				p.Sums = append(p.Sums, s)
			}
		case fWord:
			var w Word
			if len(p.Words) == maxWords || !w.read(in) {
				return false
			}
			p.Words = append(p.Words, w)
		case fLoad:
			if len(in) > MaxLoad {
				return false
			}
			p.Load = append([]byte(nil), in...)
		case fItem:
			if len(p.Items) == maxItems || len(in) > MaxItem {
				return false
			}
			p.Items = append(p.Items, append([]byte(nil), in...))
		}
		return true
	})
	if !ok || p.Kind == 0 || p.Kind >= kinds || p.From.ID == 0 || p.From.State != Alive || !p.From.Addr.IsValid() {
		return nil, ErrPacket
	}
	return p, nil
}

func (w *Word) read(b []byte) bool {
	ok := fields(b, func(n protowire.Number, v uint64, in []byte) bool {
		switch n {
		case wID:
			w.ID = ID(v)
		case wInc:
			w.Inc = v
		case wState:
			w.State = State(min(v, 255))
		case wBy:
			w.By = ID(v)
		case wName:
			return readText(in, &w.Name)
		case wZone:
			return readText(in, &w.Zone)
		case wVersion:
			return readText(in, &w.Version)
		case wAddr:
			return readAddr(in, &w.Addr)
		}
		return true
	})
	return ok && w.ID != 0 && w.State <= Left
}

// readText takes printable ASCII alone: names stand in logs and on terminals.
func readText(b []byte, to *string) bool {
	if len(b) > MaxName {
		return false
	}
	for _, c := range b {
		if c < ' ' || c > '~' {
			return false
		}
	}
	*to = string(b)
	return true
}

func readAddr(b []byte, to *netip.AddrPort) bool {
	n := len(b) - 2
	if n != 4 && n != 16 {
		return false
	}
	ip, _ := netip.AddrFromSlice(b[:n])
	*to = netip.AddrPortFrom(ip, uint16(b[n])<<8|uint16(b[n+1]))
	return to.Port() != 0
}
