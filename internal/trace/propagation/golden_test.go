package propagation

import (
	"bytes"
	"fmt"
	"testing"

	"garnetline/internal/golden"
)

// Routers of several releases with one secret agree on the trace of an idempotency key and on
// the number that stands for an object. UPDATE_GOLDEN=1 rewrites testdata.
func TestSharedNumbers(t *testing.T) {
	var text bytes.Buffer
	for _, secret := range []string{"", "a secret"} {
		l := New(secret, 10_000, 5)
		keyed := l.Tie(1000, Ask{Key: "k1", Client: "127.0.0.9", Class: "form", Object: 7})
		plain := l.Tie(1000, Ask{Client: "127.0.0.9", Class: "part", Object: 7, Part: 2})
		l.Ended(1001, plain, false)
		again := l.Tie(1002, Ask{Client: "127.0.0.9", Class: "part", Object: 7, Part: 2})
		remote := l.Tie(1003, Ask{Parent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", Client: "127.0.0.9", Class: "part", Object: 7, Part: 2})
		fmt.Fprintf(&text, "secret %q: keyed %v, plain %v, again %v try %d, remote %v %x %t try %d, object %016x\n", secret,
			keyed.ID, plain.ID, again.ID, again.Try, remote.ID, uint64(remote.Remote), remote.Asked, remote.Try, l.Hide(1<<60))
	}
	golden.Compare(t, "shared.txt", text.Bytes())
}
