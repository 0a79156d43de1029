package first

import (
	"reflect"
	"testing"

	"garnetline/internal/golden"
)

// Routers of several releases run side by side: what they send each other stays as it is.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestMessageFormat(t *testing.T) {
	for _, c := range []struct {
		file string
		sent Word
	}{
		{"report.bin", Word{Items: []Item{{Box: 0, Ago: 20}, {Box: 7, Ago: 1500}, {Box: 1 << 33, Ago: 0}}}},
		{"results.bin", Word{Token: 300, Items: []Item{{Box: 7, Ago: 150, Up: true}, {Box: 9, Ago: 2}}}},
		{"nothing.bin", Word{}},
	} {
		golden.Compare(t, c.file, c.sent.Append(nil))
		if read, ok := Read(golden.Read(t, c.file)); !ok || !reflect.DeepEqual(read, c.sent) {
			t.Errorf("%s: read back: %+v, %v", c.file, read, ok)
		}
	}
	if name := Duty("lyon"); name != "first/lyon" {
		t.Errorf("the lease is called %q in the register", name)
	}
}
