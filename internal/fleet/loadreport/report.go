package loadreport

import (
	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/dispatch"
	"garnetline/internal/fleet/wireformat"
	"garnetline/internal/fleet/zonemessage"
	"garnetline/routing"
)

// MaxReportsPerPacket is how many reports one packet has room for.
const MaxReportsPerPacket = 50

// Fields of a report in a packet. Each is the value in thousandths and 1; one that is left out
// was not measured.
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

// encodePacket returns reports as they are sent under a fencing token.
func encodePacket(fencingToken uint64, reports []report) []byte {
	packet := zonemessage.AppendToken(nil, fencingToken)
	for _, next := range reports {
		packet = zonemessage.AppendItem(packet, next.encode())
	}
	return packet
}

// decodePacket reads what encodePacket returned.
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

// appendMeasured appends a value, unless it is NaN: not measured.
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
