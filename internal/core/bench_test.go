package core

import (
	"testing"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/stats"
)

// BenchmarkRequest is one request through the core and the module, served at its first attempt,
// without fronts and connections.
func BenchmarkRequest(b *testing.B) {
	clk := clock.NewManual(start)
	c, err := New(clk, settings(), 1, stats.New())
	if err != nil {
		b.Fatal(err)
	}
	c.step(fleet())
	var box hung
	reply := func(a Answer) {
		if a.Kind != Served {
			b.Fatalf("answered %+v", a)
		}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r := &Request{Txn: "9b1f03aa5c7e2d41", Object: decide.ObjectID(1 + n%64), Deadline: clk.Now() + 500, Carrier: &box, Reply: reply}
		c.step(r)
		clk.Advance(2)
		c.tick()
		c.step(End{Attempt: box.sent[0], Result: decide.Served, Answer: Answer{Kind: Served}, Load: NoLoad()})
		box.sent = box.sent[:0]
		c.tick()
	}
}
