package packetcrypto

import (
	"crypto/rand"
	"testing"

	"garnetline/internal/golden"
)

// countingReader is a deterministic source of nonces: it returns consecutive byte values.
type countingReader struct{ next byte }

func (c *countingReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = c.next
		c.next++
	}
	return len(b), nil
}

// The encoding of an encrypted packet does not change for the same key and nonce, since routers of
// several releases run side by side.
func TestGoldenSealedPackets(t *testing.T) {
	originalReader := rand.Reader
	t.Cleanup(func() { rand.Reader = originalReader })
	rand.Reader = &countingReader{}
	texts := []string{"", "a packet between routers"}
	messages := []golden.Message{
		{Name: "empty", Bytes: newKeyring(t, "f", firstSecret).Seal(nil, []byte(texts[0]))},
		{Name: "short", Bytes: newKeyring(t, "f", secondSecret, firstSecret).Seal(nil, []byte(texts[1]))},
	}
	both := newKeyring(t, "f", firstSecret, secondSecret)
	for i, m := range golden.CompareMessages(t, "sealed.golden", messages) {
		got, err := both.Open(nil, m.Bytes)
		if err != nil || string(got) != texts[i] {
			t.Errorf("%s: got packet %q, error %v, want the packet that was sealed", m.Name, got, err)
		}
	}
}
