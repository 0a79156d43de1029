package bodies

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Effect is what repeating a request of a class may do, as the decision module knows it.
type Effect uint8

// The effects.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Table writes what each class does in each case, as operators read it.
func Table(w io.Writer, classes []Class, effects map[string]Effect) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "class\tbody of\tis kept in\tafter an attempt that may have run\tafter one that proved not to")
	for _, c := range classes {
		kept := map[Effect]string{Safe: "sent again", Keyed: "sent again within the key's window", Unsafe: "failed"}[effects[c.Name]]
		from := int64(0)
		for _, r := range []struct {
			to    int64
			place Place
		}{{c.Memory, Memory}, {c.Disk, Files}, {c.Most, Nowhere}} {
			if r.to <= from {
				continue
			}
			after, proved := kept, "sent again"
			if r.place == Nowhere {
				after, proved = "failed", "failed, unless nothing of it had left"
			}
			fmt.Fprintf(t, "%s\t%d to %d bytes\t%v\t%s\t%s\n", c.Name, from+1, r.to, r.place, after, proved)
			from = r.to
		}
		fmt.Fprintf(t, "%s\tmore\t-\trefused, 413; given up if some of it had left\t\n", c.Name)
	}
	return t.Flush()
}
