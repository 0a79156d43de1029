package decide

import (
	"slices"
	"testing"
	"time"
)

// A rest is prolonged by another router's word, within a bound, and never begun nor ended
// by it; one that others set aside is tried with one request, unless it served lately.
func TestOthersWordOfRests(t *testing.T) {
	f := start(t, settings(), fleet())
	for _, s := range f.r.all {
		s.heard = f.now
	}
	well := func(id ServerID) bool {
		f.do(Left{}) // of nobody: the router sees the time
		return f.r.well(f.r.known(id))
	}
	if f.do(Hold{Server: 11, Until: f.now + sec}); !well(11) || len(f.r.Aside(nil)) != 0 {
		t.Error("a word set a server aside")
	}
	if f.do(Suspect{Server: 11}); len(f.r.Aside(nil)) != 0 {
		t.Error("one that served just now is suspected")
	}
	f.r.known(12).fails = 1
	if f.do(Suspect{Server: 12}); !slices.Equal(f.r.Aside(nil), []ServerID{12}) {
		t.Error("one that failed just now is not suspected")
	}
	f.r.worked(f.r.known(12))
	f.now += 600 * ms
	f.do(Suspect{Server: 11})
	if !slices.Equal(f.r.Aside(nil), []ServerID{11}) || !well(11) {
		t.Fatalf("%v is aside", f.r.Aside(nil))
	}
	f.r.known(11).out = 1
	if well(11) {
		t.Error("a suspect is sent a second request beside the first")
	}
	f.r.known(11).out = 0
	f.do(Hold{Server: 11, Until: f.now + time.Hour})
	if f.now += holdMost - ms; well(11) {
		t.Error("not held")
	}
	if f.now += 2 * ms; !well(11) {
		t.Error("held for longer than may be")
	}
	f.do(Hold{Server: 11, Until: f.now + sec})
	f.do(Hold{Server: 11, Until: f.now})
	if well(11) {
		t.Error("a word ended a rest")
	}
	f.do(Hold{Server: 99, Until: f.now + sec}) // not listed
	f.do(Suspect{Server: 99})
	f.r.worked(f.r.known(11))
	if f.now += 2 * sec; len(f.r.Aside(nil)) != 0 || !well(11) {
		t.Error("aside after it served")
	}
}
