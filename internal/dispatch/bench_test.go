package dispatch

import (
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

// BenchmarkRequest is one request through the core and the module, served at its first attempt,
// without fronts and connections.
func BenchmarkRequest(b *testing.B) {
	clk := clock.NewManual(startTime)
	c, err := New(clk, settings(), 1, metrics.New())
	if err != nil {
		b.Fatal(err)
	}
	c.handleMessage(endpointList())
	var box hangingTransport
	reply := func(a Response) {
		if a.Kind != Served {
			b.Fatalf("answered %+v", a)
		}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r := &Request{TransactionID: "9b1f03aa5c7e2d41", Object: routing.ObjectID(1 + n%64), Deadline: clk.Now() + 500, Transport: &box, Respond: reply}
		c.handleMessage(r)
		clk.Advance(2)
		c.fireTimers()
		c.handleMessage(Completion{Attempt: box.sent[0], Result: routing.Served, Response: Response{Kind: Served}, Load: UnknownLoad()})
		box.sent = box.sent[:0]
		c.fireTimers()
	}
}
