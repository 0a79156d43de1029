package recoveryprobe

import (
	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/wireformat"
	"garnetline/internal/fleet/zonemessage"
	"garnetline/routing"
)

// MaxServers is how many servers a message may name.
const MaxServers = 256

// fieldRecovered is a field of an item of a message.
const fieldRecovered = zonemessage.FirstItemField

// Message is what routers of a zone send each other: the servers that the sender has ejected
// or, from the lease holder, the probe results that it knows.
type Message struct {
	FencingToken uint64 // 0 unless sent by the lease holder
	Servers      []ServerStatus
}

// ServerStatus is what a message says of one server.
type ServerStatus struct {
	Server    routing.ServerID
	Age       float64 // ms since it was ejected or, from the lease holder, since the result
	Recovered bool    // set by the lease holder alone
}

// Append appends the encoded message to b.
func (m Message) Append(b []byte) []byte {
	b = zonemessage.AppendToken(b, m.FencingToken)
	for _, status := range m.Servers {
		b = zonemessage.AppendItem(b, status.encode())
	}
	return b
}

func (s ServerStatus) encode() []byte {
	recovered := uint64(0)
	if s.Recovered {
		recovered = 1
	}
	item := zonemessage.Item{Server: s.Server, Age: s.Age}
	return wireformat.AppendUint(item.Encode(), fieldRecovered, recovered)
}

// Decode reads a message. ok is false where it is malformed or names more than MaxServers.
func Decode(b []byte) (message Message, ok bool) {
	message.FencingToken, message.Servers, ok = zonemessage.Parse(b, MaxServers, decodeServerStatus)
	return message, ok
}

func decodeServerStatus(b []byte) (ServerStatus, bool) {
	recovered := false
	item, ok := zonemessage.ParseItem(b, func(number protowire.Number, value uint64) {
		if number == fieldRecovered {
			recovered = value != 0
		}
	})
	return ServerStatus{Server: item.Server, Age: item.Age, Recovered: recovered}, ok
}
