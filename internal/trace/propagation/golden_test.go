package propagation

import (
	"bytes"
	"fmt"
	"testing"

	"garnetline/internal/golden"
)

// Routers of different releases that share a secret must derive the same trace ID from an
// idempotency key, and the same hash from an object. UPDATE_GOLDEN=1 rewrites testdata.
func TestGoldenDerivedIDs(t *testing.T) {
	const (
		client      = "127.0.0.9"
		traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	)
	var text bytes.Buffer
	for _, secret := range []string{"", "a secret"} {
		correlator := New(secret, 10_000, 5)
		keyed := correlator.Correlate(1000, Request{IdempotencyKey: "k1", ClientAddress: client, Class: "form", Object: 7})
		plain := correlator.Correlate(1000, Request{ClientAddress: client, Class: "part", Object: 7, Chunk: 2})
		correlator.RequestEnded(1001, plain, false)
		retry := correlator.Correlate(1002, Request{ClientAddress: client, Class: "part", Object: 7, Chunk: 2})
		remote := correlator.Correlate(1003, Request{TraceParent: traceparent, ClientAddress: client, Class: "part", Object: 7, Chunk: 2})
		fmt.Fprintf(&text, "secret %q: keyed %v, plain %v, again %v try %d, remote %v %x %t try %d, object %016x\n",
			secret, keyed.ID, plain.ID, retry.ID, retry.Retry,
			remote.ID, uint64(remote.ClientSpan), remote.ClientSampled, remote.Retry, correlator.HashObject(1<<60))
	}
	golden.Compare(t, "shared.txt", text.Bytes())
}
