package recoveryprobe

import (
	"reflect"
	"testing"

	"garnetline/internal/golden"
)

// The encoding of messages does not change, since routers of several releases run side by side.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestMessageFormat(t *testing.T) {
	for _, c := range []struct {
		file string
		sent Message
	}{
		{"report.bin", Message{Servers: []ServerStatus{{Server: 0, Age: 20}, {Server: 7, Age: 1500}, {Server: 1 << 33, Age: 0}}}},
		{"results.bin", Message{FencingToken: 300, Servers: []ServerStatus{{Server: 7, Age: 150, Recovered: true}, {Server: 9, Age: 2}}}},
		{"nothing.bin", Message{}},
	} {
		golden.Compare(t, c.file, c.sent.Append(nil))
		if read, ok := Decode(golden.Read(t, c.file)); !ok || !reflect.DeepEqual(read, c.sent) {
			t.Errorf("%s read back: got %+v, ok %v, want the message that was encoded", c.file, read, ok)
		}
	}
	if name := LeaseName("lyon"); name != "first/lyon" {
		t.Errorf("got lease name %q, want first/lyon", name)
	}
}
