package transport

import (
	"os"
	"testing"

	"garnetline/internal/golden"
)

// The identity file that the next process reads, and counts on in, is the same bytes.
func TestGoldenIdentityFile(t *testing.T) {
	dir := t.TempDir()
	s := identityFileIn(dir, "r7")
	if want := dir + "/garnetline-fleet-r7"; string(s) != want || s.bansPath() != want+".bans" {
		t.Errorf("files are %s and %s, want %s and the same with .bans", s, s.bansPath(), want)
	}
	if err := os.WriteFile(string(s), []byte("00000000deadbeef 41\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	id, life, err := s.startIncarnation()
	if err != nil || id != 0xdeadbeef || life != 42 {
		t.Errorf("%v in life %d, %v", id, life, err)
	}
	written, err := os.ReadFile(string(s))
	if err != nil {
		t.Fatal(err)
	}
	stored := golden.Compare(t, "identity.golden", written)
	if err := os.WriteFile(string(s), stored, 0o600); err != nil {
		t.Fatal(err)
	}
	if latest := s.latestIncarnation(); latest != 42 {
		t.Errorf("the latest life is %d", latest)
	}
}
