package dnsfront

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/miekg/dns"

	"garnetline/routing"
)

// FuzzName checks that parseName accepts or rejects any name without a panic. If parseName accepts
// a name, the test builds another name from the parsed fields. parseName must return the same
// fields for that name.
func FuzzName(f *testing.F) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 16 {
		f.Add(fmt.Sprintf("%d.%016x.g%d.part", rng.IntN(100), rng.Uint64(), rng.IntN(300)))
	}
	f.Add("..part")
	server := New(Options{Classes: func() []routing.Class { return []routing.Class{{Name: "part"}} }})
	f.Fuzz(func(t *testing.T, name string) {
		parsed, rcode := server.parseName(name)
		if rcode != dns.RcodeSuccess {
			return
		}
		rebuilt := fmt.Sprintf("%d.%016x.part", parsed.chunk, uint64(parsed.object))
		if parsed.group >= 0 {
			rebuilt = fmt.Sprintf("%d.%016x.g%d.part", parsed.chunk, uint64(parsed.object), parsed.group)
		}
		if reparsed, _ := server.parseName(rebuilt); reparsed != parsed {
			t.Errorf("%q parses to %+v, but the name rebuilt from these fields parses to %+v", name, parsed, reparsed)
		}
	})
}
