package dnsfront

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/miekg/dns"

	"garnetline/routing"
)

// FuzzName: any name is parsed or rejected, and a name made of what was parsed is parsed alike.
func FuzzName(f *testing.F) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 16 {
		f.Add(fmt.Sprintf("%d.%016x.g%d.part", rng.IntN(100), rng.Uint64(), rng.IntN(300)))
	}
	f.Add("..part")
	server := New(Options{Classes: func() []routing.Class { return []routing.Class{{Name: "part"}} }})
	f.Fuzz(func(t *testing.T, rest string) {
		parsed, rcode := server.parseName(rest)
		if rcode != dns.RcodeSuccess {
			return
		}
		again := fmt.Sprintf("%d.%016x.part", parsed.chunk, uint64(parsed.object))
		if parsed.group >= 0 {
			again = fmt.Sprintf("%d.%016x.g%d.part", parsed.chunk, uint64(parsed.object), parsed.group)
		}
		if parsedAgain, _ := server.parseName(again); parsedAgain != parsed {
			t.Errorf("%q: %+v, then %+v", rest, parsed, parsedAgain)
		}
	})
}
