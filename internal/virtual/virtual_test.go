package virtual

import (
	"fmt"
	"testing"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/member"
)

// settled is a fleet whose views are alike.
func settled(t testing.TB, seed uint64, n int) *Net {
	t.Helper()
	v := New(seed)
	v.Fleet(n, fleet.Default(), false)
	if !v.Until(60_000, 50, v.Alike) {
		for _, h := range v.Hosts {
			t.Log(h.Name, h.Member().There())
		}
		t.Fatal("views differ after 60 s")
	}
	return v
}

func TestJoinAndKill(t *testing.T) {
	for _, n := range []int{3, 8, 30} {
		v := settled(t, 1, n)
		joined := v.Now
		v.Run(v.Now + 20_000)
		var sent, bytes int64
		for _, h := range v.Hosts {
			sent -= h.Sent
			bytes -= h.Bytes
		}
		v.Run(v.Now + 10_000)
		for _, h := range v.Hosts {
			sent += h.Sent
			bytes += h.Bytes
		}
		x := v.Hosts[n-1]
		v.Kill(x)
		at := v.Now
		if !v.Until(at+20_000, 10, func() bool { return v.SeenAs(x)[member.Failed] == n-1 }) {
			t.Fatalf("%d: a killed router is %v", n, v.SeenAs(x))
		}
		fmt.Printf("%d: joined after %.0f ms, %.1f packets/s %.0f B/s, killed known to all after %.0f\n", n, joined, float64(sent)/float64(n)/10, float64(bytes)/float64(n)/10, v.Now-at)
	}
}
