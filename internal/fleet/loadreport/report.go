package loadreport

import (
	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/dispatch"
	"garnetline/internal/fleet/wireformat"
	"garnetline/internal/fleet/zonemessage"
	"garnetline/routing"
)

// MaxReportsPerPacket is the maximum number of reports in a packet.
const MaxReportsPerPacket = 50

// Field numbers of a report in a packet. A field holds the value in thousandths plus 1, so that a
// measured 0 is not omitted; the value of an absent field is unknown.
const (
	fieldInflight protowire.Number = zonemessage.FirstItemField + iota
	fieldCPUUtilization
	fieldHitRatio
	fieldLinkUtilization
)

const thousandths = 1000

// report is the load of one server.
type report struct {
	server routing.ServerID
	load   routing.LoadReport
	age    float64 // ms since it was measured
}

// encodePacket returns the packet with the reports and the fencing token of the sender's lease.
func encodePacket(fencingToken uint64, reports []report) []byte {
	packet := zonemessage.AppendToken(nil, fencingToken)
	for _, r := range reports {
		packet = zonemessage.AppendItem(packet, r.encode())
	}
	return packet
}

// decodePacket decodes a packet that encodePacket returned. ok is false if the packet is
// malformed or has more than MaxReportsPerPacket reports.
func decodePacket(packet []byte) (fencingToken uint64, reports []report, ok bool) {
	return zonemessage.Parse(packet, MaxReportsPerPacket, decodeReport)
}

func (r report) encode() []byte {
	encoded := zonemessage.Item{Server: r.server, Age: r.age}.Encode()
	encoded = appendMeasured(encoded, fieldInflight, r.load.Inflight)
	encoded = appendMeasured(encoded, fieldCPUUtilization, r.load.CPUUtilization)
	encoded = appendMeasured(encoded, fieldHitRatio, r.load.HitRatio)
	return appendMeasured(encoded, fieldLinkUtilization, r.load.LinkUtilization)
}

// appendMeasured appends a value, unless it is negative or NaN. NaN means unknown.
func appendMeasured(encoded []byte, field protowire.Number, value float64) []byte {
	if !(value >= 0) {
		return encoded
	}
	return wireformat.AppendUint(encoded, field, uint64(value*thousandths)+1)
}

func decodeReport(encoded []byte) (report, bool) {
	load := dispatch.UnknownLoad()
	item, ok := zonemessage.ParseItem(encoded, func(number protowire.Number, value uint64) {
		measured := float64(min(value, zonemessage.MaxNumber)-min(value, 1)) / thousandths
		switch number {
		case fieldInflight:
			load.Inflight = measured
		case fieldCPUUtilization:
			load.CPUUtilization = measured
		case fieldHitRatio:
			load.HitRatio = measured
		case fieldLinkUtilization:
			load.LinkUtilization = measured
		}
	})
	return report{server: item.Server, load: load, age: item.Age}, ok
}
