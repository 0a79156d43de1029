package propagation

import (
	"bytes"
	"fmt"
	"testing"

	"garnetline/internal/golden"
)

// Routers of several releases with one secret agree on the trace of an idempotency key and on
// the number that stands for an object. UPDATE_GOLDEN=1 rewrites testdata.
func TestGoldenDerivedIDs(t *testing.T) {
	var text bytes.Buffer
	for _, secret := range []string{"", "a secret"} {
		l := New(secret, 10_000, 5)
		keyed := l.Correlate(1000, Request{IdempotencyKey: "k1", ClientAddress: "127.0.0.9", Class: "form", Object: 7})
		plain := l.Correlate(1000, Request{ClientAddress: "127.0.0.9", Class: "part", Object: 7, Chunk: 2})
		l.RequestEnded(1001, plain, false)
		again := l.Correlate(1002, Request{ClientAddress: "127.0.0.9", Class: "part", Object: 7, Chunk: 2})
		remote := l.Correlate(1003, Request{TraceParent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", ClientAddress: "127.0.0.9", Class: "part", Object: 7, Chunk: 2})
		fmt.Fprintf(&text, "secret %q: keyed %v, plain %v, again %v try %d, remote %v %x %t try %d, object %016x\n", secret,
			keyed.ID, plain.ID, again.ID, again.Retry, remote.ID, uint64(remote.ClientSpan), remote.ClientSampled, remote.Retry, l.HashObject(1<<60))
	}
	golden.Compare(t, "shared.txt", text.Bytes())
}
