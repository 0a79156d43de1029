package recoveryprobe

import (
	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/wireformat"
	"garnetline/internal/fleet/zonemessage"
	"garnetline/routing"
)

// MaxServers is the maximum number of servers in a message.
const MaxServers = 256

// fieldRecovered is the field number of ServerStatus.Recovered in a message item.
const fieldRecovered = zonemessage.FirstItemField

// Message is a message between routers of a zone. A message of the lease holder lists the probe
// results of servers. A message of another router lists the servers that its sender has ejected.
type Message struct {
	FencingToken uint64 // 0 unless sent by the lease holder
	Servers      []ServerStatus
}

// ServerStatus is the entry of one server in a Message.
type ServerStatus struct {
	Server    routing.ServerID
	Age       float64 // ms since the ejection; in a message of the lease holder, ms since the probe result
	Recovered bool    // set by the lease holder only
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

// Decode decodes a message. The result ok is false if the message is malformed or has more than
// MaxServers servers.
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
