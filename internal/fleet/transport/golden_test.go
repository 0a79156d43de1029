package transport

import (
	"os"
	"testing"

	"garnetline/internal/golden"
)

// The identity file that the next process reads, and counts on in, is the same bytes.
func TestGoldenIdentityFile(t *testing.T) {
	dir := t.TempDir()
	file := identityFileIn(dir, "r7")
	if want := dir + "/garnetline-fleet-r7"; string(file) != want || file.gossipedBansPath() != want+".bans" {
		t.Errorf("files are %s and %s, want %s and the same with .bans", file, file.gossipedBansPath(), want)
	}
	if err := os.WriteFile(string(file), []byte("00000000deadbeef 41\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	id, incarnation, err := file.startIncarnation()
	if err != nil || id != 0xdeadbeef || incarnation != 42 {
		t.Errorf("%v in incarnation %d, %v", id, incarnation, err)
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
		t.Errorf("the latest incarnation is %d", latest)
	}
}
