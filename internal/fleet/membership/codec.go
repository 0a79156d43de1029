package membership

import (
	"errors"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/wireformat"
)

// Bounds of a packet and of what is in it.
const (
	MaxPacketLen  = 1400 // bytes before sealing
	MaxNameLen    = 64   // of a router, a zone, a version
	MaxItemLen    = 96
	MaxPayloadLen = 1100 // of Carry
	maxUpdates    = 64
	maxItems      = 64
)

// ErrMalformedPacket reports bytes that are no packet.
var ErrMalformedPacket = errors.New("fleet: broken packet")

// Fields of a packet and of a word, as protobuf numbers them.
const (
	fieldKind = 1 + iota
	fieldFrom
	fieldSequence
	fieldNonce
	fieldTarget
	fieldTargetAddr
	fieldUpdate
	fieldItem
	fieldChecksums
	fieldPayload
)

const (
	updateFieldID = 1 + iota
	updateFieldRevision
	updateFieldState
	updateFieldReportedBy
	updateFieldName
	updateFieldZone
	updateFieldVersion
	updateFieldAddr
)

// Append appends a packet in protobuf's form.
func (p *Packet) Append(b []byte) []byte {
	b = wireformat.AppendUint(b, fieldKind, uint64(p.Kind))
	b = appendUpdate(b, fieldFrom, &p.From)
	b = wireformat.AppendUint(b, fieldSequence, p.Sequence)
	b = wireformat.AppendUint(b, fieldNonce, p.Nonce)
	b = appendFixed64(b, fieldTarget, uint64(p.Target))
	if p.TargetAddr.IsValid() {
		b = appendAddr(b, fieldTargetAddr, p.TargetAddr)
	}
	if len(p.Checksums) > 0 {
		b = protowire.AppendTag(b, fieldChecksums, protowire.BytesType)
		b = protowire.AppendVarint(b, uint64(4*len(p.Checksums)))
		for _, s := range p.Checksums {
			b = protowire.AppendFixed32(b, s)
		}
	}
	if len(p.Payload) > 0 {
		b = protowire.AppendBytes(protowire.AppendTag(b, fieldPayload, protowire.BytesType), p.Payload)
	}
	for i := range p.Updates {
		b = appendUpdate(b, fieldUpdate, &p.Updates[i])
	}
	for _, it := range p.Items {
		b = protowire.AppendTag(b, fieldItem, protowire.BytesType)
		b = protowire.AppendBytes(b, it)
	}
	return b
}

func appendFixed64(b []byte, f protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, f, protowire.Fixed64Type), v)
}

func appendAddr(b []byte, f protowire.Number, a netip.AddrPort) []byte {
	ip := a.Addr().AsSlice()
	b = protowire.AppendTag(b, f, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(ip)+2))
	b = append(b, ip...)
	return append(b, byte(a.Port()>>8), byte(a.Port()))
}

// appendUpdate appends a word; its length goes before it, in two bytes at the most.
func appendUpdate(b []byte, f protowire.Number, w *Update) []byte {
	var room [4*MaxNameLen + 64]byte
	in := appendFixed64(room[:0], updateFieldID, uint64(w.ID))
	in = wireformat.AppendUint(in, updateFieldRevision, w.Revision)
	in = wireformat.AppendUint(in, updateFieldState, uint64(w.State))
	in = appendFixed64(in, updateFieldReportedBy, uint64(w.ReportedBy))
	in = wireformat.AppendString(in, updateFieldName, w.Name)
	in = wireformat.AppendString(in, updateFieldZone, w.Zone)
	in = wireformat.AppendString(in, updateFieldVersion, w.Version)
	if w.Addr.IsValid() {
		in = appendAddr(in, updateFieldAddr, w.Addr)
	}
	b = protowire.AppendTag(b, f, protowire.BytesType)
	return protowire.AppendBytes(b, in)
}

// encodedSize is about how many bytes a word takes.
func (w *Update) encodedSize() int { return 48 + len(w.Name) + len(w.Zone) + len(w.Version) }

// forEachField calls f with each field of a message, and stops where it says no.
func forEachField(b []byte, f func(n protowire.Number, v uint64, b []byte) bool) bool {
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
	if len(b) > MaxPacketLen {
		return nil, ErrMalformedPacket
	}
	p := &Packet{}
	ok := forEachField(b, func(n protowire.Number, v uint64, in []byte) bool {
		switch n {
		case fieldKind:
			p.Kind = Kind(min(v, uint64(kindEnd)))
		case fieldFrom:
			return p.From.unmarshal(in)
		case fieldSequence:
			p.Sequence = v
		case fieldNonce:
			p.Nonce = v
		case fieldTarget:
			p.Target = ID(v)
		case fieldTargetAddr:
			return parseAddr(in, &p.TargetAddr)
		case fieldChecksums:
			if len(in) != 4*BucketCount || p.Checksums != nil {
				return false
			}
			for ; len(in) > 0; in = in[4:] {
				s, _ := protowire.ConsumeFixed32(in)
				p.Checksums = append(p.Checksums, s)
			}
		case fieldUpdate:
			var w Update
			if len(p.Updates) == maxUpdates || !w.unmarshal(in) {
				return false
			}
			p.Updates = append(p.Updates, w)
		case fieldPayload:
			if len(in) > MaxPayloadLen {
				return false
			}
			p.Payload = append([]byte(nil), in...)
		case fieldItem:
			if len(p.Items) == maxItems || len(in) > MaxItemLen {
				return false
			}
			p.Items = append(p.Items, append([]byte(nil), in...))
		}
		return true
	})
	if !ok || p.Kind == 0 || p.Kind >= kindEnd || p.From.ID == 0 || p.From.State != Alive || !p.From.Addr.IsValid() {
		return nil, ErrMalformedPacket
	}
	return p, nil
}

func (w *Update) unmarshal(b []byte) bool {
	ok := forEachField(b, func(n protowire.Number, v uint64, in []byte) bool {
		switch n {
		case updateFieldID:
			w.ID = ID(v)
		case updateFieldRevision:
			w.Revision = v
		case updateFieldState:
			w.State = State(min(v, 255))
		case updateFieldReportedBy:
			w.ReportedBy = ID(v)
		case updateFieldName:
			return parseName(in, &w.Name)
		case updateFieldZone:
			return parseName(in, &w.Zone)
		case updateFieldVersion:
			return parseName(in, &w.Version)
		case updateFieldAddr:
			return parseAddr(in, &w.Addr)
		}
		return true
	})
	return ok && w.ID != 0 && w.State <= Left
}

// parseName takes printable ASCII alone: names stand in logs and on terminals.
func parseName(b []byte, to *string) bool {
	if len(b) > MaxNameLen {
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

func parseAddr(b []byte, to *netip.AddrPort) bool {
	n := len(b) - 2
	if n != 4 && n != 16 {
		return false
	}
	ip, _ := netip.AddrFromSlice(b[:n])
	*to = netip.AddrPortFrom(ip, uint16(b[n])<<8|uint16(b[n+1]))
	return to.Port() != 0
}
