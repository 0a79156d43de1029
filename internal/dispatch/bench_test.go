package dispatch

import (
	"testing"

	"garnetline/internal/clock"
	"garnetline/routing"
)

// BenchmarkRequest measures one request that passes through the dispatcher and the decision module
// and is served at its first attempt. Frontends and connections are not included.
func BenchmarkRequest(b *testing.B) {
	clk := clock.NewManual(startTime)
	dispatcher := newDispatcher(b, clk, settings())
	var transport hangingTransport
	respond := func(response Response) {
		if response.Kind != Served {
			b.Fatalf("got response %+v, want kind Served", response)
		}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		request := &Request{TransactionID: "9b1f03aa5c7e2d41", Object: routing.ObjectID(1 + n%64), Deadline: clk.Now() + 500,
			Transport: &transport, Respond: respond}
		submitMessage{request}.apply(dispatcher)
		clk.Advance(2)
		dispatcher.fireTimers()
		complete(dispatcher, transport.sent[0], routing.Served)
		transport.sent = transport.sent[:0]
		dispatcher.fireTimers()
	}
}
