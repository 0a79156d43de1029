package packetcrypto

import (
	"crypto/rand"
	"testing"

	"garnetline/internal/golden"
)

// counting is a source of nonces that are the same each time.
type counting struct{ next byte }

func (c *counting) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = c.next
		c.next++
	}
	return len(b), nil
}

// Sealed packets of routers of this version and of the one before are the same bytes, for
// the same key and nonce.
func TestGoldenSealedPackets(t *testing.T) {
	before := rand.Reader
	t.Cleanup(func() { rand.Reader = before })
	rand.Reader = &counting{}
	texts := []string{"", "a packet between routers"}
	messages := []golden.Message{
		{Name: "empty", Bytes: newKeyring(t, "f", firstSecret).Seal(nil, []byte(texts[0]))},
		{Name: "short", Bytes: newKeyring(t, "f", secondSecret, firstSecret).Seal(nil, []byte(texts[1]))},
	}
	both := newKeyring(t, "f", firstSecret, secondSecret)
	for i, m := range golden.CompareMessages(t, "sealed.golden", messages) {
		got, err := both.Open(nil, m.Bytes)
		if err != nil || string(got) != texts[i] {
			t.Errorf("%s: %q, %v", m.Name, got, err)
		}
	}
}
