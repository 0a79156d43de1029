package membership

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/wireformat"
)

// Field numbers of a packet in the protobuf encoding.
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

// Field numbers of an update in the protobuf encoding.
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

const (
	checksumLen = 4  // bytes
	portLen     = 2  // bytes
	ipv4Len     = 4  // bytes
	ipv6Len     = 16 // bytes
)

// Append appends the encoded packet to b.
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
		b = appendChecksums(b, p.Checksums)
	}
	if len(p.Payload) > 0 {
		b = appendBytes(b, fieldPayload, p.Payload)
	}
	for i := range p.Updates {
		b = appendUpdate(b, fieldUpdate, &p.Updates[i])
	}
	for _, item := range p.Items {
		b = appendBytes(b, fieldItem, item)
	}
	return b
}

func appendBytes(b []byte, field protowire.Number, content []byte) []byte {
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendBytes(b, content)
}

func appendChecksums(b []byte, checksums []uint32) []byte {
	b = protowire.AppendTag(b, fieldChecksums, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(checksumLen*len(checksums)))
	for _, sum := range checksums {
		b = protowire.AppendFixed32(b, sum)
	}
	return b
}

// appendFixed64 appends a fixed64 field, unless its value is 0.
func appendFixed64(b []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), value)
}

func appendAddr(b []byte, field protowire.Number, addr netip.AddrPort) []byte {
	ip := addr.Addr().AsSlice()
	b = protowire.AppendTag(b, field, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(ip)+portLen))
	b = append(b, ip...)
	return append(b, byte(addr.Port()>>8), byte(addr.Port()))
}

// appendUpdate appends a length-delimited update. The length takes at most two bytes.
func appendUpdate(b []byte, field protowire.Number, u *Update) []byte {
	var buffer [4*MaxNameLen + 64]byte
	encoded := appendFixed64(buffer[:0], updateFieldID, uint64(u.ID))
	encoded = wireformat.AppendUint(encoded, updateFieldRevision, u.Revision)
	encoded = wireformat.AppendUint(encoded, updateFieldState, uint64(u.State))
	encoded = appendFixed64(encoded, updateFieldReportedBy, uint64(u.ReportedBy))
	encoded = wireformat.AppendString(encoded, updateFieldName, u.Name)
	encoded = wireformat.AppendString(encoded, updateFieldZone, u.Zone)
	encoded = wireformat.AppendString(encoded, updateFieldVersion, u.Version)
	if u.Addr.IsValid() {
		encoded = appendAddr(encoded, updateFieldAddr, u.Addr)
	}
	return appendBytes(b, field, encoded)
}

// Decode decodes a packet. It skips unknown fields, which a later version may send. It returns
// ErrMalformedPacket if the encoding is invalid or a field is out of bounds. The result does
// not refer to the memory of b.
func Decode(b []byte) (*Packet, error) {
	if len(b) > MaxPacketLen {
		return nil, ErrMalformedPacket
	}
	p := &Packet{}
	if !wireformat.ParseFieldsFixed64(b, p.setField) || !p.valid() {
		return nil, ErrMalformedPacket
	}
	return p, nil
}

func (p *Packet) valid() bool {
	knownKind := p.Kind != 0 && p.Kind < kindEnd
	return knownKind && p.From.ID != 0 && p.From.State == Alive && p.From.Addr.IsValid()
}

// setField sets one decoded field. It returns false if the field is out of bounds.
func (p *Packet) setField(number protowire.Number, value uint64, content []byte) bool {
	switch number {
	case fieldKind:
		p.Kind = Kind(min(value, uint64(kindEnd)))
	case fieldFrom:
		return p.From.unmarshal(content)
	case fieldSequence:
		p.Sequence = value
	case fieldNonce:
		p.Nonce = value
	case fieldTarget:
		p.Target = ID(value)
	case fieldTargetAddr:
		return parseAddr(content, &p.TargetAddr)
	case fieldChecksums:
		return p.setChecksums(content)
	case fieldUpdate:
		return p.addUpdate(content)
	case fieldPayload:
		if len(content) > MaxPayloadLen {
			return false
		}
		p.Payload = append([]byte(nil), content...)
	case fieldItem:
		if len(p.Items) == maxItems || len(content) > MaxItemLen {
			return false
		}
		p.Items = append(p.Items, append([]byte(nil), content...))
	}
	return true
}

func (p *Packet) setChecksums(content []byte) bool {
	if len(content) != checksumLen*BucketCount || p.Checksums != nil {
		return false
	}
	for ; len(content) > 0; content = content[checksumLen:] {
		sum, _ := protowire.ConsumeFixed32(content)
		p.Checksums = append(p.Checksums, sum)
	}
	return true
}

func (p *Packet) addUpdate(content []byte) bool {
	var update Update
	if len(p.Updates) == maxUpdates || !update.unmarshal(content) {
		return false
	}
	p.Updates = append(p.Updates, update)
	return true
}

// unmarshal decodes an update. It returns false if the encoding is invalid or a field is out
// of bounds.
func (u *Update) unmarshal(b []byte) bool {
	return wireformat.ParseFieldsFixed64(b, u.setField) && u.ID != 0 && u.State <= Left
}

func (u *Update) setField(number protowire.Number, value uint64, content []byte) bool {
	switch number {
	case updateFieldID:
		u.ID = ID(value)
	case updateFieldRevision:
		u.Revision = value
	case updateFieldState:
		u.State = State(min(value, 255))
	case updateFieldReportedBy:
		u.ReportedBy = ID(value)
	case updateFieldName:
		return parseName(content, &u.Name)
	case updateFieldZone:
		return parseName(content, &u.Zone)
	case updateFieldVersion:
		return parseName(content, &u.Version)
	case updateFieldAddr:
		return parseAddr(content, &u.Addr)
	}
	return true
}

// parseName accepts only printable ASCII, since names are printed to logs and terminals.
func parseName(b []byte, name *string) bool {
	if len(b) > MaxNameLen {
		return false
	}
	for _, c := range b {
		if c < ' ' || c > '~' {
			return false
		}
	}
	*name = string(b)
	return true
}

func parseAddr(b []byte, addr *netip.AddrPort) bool {
	ipLen := len(b) - portLen
	if ipLen != ipv4Len && ipLen != ipv6Len {
		return false
	}
	ip, _ := netip.AddrFromSlice(b[:ipLen])
	port := uint16(b[ipLen])<<8 | uint16(b[ipLen+1])
	*addr = netip.AddrPortFrom(ip, port)
	return port != 0
}
