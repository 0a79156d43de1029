package transport

import (
	"os"
	"testing"

	"garnetline/internal/golden"
)

// The format of the identity file does not change: the next process, possibly of another
// release, reads the file and increments the incarnation in it.
func TestGoldenIdentityFile(t *testing.T) {
	dir := t.TempDir()
	file := newIdentityFile(dir, "r7")
	if want := dir + "/garnetline-fleet-r7"; string(file) != want || file.gossipedBansPath() != want+".bans" {
		t.Errorf("got identity file %s and ban file %s, want %s and the same path with the suffix .bans", file, file.gossipedBansPath(), want)
	}
	if err := os.WriteFile(string(file), []byte("00000000deadbeef 41\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	id, incarnation, err := file.startIncarnation()
	if err != nil || id != 0xdeadbeef || incarnation != 42 {
		t.Errorf("got router %v, incarnation %d, error %v, want router 00000000deadbeef, incarnation 42", id, incarnation, err)
	}
	written, err := os.ReadFile(string(file))
	if err != nil {
		t.Fatal(err)
	}
	stored := golden.Compare(t, "identity.golden", written)
	if err := os.WriteFile(string(file), stored, 0o600); err != nil {
		t.Fatal(err)
	}
	if latest := file.latestIncarnation(); latest != 42 {
		t.Errorf("got latest incarnation %d, want 42", latest)
	}
}
