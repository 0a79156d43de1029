package bodies

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Effect is what repeating a request of a class may do, as the decision module knows it.
type Idempotency uint8

// The effects.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NonIdempotent
)

// Table writes what each class does in each case, as operators read it.
func WritePolicyTable(w io.Writer, classes []Class, effects map[string]Idempotency) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "class\tbody of\tis kept in\tafter an attempt that may have run\tafter one that proved not to")
	for _, c := range classes {
		kept := map[Idempotency]string{Idempotent: "sent again", IdempotentWithKey: "sent again within the key's window", NonIdempotent: "failed"}[effects[c.Name]]
		from := int64(0)
		for _, r := range []struct {
			to    int64
			place Location
		}{{c.MaxMemoryBytes, InMemory}, {c.MaxDiskBytes, OnDisk}, {c.MaxBytes, NotRetained}} {
			if r.to <= from {
				continue
			}
			after, proved := kept, "sent again"
			if r.place == NotRetained {
				after, proved = "failed", "failed, unless nothing of it had left"
			}
			fmt.Fprintf(t, "%s\t%d to %d bytes\t%v\t%s\t%s\n", c.Name, from+1, r.to, r.place, after, proved)
			from = r.to
		}
		fmt.Fprintf(t, "%s\tmore\t-\trefused, 413; given up if some of it had left\t\n", c.Name)
	}
	return t.Flush()
}
